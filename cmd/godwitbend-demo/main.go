// Command godwitbend-demo demonstrates the system end to end with the real programs:
// three daemons, a model engine and a numbering service. It checks each step, reports
// the step that failed, and removes all processes and files at the end.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// demoTimeout bounds the whole demo.
const demoTimeout = 58 * time.Second

func main() {
	app := kingpin.New("godwitbend-demo", "Demonstrates the system end to end with the real programs.")
	bin := app.Flag("bin", "Directory of the binaries.").Default("bin").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "godwitbend-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := demo{bin: bin, dir: dir}
	defer d.kill()
	start := time.Now()
	for _, s := range d.steps() {
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("FAILED: %s: %w", s.name, err)
		}
		fmt.Printf("ok  %5.1fs  %s\n", time.Since(start).Seconds(), s.name)
	}
	return nil
}
