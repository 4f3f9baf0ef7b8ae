package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// userTimeField is the position of the user time behind the program's name in /proc/PID/stat.
	userTimeField = 11
	kibibyte      = 1024
)

// ProcessUsage is what a process has used.
type ProcessUsage struct {
	// Processor is the processor time since its start.
	Processor time.Duration
	// Memory is the most resident memory since its start, in bytes.
	Memory int64
	// Bytes counts what it read and wrote since its start, on sockets and files.
	Bytes int64
}

// Usage returns what the process has used so far.
func (p *Process) Usage() (ProcessUsage, error) {
	pid := p.cmd.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return ProcessUsage{}, eris.Wrap(err, "read usage")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return ProcessUsage{}, eris.Wrap(err, "read usage")
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return ProcessUsage{}, eris.Wrap(err, "read usage")
	}
	_, behindName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(behindName)
	if len(fields) < userTimeField+2 {
		return ProcessUsage{}, eris.New("read usage: too few fields")
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[userTimeField+1], 10, 64)
	return ProcessUsage{
		Processor: time.Duration(user+system) * clockTick,
		Memory:    kibibyte * numberBehind(string(status), "VmHWM:"),
		Bytes:     numberBehind(string(io), "rchar:") + numberBehind(string(io), "wchar:"),
	}, nil
}

// numberBehind returns the first number in the line of text that begins with name, or 0.
func numberBehind(text, name string) int64 {
	for line := range strings.Lines(text) {
		value, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		n, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		return n
	}
	return 0
}
