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
	// clockTick is the unit of CPU times in /proc.
	clockTick = 10 * time.Millisecond
	// userTimeField is the index of the user CPU time among the fields after the program name
	// in /proc/PID/stat. The system CPU time follows it.
	userTimeField = 11
	kibibyte      = 1024
)

// ProcessUsage is the resource usage of a process since its start.
type ProcessUsage struct {
	// CPUTime is the user and system CPU time.
	CPUTime time.Duration
	// PeakMemory is the peak resident memory in bytes.
	PeakMemory int64
	// IOBytes is the number of bytes read and written, on sockets and files.
	IOBytes int64
}

// Usage returns the resource usage of the process, which must be running.
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
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) < userTimeField+2 {
		return ProcessUsage{}, eris.New("read usage: too few fields in /proc/PID/stat")
	}
	user, _ := strconv.ParseInt(fields[userTimeField], 10, 64)
	system, _ := strconv.ParseInt(fields[userTimeField+1], 10, 64)
	return ProcessUsage{
		CPUTime:    time.Duration(user+system) * clockTick,
		PeakMemory: kibibyte * parseNumericField(string(status), "VmHWM:"),
		IOBytes:    parseNumericField(string(io), "rchar:") + parseNumericField(string(io), "wchar:"),
	}, nil
}

// parseNumericField returns the number in the first line of text that begins with name, or 0 if
// there is no such line. A kB unit is ignored.
func parseNumericField(text, name string) int64 {
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
