package daemon

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var heardAt = time.Unix(1000, 0)

func TestUpstreamThatFallsSilentIsAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	d := newDirectSenders()
	d.hear("a", heardAt)
	d.hear("b", heardAt)
	g.Expect(d.tell([]string{"a", "c"}, heardAt)).To(ConsistOf("a"))
	g.Expect(d.lost(heardAt.Add(directFreshness / 2))).To(BeEmpty())
	g.Expect(d.lost(heardAt.Add(directFreshness))).To(ConsistOf("a"), "nobody was told of b")
	g.Expect(d.lost(heardAt.Add(2 * directFreshness))).To(BeEmpty())
	g.Expect(d.tell([]string{"a"}, heardAt.Add(directFreshness))).To(BeEmpty())
}

func TestSuppressionEndsByTimeOrRequest(t *testing.T) {
	g := NewWithT(t)
	s := newSuppressions()
	s.add("host", []string{"a", "b"}, heardAt)
	g.Expect(s.has("host", "a", heardAt)).To(BeTrue())
	g.Expect(s.has("other", "a", heardAt)).To(BeFalse())
	s.resume("host", []string{"a"})
	g.Expect(s.has("host", "a", heardAt)).To(BeFalse())
	g.Expect(s.has("host", "b", heardAt.Add(suppression+1))).To(BeFalse())
}
