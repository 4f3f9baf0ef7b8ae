package gateway

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOverrunShareIsOfRecentAnswersToRequestsOfThatSize(t *testing.T) {
	g := NewWithT(t)
	var times workTimes
	for range minWorkTimeSamples - 1 {
		times.add("chat", newWorkTime(100*time.Millisecond, 4100*time.Millisecond, 40))
	}
	g.Expect(times.overrunShare("chat", 80, time.Second)).To(BeZero(), "too few are known")
	times.add("chat", newWorkTime(100*time.Millisecond, 500*time.Millisecond, 40))
	g.Expect(times.overrunShare("chat", 80, 8*time.Second)).To(BeNumerically("~", 15.0/16))
	g.Expect(times.overrunShare("chat", 70, 8*time.Second)).To(BeZero())
	g.Expect(times.overrunShare("chat", math.MaxInt64, time.Minute)).To(Equal(1.0))
	g.Expect(times.overrunShare("read", 0, 0)).To(BeZero(), "unknown route")
	for range workTimeSamples {
		times.add("chat", newWorkTime(0, time.Second, 0))
	}
	g.Expect(times.overrunShare("chat", 80, 2*time.Second)).To(BeZero(), "the others are long ago")
}

func TestWorkTimesOfManyRoutesAreBounded(t *testing.T) {
	var times workTimes
	for i := range 3 * maxWorkTimeRoutes {
		for range 2 * workTimeSamples {
			times.add(fmt.Sprint(i), workTime{})
		}
	}
	NewWithT(t).Expect(len(times.routes)).To(BeNumerically("<=", maxWorkTimeRoutes))
	NewWithT(t).Expect(times.routes[fmt.Sprint(3*maxWorkTimeRoutes-1)].samples).To(HaveLen(workTimeSamples))
}
