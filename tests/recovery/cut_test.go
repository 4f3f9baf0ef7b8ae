package recovery_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

// A leader that is cut off from the others answers no read, and its host is read elsewhere once the links are whole.
func TestCutLinksSeparateTheControlHosts(t *testing.T) {
	skipIfShort(t)
	t.Parallel()
	g := NewWithT(t)
	f, err := newFleet(daemon, t.TempDir(), nextSubnet(), schedule{Seed: 1, Control: 3, Gateways: 1, Zones: 3})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.stop)
	g.Expect(f.startAll()).To(Succeed())
	r := &runner{fleet: f, operator: newOperator(f, 1)}
	g.Expect(r.operator.put(t.Context())).To(Succeed())
	leader := f.resolve(t.Context(), r.operator, targetLeader)
	// getAlone reads at a host that must lead itself.
	getAlone := func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), tryTimeout)
		defer cancel()
		reply, err := rpc.Call[controlnode.GetRequest, controlnode.GetReply](ctx, r.operator.rpc, leader.Settings.Listen.Hosts,
			controlnode.MethodGet, &controlnode.GetRequest{})
		return err == nil && !reply.NotLeader
	}
	g.Expect(getAlone()).To(BeTrue())
	healed := make(chan struct{})
	go func() {
		defer close(healed)
		r.cutFor(t.Context(), 6*time.Second, []*controlHost{leader}, r.othersThan(leader))
	}()
	time.Sleep(time.Second)
	g.Expect(getAlone()).To(BeFalse())
	put, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	g.Expect(r.operator.put(put)).To(Succeed(), "the others lead")
	<-healed
	g.Expect(r.awaitVersion(t.Context(), f.history.newestAcknowledged())).To(Succeed())
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	g.Expect(f.history.violations).To(BeEmpty())
}
