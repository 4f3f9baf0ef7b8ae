package controlnode

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/placement"
)

func TestHostTableSumsLoadsOfOtherHosts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newHostTable()
	a, b := table.recordCall("a", Peer{Session: 1}, now), table.recordCall("b", Peer{Session: 2}, now)
	table.setLoads(a, map[uint32]placement.Load{1: {InFlight: 1, Backlog: 10, KVTokens: 100}})
	table.setLoads(b, map[uint32]placement.Load{1: {InFlight: 2, Backlog: 20}, 2: {InFlight: 1}})
	table.setLoads(b, map[uint32]placement.Load{1: {InFlight: 3, Backlog: 30}})
	g.Expect(table.loadsOfOthers(a)).To(Equal(map[uint32]placement.Load{1: {InFlight: 3, Backlog: 30}}))
	g.Expect(table.loadsOfOthers(b)).To(Equal(map[uint32]placement.Load{1: {InFlight: 1, Backlog: 10, KVTokens: 100}}))
	revision := table.revision
	b = table.recordCall("b", Peer{Session: 2}, now.Add(hostTimeout))
	table.expire(now.Add(hostTimeout + 1))
	g.Expect(table.peers()).To(ConsistOf(Peer{Session: 2}))
	g.Expect(table.revision).To(BeNumerically(">", revision))
	g.Expect(table.loadsOfOthers(b)).To(BeEmpty(), "an expired host has no load")
}

// While many hosts start, the list is renewed at intervals, not with each of them.
func TestHostTablePublishesPeersAtIntervals(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newHostTable()
	table.recordCall("a", Peer{Address: "a"}, now)
	table.publish(now)
	g.Expect(table.published).To(HaveLen(1))
	table.recordCall("b", Peer{Address: "b"}, now)
	table.publish(now.Add(peersInterval - 1))
	g.Expect(table.published).To(HaveLen(1))
	table.publish(now.Add(peersInterval))
	g.Expect(table.published).To(HaveLen(2))
	g.Expect(table.publishedRevision).To(Equal(table.revision))
}

// A control host that was cut off from the gateways must not forget all of them.
func TestHostTableKeepsHostsThatAreSilentTogether(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newHostTable()
	for _, name := range []string{"a", "b", "c"} {
		table.recordCall(name, Peer{Address: name}, now)
	}
	later := now.Add(hostTimeout + 1)
	table.expire(later)
	g.Expect(table.peers()).To(HaveLen(3))
	table.recordCall("a", Peer{Address: "a"}, later)
	table.expire(later)
	g.Expect(table.peers()).To(HaveLen(3), "two of three are silent")
	table.recordCall("b", Peer{Address: "b"}, later)
	table.expire(later)
	g.Expect(table.peers()).To(ConsistOf(Peer{Address: "a"}, Peer{Address: "b"}))
}

func TestHostTableKeepsTheLatestPeerOfAHostAndListOfARelay(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newHostTable()
	old, restarted, other := Peer{Session: 1, Address: "a"}, Peer{Session: 2, Address: "a"}, Peer{Session: 3, Address: "b"}
	relay := table.recordRelay("r", 1, now)
	table.setRelayPeers(relay, []Peer{old, other}, 4, now)
	table.setLoads(&relay.gatewayHost, map[uint32]placement.Load{1: {InFlight: 2}})
	g.Expect(table.peers()).To(Equal([]Peer{old, other}))
	table.recordCall("gateway-a", restarted, now.Add(time.Second))
	g.Expect(table.peers()).To(Equal([]Peer{restarted, other}), "the process that called last")
	table.setRelayPeers(relay, []Peer{old}, 3, now)
	g.Expect(table.peers()).To(Equal([]Peer{restarted, other}), "an earlier list of the relay")
	table.recordRelay("r2", 1, now)
	table.removeRelays()
	g.Expect(table.peers()).To(Equal([]Peer{restarted}), "this host no longer leads")
	relay = table.recordRelay("r", 1, now)
	table.setRelayPeers(relay, []Peer{old, other}, 4, now)
	table.setLoads(&relay.gatewayHost, map[uint32]placement.Load{1: {InFlight: 2}})
	again := table.recordRelay("r", 2, now)
	g.Expect(again.revision).To(BeZero(), "the relay restarted")
	g.Expect(table.totals).To(BeEmpty())
	table.setRelayPeers(again, []Peer{other}, 1, now)
	g.Expect(table.peers()).To(Equal([]Peer{restarted, other}))
	g.Expect(table.size()).To(Equal(2))
	table.recordCall("gateway-a", restarted, now.Add(hostTimeout+time.Second))
	table.expire(now.Add(hostTimeout + time.Second))
	g.Expect(table.peers()).To(Equal([]Peer{restarted}), "the relay is silent")
}

// The gateways of a relay that are all silent have left, or call another control host.
func TestRelayDropsAllItsSilentHosts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	table := newHostTable()
	for _, name := range []string{"a", "b", "c"} {
		table.recordCall(name, Peer{Address: name}, now)
	}
	table.expireDirect(now.Add(hostTimeout))
	g.Expect(table.directPeers()).To(HaveLen(3))
	table.expireDirect(now.Add(hostTimeout + 1))
	g.Expect(table.directPeers()).To(BeEmpty())
}
