// Package ctl implements the operators' command-line tool. It translates command
// lines into calls of the operators' API and prints the replies as tables or JSON.
package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
)

// Values of the --output flag.
const (
	formatTable = "table"
	formatJSON  = "json"
)

const defaultTimeout = 30 * time.Second

// Tool runs command lines against the operators' API.
type Tool struct {
	// Stdin, Stdout and Stderr are the standard streams. Nil means empty input and
	// discarded output.
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Transport sends the HTTP requests; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Random is the source of new keys; nil means crypto/rand.
	Random io.Reader
	// NewID generates operation ids; nil means random UUIDs.
	NewID func() string
}

// New returns a Tool that uses the standard streams of the process.
func New() *Tool { return &Tool{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr} }

// command is one run of the tool: the global flags and the state that all commands share.
type command struct {
	*Tool
	ctx         context.Context
	servers     []string
	keyFile     string
	caFile      string
	format      string
	timeout     time.Duration
	operationID string
	noWait      bool
	// checkOnly parses the command line without running the command.
	checkOnly bool
	// ifRevision is used only if ifRevisionSet.
	ifRevision    uint64
	ifRevisionSet bool
	// result is the error that the command returned.
	result error
}

// Run runs the command line args and returns the exit code.
func (t *Tool) Run(ctx context.Context, args []string) int {
	c := &command{Tool: t.withDefaults(), ctx: ctx}
	app := c.newApp()
	code, exited := parse(app, args)
	if exited {
		return code
	}
	return c.reportError(c.result)
}

// Check reports whether the command line args is valid, without running it.
func Check(args []string) error {
	var stderr bytes.Buffer
	c := &command{Tool: (&Tool{Stderr: &stderr}).withDefaults(), ctx: context.Background(), checkOnly: true}
	if code, _ := parse(c.newApp(), args); code != exitOK {
		return errors.New(strings.TrimSpace(stderr.String()))
	}
	return nil
}

func (t *Tool) withDefaults() *Tool {
	filled := *t
	if filled.Stdin == nil {
		filled.Stdin = http.NoBody
	}
	if filled.Stdout == nil {
		filled.Stdout = io.Discard
	}
	if filled.Stderr == nil {
		filled.Stderr = io.Discard
	}
	if filled.Transport == nil {
		filled.Transport = http.DefaultTransport
	}
	if filled.Random == nil {
		filled.Random = rand.Reader
	}
	if filled.NewID == nil {
		filled.NewID = uuid.NewString
	}
	return &filled
}

func (c *command) newApp() *kingpin.Application {
	app := kingpin.New("godwitbendctl", "Operates a godwitbend fleet.\n\n"+exitCodeHelp)
	app.HelpFlag.Short('h')
	app.UsageWriter(c.Stdout)
	app.ErrorWriter(c.Stderr)
	app.Flag("server", "Address of the operators' API, as IP:port or URL; may be repeated or list several, separated by commas. If one does not answer, the next is tried.").
		Default("127.0.0.1:8082").Envar("GODWITBENDCTL_SERVER").StringsVar(&c.servers)
	app.Flag("key-file", "File that contains the operator's key.").Envar("GODWITBENDCTL_KEY_FILE").StringVar(&c.keyFile)
	app.Flag("ca-file", "Certificate of the authority that signed the servers' certificates; servers given as IP:port are then called by HTTPS.").
		Envar("GODWITBENDCTL_CA_FILE").StringVar(&c.caFile)
	app.Flag("output", "Output format.").Short('o').Default(formatTable).EnumVar(&c.format, formatTable, formatJSON)
	app.Flag("timeout", "Time to wait for an answer, and for a change to be accepted.").
		Default(defaultTimeout.String()).DurationVar(&c.timeout)
	app.Flag("operation-id", "Id of a change; a change that is sent again with the same id is made once. Default: a new id.").
		StringVar(&c.operationID)
	app.Flag("if-revision", "Change the record only at this revision; 0 means that it must not exist.").
		IsSetByUser(&c.ifRevisionSet).Uint64Var(&c.ifRevision)
	app.Flag("no-wait", "Do not wait for a pending change to be accepted.").BoolVar(&c.noWait)
	c.addRecordCommands(app)
	c.addStatusCommands(app)
	c.addKeyCommands(app)
	c.addCertsCommand(app)
	return app
}

// setAction makes f the action of a command.
func (c *command) setAction(clause *kingpin.CmdClause, f func() error) {
	clause.Action(func(*kingpin.ParseContext) error {
		if !c.checkOnly {
			c.result = f()
		}
		return nil
	})
}

// setAPIAction makes f, which calls the API, the action of a command.
func (c *command) setAPIAction(clause *kingpin.CmdClause, f func(context.Context, *client) error) {
	c.setAction(clause, func() error {
		cl, err := c.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		defer cancel()
		return f(ctx, cl)
	})
}

// exitStatus is the panic value that stops parsing when kingpin wants to exit, for
// example after --help.
type exitStatus int

// parse parses args and runs their command. If exited is true, no command ran and code
// is the exit code.
func parse(app *kingpin.Application, args []string) (code int, exited bool) {
	app.Terminate(func(status int) { panic(exitStatus(status)) })
	defer func() {
		switch stop := recover().(type) {
		case nil:
		case exitStatus:
			code, exited = int(stop), true
		default:
			panic(stop)
		}
	}()
	if _, err := app.Parse(args); err != nil {
		app.Errorf("%v; try --help", err)
		return exitUsage, true
	}
	return exitOK, false
}

// reportError prints err and returns its exit code.
func (c *command) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	var failure *failure
	if !errors.As(err, &failure) {
		fmt.Fprintf(c.Stderr, "godwitbendctl: error: %v\n", err)
		return exitFailure
	}
	fmt.Fprintf(c.Stderr, "godwitbendctl: %s\n", failure.text)
	if failure.winner != nil {
		c.printWinner(failure.winner)
	}
	return failure.code
}
