package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/harness"
)

// BenchmarkIdleFleet measures CPU time and bytes sent between hosts of a fleet
// without requests, per host and second of virtual time. CPU time is taken as the
// elapsed time of a run in which nothing waits for the wall clock; it includes the
// stand-ins.
func BenchmarkIdleFleet(b *testing.B) {
	const idle = 100 * time.Second
	for _, o := range []siteOptions{
		{hosts: 3, control: 3},
		{hosts: 7, control: 3},
		{hosts: 15, control: 3},
		{hosts: 30, control: 3},
		{hosts: 7, control: 3, idleEngines: 12},
		{hosts: 7, control: 3, idleEngines: 48},
	} {
		b.Run(fmt.Sprintf("hosts=%d/upstreams=%d", o.hosts, o.idleEngines+2), func(b *testing.B) {
			for range b.N {
				elapsed, bytes := measureIdleFleet(b, o, idle)
				perHost := float64(o.hosts) * idle.Seconds()
				b.ReportMetric(float64(elapsed.Microseconds())/perHost, "µs/host-s")
				b.ReportMetric(float64(bytes)/perHost, "B/host-s")
			}
		})
	}
}

// measureIdleFleet runs a fleet without requests for the virtual time idle and returns
// the elapsed real time and the bytes sent between hosts meanwhile.
func measureIdleFleet(b *testing.B, o siteOptions, idle time.Duration) (elapsed time.Duration, bytes int64) {
	isHost := func(node string) bool { return strings.HasPrefix(node, "host-") }
	test := testing.InternalTest{Name: "idle", F: func(t *testing.T) {
		began := time.Now()
		run(t, o, func(s *site) {
			before := s.net.BytesWritten(isHost)
			time.Sleep(idle)
			bytes = s.net.BytesWritten(isHost) - before
		})
		elapsed = time.Since(began)
	}}
	all := func(_, _ string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{test}) {
		b.Fatal("the fleet failed")
	}
	return elapsed, bytes
}

// BenchmarkRequest measures CPU time and bytes sent between hosts per request,
// including stand-ins and caller and less those of an idle fleet.
func BenchmarkRequest(b *testing.B) {
	const requests = 200
	o := siteOptions{hosts: 5, control: 3}
	send := map[string]func(s *site, i int) (*harness.Answer, error){
		"model": func(s *site, i int) (*harness.Answer, error) {
			return s.chat(s.hosts[4], fmt.Sprint("k", i), "question")
		},
		"plain": func(s *site, i int) (*harness.Answer, error) { return s.nextNumber(s.hosts[4], fmt.Sprint("k", i)) },
	}
	for kind, fn := range send {
		b.Run(kind, func(b *testing.B) {
			isHost := func(node string) bool { return strings.HasPrefix(node, "host-") }
			var elapsed, span time.Duration
			var bytes int64
			test := testing.InternalTest{Name: kind, F: func(t *testing.T) {
				run(t, o, func(s *site) {
					before := s.net.BytesWritten(isHost)
					began := time.Now()
					for i := range requests {
						if answer, err := fn(s, i); err != nil || answer.Status != http.StatusOK {
							t.Fatal(err, answer)
						}
					}
					span = time.Since(began)
					bytes = s.net.BytesWritten(isHost) - before
				})
			}}
			began := time.Now()
			if !testing.RunTests(func(_, _ string) (bool, error) { return true, nil }, []testing.InternalTest{test}) {
				b.Fatal("the fleet failed")
			}
			elapsed = time.Since(began)
			idleElapsed, idle := measureIdleFleet(b, o, span)
			b.ReportMetric(float64((elapsed-idleElapsed).Microseconds())/requests, "µs/request")
			b.ReportMetric(float64(bytes-idle)/requests, "B/request")
		})
	}
}
