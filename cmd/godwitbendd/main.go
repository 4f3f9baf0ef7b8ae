// Command godwitbendd is the daemon that runs on each godwitbend host.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/daemon"
	_ "github.com/godwitbend/godwitbend/internal/ignorehangup" // a host may be told to reload its settings as it starts
	"github.com/godwitbend/godwitbend/internal/node"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/platform"
)

func main() {
	app := kingpin.New("godwitbendd", "The daemon of a godwitbend host.")
	path := app.Flag("settings", "JSON settings file of the host.").Required().String()
	run := app.Command("run", "Serve until SIGTERM or SIGINT, then drain.").Default()
	check := app.Command("check", "Check the settings file and exit.")
	runNode := app.Command("node", "Serve as a host of a gateway fleet with the interface of the users' platform.")
	checkNode := app.Command("check-node", "Check the settings file of a host of a gateway fleet and exit.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	var code int
	switch command {
	case run.FullCommand():
		code = withSettings(*path, settings.Load, serve)
	case check.FullCommand():
		code = withSettings(*path, settings.Load, printValid[settings.Settings])
	case runNode.FullCommand():
		code = withSettings(*path, settings.LoadNode, func(s *settings.Node) int { return serveNode(*path, s) })
	case checkNode.FullCommand():
		code = withSettings(*path, settings.LoadNode, printValid[settings.Node])
	}
	os.Exit(code)
}

// withSettings loads the settings at path, calls fn with them and returns the exit code.
func withSettings[T any](path string, load func(string) (*T, error), fn func(*T) int) int {
	s, err := load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return fn(s)
}

func printValid[T any](*T) int {
	fmt.Println("the settings are valid")
	return 0
}

// serve runs a host with the project's own caller interface and returns the exit code.
func serve(s *settings.Settings) int {
	signal.Reset(syscall.SIGHUP)
	return runUntilSignal(os.Stderr, s.Log.Level, s.Host, func(ctx context.Context) error {
		network, err := daemon.NewTCP(s)
		if err != nil {
			return err
		}
		return daemon.New(s, network).Run(ctx)
	})
}

// serveNode runs a host of a gateway fleet with the platform's interface and returns the exit code.
func serveNode(path string, s *settings.Node) int {
	out := telemetry.NewBoundedWriter(os.Stdout)
	defer out.Close()
	return runUntilSignal(out, s.Log.Level, s.Host, func(ctx context.Context) error {
		return node.Run(ctx, path, s, platform.Adapter())
	})
}

// runUntilSignal sets up logging and runs fn until it returns or a signal cancels its
// context. It returns the exit code.
func runUntilSignal(log io.Writer, level, host string, fn func(context.Context) error) int {
	if err := telemetry.SetupLog(log, level, host); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := fn(ctx); err != nil {
		klog.ErrorS(err, "host failed")
		return 1
	}
	return 0
}
