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
	// Arguments that start with "@" are passed literally instead of being read from a file.
	kingpin.EnableFileExpansion = false
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.New().Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
