package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/settings"
)

// BenchmarkIdleFleet measures the processor time of a fleet without requests,
// per host and second of virtual time.
func BenchmarkIdleFleet(b *testing.B) {
	const idle = 100 * time.Second
	for _, hosts := range []int{3, 7, 15} {
		b.Run(fmt.Sprint("hosts=", hosts), func(b *testing.B) {
			for range b.N {
				began := time.Now()
				ok := testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{{
					Name: "idle",
					F: func(t *testing.T) {
						run(t, siteOptions{hosts: hosts, control: 3, adjust: quietLog}, func(*site) { time.Sleep(idle) })
					},
				}})
				if !ok {
					b.Fatal("the fleet failed")
				}
				b.ReportMetric(float64(time.Since(began).Microseconds())/float64(hosts)/idle.Seconds(), "µs/host-s")
			}
		})
	}
}

func quietLog(*settings.Settings) {}
