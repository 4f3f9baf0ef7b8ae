package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against hosts that together send a brittle upstream more than it has room for.
func TestSharesOfBrittleUpstreamAddUpToItsRoom(t *testing.T) {
	for _, hosts := range []int{1, 3, 9, 291} {
		for _, slots := range []int{0, 1, 6, 24, 64} {
			g := NewWithT(t)
			var addresses []string
			for i := range hosts {
				addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
			}
			sums := map[string]int{}
			users := 0
			for _, own := range addresses {
				p := NewPool("a")
				p.SetHosts(own, addresses)
				sum := 0
				for i := range 8 {
					u := &Upstream{Upstream: presence.Upstream{ID: fmt.Sprint("u", i), Slots: slots}}
					share := p.brittleShare(u)
					sums[u.ID] += share
					sum += share
				}
				if sum > 0 {
					users++
				}
			}
			for id, sum := range sums {
				g.Expect(sum).To(Equal(max(int(brittleFill*float64(slots)), 1)), "%s of %d slots, %d hosts", id, slots, hosts)
			}
			g.Expect(users).To(BeNumerically(">=", min(hosts, 2)), "%d slots, %d hosts", slots, hosts)
		}
	}
}

func TestBrittlenessOfAServiceBoundsItsUpstreamsUntilItEnds(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 2)
	p.SetHosts("h1", []string{"h1", "h2"})
	request := &Request{Service: "engine", MaxInFlight: func(*Upstream) int { return 18 }}
	a := mustChoose(g, p, request)
	change := p.ObserveNotice(a, notice.Notice{Brittle: true, MaxRejections: 0.5}, "r", startTime)
	g.Expect(change.Brittle).To(BeTrue())
	g.Expect(p.ObserveNotice(a, notice.Notice{Brittle: true, MaxRejections: 3}, "r", startTime).Brittle).To(BeFalse(), "once")
	inFlight := 1
	for {
		if _, refused := p.Choose(request, startTime); refused != nil {
			g.Expect(refused.Reason).To(Equal(AllFull))
			break
		}
		inFlight++
	}
	shares := 0
	for _, u := range p.services["engine"] {
		shares += p.brittleShare(u)
	}
	g.Expect(inFlight).To(Equal(shares), "at both upstreams, also at the one that said nothing")
	g.Expect(shares).To(BeNumerically(">=", 4))
	later := startTime.Add(brittleTime)
	_, refused := p.Choose(request, later)
	g.Expect(refused).To(BeNil(), "no answer has said so for long")
}

// Guards against a host that goes on sending to a brittle upstream which turned its request away.
func TestBrittleUpstreamThatTurnsARequestAwayIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	p := newTestPool(g, "a", 1)
	request := &Request{Service: "engine"}
	a := mustChoose(g, p, request)
	p.ObserveNotice(a, notice.Notice{Brittle: true}, "r", startTime)
	p.Observe(a, Refused, startTime)
	p.Release(a)
	_, refused := p.Choose(request, startTime.Add(brittleWait/2))
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.RetryAfter).To(BeNumerically("~", brittleWait/2, 10*time.Millisecond))
	_, refused = p.Choose(request, startTime.Add(brittleWait))
	g.Expect(refused).To(BeNil())
}
