// Package ctl is the operators' command-line tool: it turns command lines into
// calls of the operators' API and prints the answers as tables or JSON.
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

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

const defaultTimeout = 30 * time.Second

// Tool runs command lines.
type Tool struct {
	// Stdin, Stdout and Stderr are the streams of the command. Nil means none.
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// Transport sends the calls; nil means http.DefaultTransport.
	Transport http.RoundTripper
	// Random gives the bytes of new keys; nil means crypto/rand.
	Random io.Reader
	// NewID gives operation ids; nil means random UUIDs.
	NewID func() string
}

// New returns the tool on the streams of the process.
func New() *Tool { return &Tool{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr} }

// command is one run of the tool: its flags and what the commands share.
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
	// checkOnly keeps commands from running.
	checkOnly bool
	// ifRevision counts only if ifRevisionSet.
	ifRevision    uint64
	ifRevisionSet bool
	// result is the error of the command that ran.
	result error
}

// Run runs the command line args and returns the exit code.
func (t *Tool) Run(ctx context.Context, args []string) int {
	c := &command{Tool: t.withDefaults(), ctx: ctx}
	app := c.newApp()
	code, ended := parse(app, args)
	if ended {
		return code
	}
	return c.report(c.result)
}

// Check checks the command line args without running it.
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
	app.Flag("server", "Address of the operators' API, as IP:port or URL; may be repeated or hold several with commas. The next is tried if one does not answer.").
		Default("127.0.0.1:8082").Envar("GODWITBENDCTL_SERVER").StringsVar(&c.servers)
	app.Flag("key-file", "File that holds the operator's key.").Envar("GODWITBENDCTL_KEY_FILE").StringVar(&c.keyFile)
	app.Flag("ca-file", "File of the certificate authority that signed the servers' certificates; servers are called by HTTPS then.").
		Envar("GODWITBENDCTL_CA_FILE").StringVar(&c.caFile)
	app.Flag("output", "Output format.").Short('o').Default(formatTable).EnumVar(&c.format, formatTable, formatJSON)
	app.Flag("timeout", "Time to wait for an answer, and for a change to be accepted.").
		Default(defaultTimeout.String()).DurationVar(&c.timeout)
	app.Flag("operation-id", "Identity of a change; a change sent again with the same one is made once. Default: a new one.").
		StringVar(&c.operationID)
	app.Flag("if-revision", "Change the record only at this revision; 0 means that it must not exist.").
		IsSetByUser(&c.ifRevisionSet).Uint64Var(&c.ifRevision)
	app.Flag("no-wait", "Do not wait for a pending change to be accepted.").BoolVar(&c.noWait)
	c.addRecords(app)
	c.addState(app)
	c.addKeys(app)
	c.addCerts(app)
	return app
}

// does makes f the action of a command.
func (c *command) does(clause *kingpin.CmdClause, f func() error) {
	clause.Action(func(*kingpin.ParseContext) error {
		if !c.checkOnly {
			c.result = f()
		}
		return nil
	})
}

// calls makes f, which calls the API, the action of a command.
func (c *command) calls(clause *kingpin.CmdClause, f func(context.Context, *client) error) {
	c.does(clause, func() error {
		cl, err := c.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
		defer cancel()
		return f(ctx, cl)
	})
}

// terminated is the panic by which kingpin's help ends a parse.
type terminated int

// parse parses and runs args. ended tells that no command ran; code is the exit code then.
func parse(app *kingpin.Application, args []string) (code int, ended bool) {
	app.Terminate(func(status int) { panic(terminated(status)) })
	defer func() {
		switch stop := recover().(type) {
		case nil:
		case terminated:
			code, ended = int(stop), true
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

// report prints err and returns the exit code for it.
func (c *command) report(err error) int {
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
