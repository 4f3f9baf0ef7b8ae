package upstreampath

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/tunnel"
)

var errRefused = errors.New("connection refused")

// network simulates the links of a host and those of the other hosts to upstreams.
type network struct {
	mu sync.Mutex
	// linksDown cuts the host off from all upstreams, and otherLinksDown other hosts.
	linksDown      bool
	otherLinksDown map[string]bool
	// isolated cuts the host off from the other hosts.
	isolated bool
	// linkDown cuts the host off from single upstreams.
	linkDown map[string]bool
	// upstreamsDown accept no connections of anybody.
	upstreamsDown  map[string]bool
	direct, tunnel int
	cuts           int
}

func newNetwork() *network {
	return &network{otherLinksDown: map[string]bool{}, linkDown: map[string]bool{}, upstreamsDown: map[string]bool{}}
}

func (n *network) dialer(hosts int) *Dialer {
	var others []string
	for i := range hosts {
		others = append(others, fmt.Sprintf("host-%d", i))
	}
	return NewDialer(Options{
		Direct: n.dialDirect, Tunnel: n.dialTunnel, Scope: tally.NoopScope,
		Hosts: func() []string { return append([]string(nil), others...) },
		CutOff: func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.cuts++
		},
	})
}

func (n *network) dialDirect(_ context.Context, address string) (io.ReadWriteCloser, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.direct++
	if n.linksDown || n.linkDown[address] || n.upstreamsDown[address] {
		return nil, errRefused
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (n *network) dialTunnel(_ context.Context, via, address string, _ time.Duration) (io.ReadWriteCloser, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tunnel++
	switch {
	case n.isolated:
		return nil, errors.New("timeout")
	case n.otherLinksDown[via]:
		return nil, &tunnel.UnavailableError{Reason: "cut off"}
	case n.upstreamsDown[address]:
		return nil, &tunnel.UnreachableError{Reason: "refused"}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (n *network) set(fn func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fn()
}

func (d *Dialer) isCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.cutOff
}

func upstream(i int) string { return fmt.Sprintf("upstream-%d", i) }

// Guards against refusing requests that another host could pass on.
func TestCutOffHostConnectsThroughOthersAndReturnsToItsLinks(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(5)
	n.set(func() { n.linksDown, n.otherLinksDown["host-0"], n.otherLinksDown["host-1"] = true, true, true })
	_, err := d.Dial(t.Context(), upstream(0))
	g.Expect(err).To(HaveOccurred(), "a single upstream may be down")
	for i := 1; i < 50; i++ {
		_, err := d.Dial(t.Context(), upstream(i%4))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(d.isCutOff()).To(BeTrue())
	n.set(func() {
		g.Expect(n.cuts).To(Equal(1))
		g.Expect(n.direct).To(BeNumerically("<", 6), "its own links are tried seldom")
		n.linksDown = false
	})
	g.Eventually(func() bool {
		_, err := d.Dial(t.Context(), upstream(1))
		g.Expect(err).NotTo(HaveOccurred())
		return d.isCutOff()
	}, "3s", "20ms").Should(BeFalse())
}

// Guards against taking crashed upstreams for lost links.
func TestUpstreamsThatAreDownForAllDoNotCutTheHostOff(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(5)
	n.set(func() {
		n.upstreamsDown[upstream(0)], n.upstreamsDown[upstream(1)], n.upstreamsDown[upstream(2)] = true, true, true
	})
	for i := range 30 {
		_, err := d.Dial(t.Context(), upstream(i%3))
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(d.isCutOff()).To(BeFalse())
	_, err := d.Dial(t.Context(), upstream(3))
	g.Expect(err).NotTo(HaveOccurred())
	n.set(func() { n.tunnel = 0 })
	_, err = d.Dial(t.Context(), upstream(0))
	g.Expect(err).To(HaveOccurred())
	g.Expect(n.tunnel).To(BeZero(), "the host has just reached an upstream by its own links")
}

// Guards against hosts that hand a connection from one to the other while all are cut off.
func TestCutOffHostCarriesNoTunnels(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(1)
	n.set(func() { n.linksDown = true })
	for i := range 3 {
		_, _ = d.Dial(t.Context(), upstream(i))
	}
	g.Expect(d.isCutOff()).To(BeTrue())
	_, err := d.DialForOther(t.Context(), upstream(0))
	g.Expect(errors.Is(err, tunnel.ErrUnavailable)).To(BeTrue())
	n.set(func() { n.otherLinksDown["host-0"] = true })
	_, err = d.Dial(t.Context(), upstream(0))
	g.Expect(err).To(HaveOccurred())
	n.set(func() { n.linksDown = false })
	_, err = d.Dial(t.Context(), upstream(0))
	g.Expect(err).NotTo(HaveOccurred(), "without a tunnel its own links are tried at once")
}

// Guards against reports of crashes of upstreams that only this host can't reach.
func TestUpstreamIsReachableIfAnotherHostReachesIt(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(3)
	n.set(func() { n.linksDown, n.otherLinksDown["host-0"] = true, true })
	g.Expect(d.Reachable(t.Context(), upstream(0))).To(BeTrue())
	n.set(func() { n.upstreamsDown[upstream(1)] = true })
	g.Expect(d.Reachable(t.Context(), upstream(1))).To(BeFalse())
}

// Guards against using the links to some upstreams less or more than they are lost.
func TestOnlyLostLinksAreAvoided(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(3)
	n.set(func() { n.linkDown[upstream(0)], n.linkDown[upstream(1)], n.linkDown[upstream(2)] = true, true, true })
	failed := 0
	dialAll := func() {
		for i := range 4 {
			if _, err := d.Dial(t.Context(), upstream(i)); err != nil {
				failed++
			}
		}
	}
	dialAll()
	g.Eventually(func() bool {
		dialAll()
		return d.isCutOff()
	}, "3s", "50ms").Should(BeFalse(), "one upstream stays reachable")
	dialAll()
	dialAll()
	g.Expect(failed).To(BeNumerically("<=", 1), "the first one may be down")
	g.Expect(d.Lost(upstream(1))).To(BeTrue())
	g.Expect(d.Lost(upstream(3))).To(BeFalse())
	n.set(func() {
		n.direct, n.tunnel = 0, 0
	})
	for range 20 {
		dialAll()
	}
	n.set(func() {
		g.Expect(n.direct).To(BeNumerically("<=", 20+3), "lost links are tried seldom")
		g.Expect(n.tunnel).To(BeNumerically(">=", 60))
		clear(n.linkDown)
	})
	for i := range 3 {
		g.Eventually(func() bool {
			_, err := d.Dial(t.Context(), upstream(i))
			g.Expect(err).NotTo(HaveOccurred())
			return d.Lost(upstream(i))
		}, "3s", "20ms").Should(BeFalse())
	}
	time.Sleep(100 * time.Millisecond) // the slower attempts of the last probes end
	n.set(func() { n.upstreamsDown[upstream(1)], n.tunnel = true, 0 })
	_, err := d.Dial(t.Context(), upstream(1))
	g.Expect(err).To(HaveOccurred())
	n.set(func() { g.Expect(n.tunnel).To(BeZero(), "an upstream that is down is not asked for") })
}

// Guards against delays by hosts that are out of reach too.
func TestHostThatReachesNoOtherSeldomTriesTunnels(t *testing.T) {
	g := NewWithT(t)
	n := newNetwork()
	d := n.dialer(40)
	n.set(func() {
		n.linksDown, n.isolated = true, true
	})
	for i := range 20 {
		_, err := d.Dial(t.Context(), upstream(i%4))
		g.Expect(err).To(HaveOccurred())
	}
	n.set(func() {
		g.Expect(n.tunnel).To(And(BeNumerically(">=", 1), BeNumerically("<=", 2*maxSilentHosts)))
		n.isolated = false
	})
	g.Eventually(func() error {
		_, err := d.Dial(t.Context(), upstream(0))
		return err
	}, "2s", "20ms").Should(Succeed())
}
