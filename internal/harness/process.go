// Package harness runs the real programs as processes on loopback addresses, for the demo, the
// load driver and the failure tests. It writes settings files, starts, freezes, kills and stops
// processes by their process ID, and waits for conditions.
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
	// stopTimeout is the time in which a process must exit after SIGTERM.
	stopTimeout = 30 * time.Second
	logTailSize = 4096
)

// Process is a program that was started by Start.
type Process struct {
	// Name identifies the process in errors and is the base name of its log file.
	Name    string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	waitErr error
}

// Start runs the program at path with args. Its output is appended to a log file in dir. The
// process is killed if its parent terminates.
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

// Done returns a channel that is closed when the process has terminated.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Running reports whether the process has not terminated.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Stop sends SIGTERM and waits for the process to exit. It returns an error if the process does
// not exit in time or its exit code is not 0.
func (p *Process) Stop() error {
	p.Terminate()
	return p.AwaitExit(stopTimeout)
}

// Terminate sends SIGTERM.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// AwaitExit waits for the process to exit. It returns an error if the process does not exit
// within timeout or its exit code is not 0.
func (p *Process) AwaitExit(timeout time.Duration) error {
	select {
	case <-p.done:
	case <-time.After(timeout):
		return eris.Errorf("%s did not exit within %s\n%s", p.Name, timeout, p.LogTail())
	}
	if p.waitErr != nil {
		return eris.Errorf("%s failed: %v\n%s", p.Name, p.waitErr, p.LogTail())
	}
	return nil
}

// Kill sends SIGKILL and waits until the process has terminated.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// KillAll sends SIGKILL to all processes before it waits until they have terminated.
func KillAll(processes ...*Process) {
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
}

// Freeze suspends the process with SIGSTOP until Continue.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { _ = p.cmd.Process.Signal(syscall.SIGHUP) }

// Continue resumes a frozen process with SIGCONT.
func (p *Process) Continue() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// LogTail returns the last logTailSize bytes of the log, or "" if the log cannot be read.
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

// Await polls condition until it returns nil. If ctx is done first, it returns the last error
// that was not caused by the end of ctx.
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
