package daemon

import (
	"math"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/godwitbend/godwitbend/internal/ingress"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	// softLimitShare is the part of the memory of a host at which the Go runtime aims.
	softLimitShare = 0.7
	// machineShare is the part of the machine's memory that a host without a limit counts as its own, up to maxDefaultBytes.
	machineShare    = 0.5
	maxDefaultBytes = 2 << 30
)

// newClientBudget returns the budget of what clients hold together, and sets the soft memory limit by the settings.
func newClientBudget(s *settings.Settings, o ingress.Options) *ingress.Budget {
	memory := s.MemoryMB * (1 << 20)
	if memory > 0 {
		debug.SetMemoryLimit(int64(memory * softLimitShare))
	} else {
		memory = defaultMemory()
	}
	o.Memory, o.Descriptors = int64(memory*s.Clients.MemoryShare), s.Clients.Descriptors
	o.StallTime, o.ReceiveBuffer = s.Clients.StallTime.Duration, s.Clients.ReceiveBuffer
	return ingress.NewBudget(o)
}

// defaultMemory returns the memory of a host whose settings state none, in bytes.
func defaultMemory() float64 {
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		return float64(limit) / softLimitShare
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return maxDefaultBytes
	}
	return min(machineShare*float64(info.Totalram)*float64(info.Unit), maxDefaultBytes)
}
