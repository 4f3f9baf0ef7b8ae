package load

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/harness"
)

// anyHost returns a host that runs.
func (s *Site) anyHost() (*harness.Host, error) {
	for _, h := range s.Hosts {
		if h.Running() {
			return h, nil
		}
	}
	return nil, eris.New("no host runs")
}

func noneReserved(budgets []controlapi.BudgetStatus) error {
	for _, b := range budgets {
		if b.Reserved != 0 {
			return eris.Errorf("%d tokens of %s are reserved", b.Reserved, b.Budget)
		}
	}
	return nil
}

// usage adds up what the running daemons have used; Memory is the most of any.
func (s *Site) usage() harness.ProcessUsage {
	var sum harness.ProcessUsage
	for _, h := range s.Hosts {
		if !h.Running() {
			continue
		}
		used, err := h.Usage()
		if err != nil {
			continue
		}
		sum.CPUTime += used.CPUTime
		sum.IOBytes += used.IOBytes
		sum.PeakMemory = max(sum.PeakMemory, used.PeakMemory)
	}
	return sum
}
