package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/catalog"
)

func TestOverrunShareIsOfRecentAnswers(t *testing.T) {
	g := NewWithT(t)
	var times workTimes
	for range minWorkTimeSamples - 1 {
		times.add("book", 4100*time.Millisecond)
	}
	g.Expect(times.overrunShare("book", time.Second)).To(BeZero(), "too few are known")
	times.add("book", 500*time.Millisecond)
	g.Expect(times.overrunShare("book", 4*time.Second)).To(BeNumerically("~", 15.0/16))
	g.Expect(times.overrunShare("book", 4100*time.Millisecond)).To(BeZero())
	g.Expect(times.overrunShare("book", -time.Second)).To(Equal(1.0))
	g.Expect(times.overrunShare("read", 0)).To(BeZero(), "unknown route")
	for range workTimeSamples {
		times.add("book", time.Second)
	}
	g.Expect(times.overrunShare("book", 2*time.Second)).To(BeZero(), "the others are long ago")
}

func TestWorkTimesOfManyRoutesAreBounded(t *testing.T) {
	var times workTimes
	for i := range 3 * maxWorkTimeRoutes {
		for range 2 * workTimeSamples {
			times.add(fmt.Sprint(i), 0)
		}
	}
	NewWithT(t).Expect(len(times.routes)).To(BeNumerically("<=", maxWorkTimeRoutes))
	NewWithT(t).Expect(times.routes[fmt.Sprint(3*maxWorkTimeRoutes-1)].samples).To(HaveLen(workTimeSamples))
}

// Guards against routes that look quick to a stopping gateway, as only their whole answers are counted.
func TestRequestsThatUseAllOfTheirTimeCountAsThatLong(t *testing.T) {
	const timeout = 8 * time.Second
	for name, test := range map[string]struct {
		kind    catalog.Kind
		outcome callerOutcome
		took    time.Duration
		sent    bool
		want    float64
	}{
		"answered":                       {catalog.Idempotent, gotAnswer, 7 * time.Second, true, 1},
		"failed at the deadline":         {catalog.Idempotent, gotRefusal, timeout, true, 1},
		"caller left at the deadline":    {catalog.NonIdempotent, gotNothing, timeout, true, 1},
		"failed early":                   {catalog.Idempotent, gotRefusal, 7 * time.Second, true, 0},
		"not sent":                       {catalog.Idempotent, gotRefusal, timeout, false, 0},
		"stream, which has another rule": {catalog.Streaming, gotAnswer, 7 * time.Second, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, now := &Handler{}, time.Now()
				var sent time.Time
				if test.sent {
					sent = now
				}
				time.Sleep(test.took)
				for range minWorkTimeSamples {
					q := &request{
						handler: h, route: &catalog.Route{Name: "r", Kind: test.kind}, outcome: test.outcome,
						bodyReadAt: now, lastSentAt: sent, deadline: now.Add(timeout),
					}
					q.recordWorkTime()
				}
				NewWithT(t).Expect(h.workTimes.overrunShare("r", 6*time.Second)).To(Equal(test.want))
			})
		})
	}
}
