// Command godwitbendd is the daemon of a godwitbend host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/daemon"
	"github.com/godwitbend/godwitbend/internal/settings"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

func main() {
	app := kingpin.New("godwitbendd", "The daemon of a godwitbend host.")
	path := app.Flag("settings", "The settings file of the host, JSON.").Required().String()
	run := app.Command("run", "Serve until SIGTERM or SIGINT, then drain.").Default()
	check := app.Command("check", "Check the settings file and exit.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	switch command {
	case check.FullCommand():
		fmt.Println("the settings are valid")
	case run.FullCommand():
		os.Exit(serve(s))
	}
}

// serve runs the host and returns the exit code.
func serve(s *settings.Settings) int {
	if err := telemetry.SetupLog(os.Stderr, s.Log.Level, s.Host); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	network, err := daemon.NewTCP(s)
	if err == nil {
		err = daemon.New(s, network).Run(ctx)
	}
	if err != nil {
		klog.ErrorS(err, "host failed")
		return 1
	}
	return 0
}
