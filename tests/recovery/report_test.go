package recovery_test

import (
	"fmt"
	"slices"
	"strings"

	"github.com/godwitbend/godwitbend/internal/harness"
)

// statusLines is the number of lines that the report gives of each host.
const statusLines = 8

// statusMessages are the log messages that tell what became of a replica.
var statusMessages = []string{
	"host starting", "host failed", "host stopped", "replica started", "leadership changed", "membership changed", "membership change failed",
	"replica was removed from the group; joining under a new id", "replica stopped: the disk failed", "replica stopped with an error",
}

// report returns the schedule, the events, and the latest status lines of each host.
func (f *fleet) report(s schedule, dir string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "%s\nlogs: %s\nevents (s):\n  %s\n", s, dir, strings.Join(f.events, "\n  "))
	for _, n := range f.nodes.Nodes {
		fmt.Fprintf(&b, "%s:\n", n.Settings.Host)
		lines, err := harness.ReadLogLines(n.LogPath(), statusMessages...)
		if err != nil {
			fmt.Fprintf(&b, "  %v\n", err)
		}
		for _, line := range lines[max(0, len(lines)-statusLines):] {
			fmt.Fprintf(&b, "  %7.3f %s\n", line.Time.Sub(f.began).Seconds(), line.Message+fields(line))
		}
	}
	return b.String()
}

// fields returns the fields of a line that tell what happened.
func fields(line harness.LogLine) string {
	var text []string
	for name, value := range line.Fields {
		if !slices.Contains([]string{"time", "level", "msg", "host", "role", "zone"}, name) {
			text = append(text, fmt.Sprintf(" %s=%v", name, value))
		}
	}
	slices.Sort(text)
	return strings.Join(text, "")
}
