package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// runDaemon makes the test program run main instead of the tests.
const runDaemon = "GODWITBENDD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runDaemon) != "" {
		main()
	}
	os.Exit(m.Run())
}

func TestSIGHUPWhileSettingsAreReadDoesNotTerminateHost(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
	host := exec.Command(os.Args[0], "--settings", path, "node")
	host.Env = append(os.Environ(), runDaemon+"=1")
	g.Expect(host.Start()).To(Succeed())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the host has opened it
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(host.Process.Signal(syscall.SIGHUP)).To(Succeed())
	g.Expect(settings.Close()).To(Succeed())
	_ = host.Wait() // the settings are empty
	status, ok := host.ProcessState.Sys().(syscall.WaitStatus)
	g.Expect(ok).To(BeTrue())
	g.Expect(status.Signaled()).To(BeFalse(), "%s", host.ProcessState)
}
