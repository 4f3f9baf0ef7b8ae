package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testTime = time.Unix(1000, 0)

func TestExpiredDirectUpstreamIsRequestedAgain(t *testing.T) {
	g := NewWithT(t)
	d := newDirectUpstreams()
	d.recordReceived("a", testTime)
	d.recordReceived("b", testTime)
	g.Expect(d.report([]string{"a", "c"}, testTime)).To(ConsistOf("a"))
	g.Expect(d.takeExpired(testTime.Add(directTimeout / 2))).To(BeEmpty())
	g.Expect(d.takeExpired(testTime.Add(directTimeout))).To(ConsistOf("a"), "b was not reported to any host")
	g.Expect(d.takeExpired(testTime.Add(2 * directTimeout))).To(BeEmpty())
	g.Expect(d.report([]string{"a"}, testTime.Add(directTimeout))).To(BeEmpty())
}

func TestSuppressionEndsByTimeoutOrRequest(t *testing.T) {
	g := NewWithT(t)
	s := newSuppressions()
	s.add("host", []string{"a", "b"}, testTime)
	g.Expect(s.suppressed("host", "a", testTime)).To(BeTrue())
	g.Expect(s.suppressed("other", "a", testTime)).To(BeFalse())
	s.resume("host", []string{"a"})
	g.Expect(s.suppressed("host", "a", testTime)).To(BeFalse())
	g.Expect(s.suppressed("host", "b", testTime.Add(suppressionPeriod+1))).To(BeFalse())
}
