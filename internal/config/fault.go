package config

import (
	"fmt"
	"strings"
)

// Fault is a validation error of a record.
type Fault struct {
	Kind Kind
	Name string
	// Path is the path of the field, such as "spec.methods[1].path".
	Path    string
	Message string
}

// String returns the fault as "kind/name path: message".
func (f Fault) String() string {
	return fmt.Sprintf("%s/%s %s: %s", f.Kind, f.Name, f.Path, f.Message)
}

// Faults holds all faults of a set of records.
type Faults []Fault

// Error implements error. Replicas store its text in the results of operations, so it
// must be the same in all builds.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// faultList collects the faults of a record.
type faultList struct {
	record Record
	faults Faults
}

func (l *faultList) add(path, format string, args ...any) {
	l.faults = append(l.faults, Fault{l.record.Kind, l.record.Name, path, fmt.Sprintf(format, args...)})
}

func (l *faultList) checkName(path, name string) {
	if !ValidName(name) {
		l.add(path, "%q is not a name: 1 to %d letters, digits, '.', '_' or '-', starting with a letter or digit", name, MaxNameBytes)
	}
}

func (l *faultList) checkRange(path string, value, low, high int64) {
	if value < low || value > high {
		l.add(path, "%d is not within %d to %d", value, low, high)
	}
}
