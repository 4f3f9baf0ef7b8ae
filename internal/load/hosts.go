package load

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/audit"
	"github.com/godwitbend/godwitbend/internal/harness"
)

// anyRunningHost returns the first host whose daemon is running.
func (s *Site) anyRunningHost() (*harness.Host, error) {
	for _, h := range s.Hosts {
		if h.Running() {
			return h, nil
		}
	}
	return nil, eris.New("no host is running")
}

// checkSettled returns an error if a budget has reserved tokens or an answered request is not
// charged yet. A host's journal charges requests that it served without the control group, up to
// a maintenance interval after their answers.
func checkSettled(e *audit.Evidence) error {
	for _, b := range e.Budgets {
		if b.Reserved != 0 {
			return eris.Errorf("%d tokens of budget %s are reserved", b.Reserved, b.Budget)
		}
	}
	if unbilled := audit.Check(e).UnbilledRuns; unbilled != 0 {
		return eris.Errorf("%d answered requests are not charged", unbilled)
	}
	return nil
}

// totalUsage returns the sum of the usage of all running daemons, and the largest PeakMemory of
// any.
func (s *Site) totalUsage() harness.ProcessUsage {
	var total harness.ProcessUsage
	for _, h := range s.Hosts {
		if !h.Running() {
			continue
		}
		used, err := h.Usage()
		if err != nil {
			continue
		}
		total.CPUTime += used.CPUTime
		total.IOBytes += used.IOBytes
		total.PeakMemory = max(total.PeakMemory, used.PeakMemory)
	}
	return total
}
