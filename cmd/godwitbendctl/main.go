// Command godwitbendctl is the operators' command-line tool.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/godwitbend/godwitbend/internal/ctl"
)

func main() {
	// An argument that starts with "@" stands for itself, not for a file.
	kingpin.EnableFileExpansion = false
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.New().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
