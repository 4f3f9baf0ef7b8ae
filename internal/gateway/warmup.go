package gateway

import (
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// WarmUpObserver returns a function that counts the cold states of upstreams that this host infers,
// by reason, and the upstreams that warm up.
func WarmUpObserver(scope tally.Scope) func(placement.WarmUpEvent) {
	warmingUp := scope.Gauge("upstreams_warming_up")
	inferred := map[placement.ColdReason]tally.Counter{}
	for _, reason := range placement.InferredColdReasons {
		inferred[reason] = scope.Tagged(map[string]string{telemetry.TagReason: string(reason)}).Counter("upstreams_inferred_cold")
	}
	return func(e placement.WarmUpEvent) {
		warmingUp.Update(float64(e.WarmingUp))
		if c := inferred[e.Inferred]; c != nil {
			c.Inc(1)
		}
	}
}
