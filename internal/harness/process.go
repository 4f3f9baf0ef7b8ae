// Package harness runs the real programs as processes on loopback addresses for
// the demo, the load driver and the failure tests: it writes settings files,
// starts, freezes, kills and stops processes by their id, and waits on conditions.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	pollInterval = 20 * time.Millisecond
	// stopTimeout bounds the time from SIGTERM to the end of a process.
	stopTimeout = 30 * time.Second
	logTailSize = 4096
)

// Process is one running program.
type Process struct {
	// Name identifies it in errors and names its log file.
	Name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	waitErr error
}

// Start runs the program at path with args; its output goes to a log file in dir.
func Start(name, dir, path string, args ...string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	defer log.Close()
	p := &Process{Name: name, logPath: logPath, cmd: exec.Command(path, args...), done: make(chan struct{})}
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "start %s", name)
	}
	go func() {
		p.waitErr = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits for the end. It is an error if the exit code is not 0.
func (p *Process) Stop() error {
	p.Terminate()
	return p.AwaitExit(stopTimeout)
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// AwaitExit waits for the end of the process. It is an error if it does not
// end within timeout or its exit code is not 0.
func (p *Process) AwaitExit(timeout time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(timeout):
		return eris.Errorf("%s did not end within %s\n%s", p.Name, timeout, p.LogTail())
	}
	if p.waitErr != nil {
		return eris.Errorf("%s ended with: %v\n%s", p.Name, p.waitErr, p.LogTail())
	}
	return nil
}

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Freeze stops the process by SIGSTOP until Continue.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Continue lets a frozen process run.
func (p *Process) Continue() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// LogTail returns the end of the log.
func (p *Process) LogTail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return ""
	}
	if len(data) > logTailSize {
		data = data[len(data)-logTailSize:]
	}
	return strings.TrimSpace(string(data))
}

// Await polls condition until it returns nil. If ctx ends before, it returns the
// last error that was not the end of ctx.
func Await(ctx context.Context, what string, condition func(context.Context) error) error {
	last := ctx.Err()
	for {
		err := condition(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(last, "wait until %s", what)
		case <-time.After(pollInterval):
		}
	}
}
