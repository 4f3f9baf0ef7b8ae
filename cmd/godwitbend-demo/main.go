// Command godwitbend-demo shows the whole path through the real programs: three
// daemons, a model engine and a numbering service. It checks each step, names
// the step that failed, and leaves nothing behind.
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

// timeLimit bounds the whole demo.
const timeLimit = 58 * time.Second

func main() {
	app := kingpin.New("godwitbend-demo", "Shows the whole path through the real programs.")
	bin := app.Flag("bin", "Directory of the programs.").Default("bin").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(bin string) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
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
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("FAILED: %s: %w", s.name, err)
		}
		fmt.Printf("ok  %5.1fs  %s\n", time.Since(start).Seconds(), s.name)
	}
	return nil
}
