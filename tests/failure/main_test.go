// Package failure_test runs the real programs as processes under the failures
// that the system must tolerate.
package failure_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// bin is the directory that holds the programs under test.
var bin string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "godwitbend-failure-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs:", err)
		return 1
	}
	bin = dir
	return m.Run()
}

func skipIfShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs real processes")
	}
}

// subnet returns a loopback prefix derived from the process id, so that packages
// tested concurrently do not share addresses.
func subnet() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 1+pid>>8%200, pid&0xff)
}
