package hostsync

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
)

func TestControlHostsNearAndUpArePreferred(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	var h controlHosts
	h.apply(&controlnode.SyncReply{ControlHosts: []controlnode.ControlHost{
		{Address: "a1", Zone: "a"}, {Address: "b1", Zone: "b"}, {Address: "a2", Zone: "a"},
	}, ControlHostsDigest: 7}, now)
	order := func(at time.Time) []string { return h.byPreference([]string{"seed", "b1"}, "b", "own", at) }
	first := order(now)
	g.Expect(first[0]).To(Equal("b1"), "the one in the zone")
	g.Expect(first[1:3]).To(ConsistOf("a1", "a2"))
	g.Expect(first[3:]).To(Equal([]string{"seed"}))
	h.recordFailure("b1", now)
	g.Expect(order(now)).To(Equal([]string{first[1], first[2], "seed", "b1"}))
	g.Expect(order(now.Add(controlHostAvoidance + 1))).To(Equal(first))
	h.apply(&controlnode.SyncReply{ControlHostsDigest: 7}, now)
	g.Expect(order(now.Add(controlHostAvoidance+1))).To(Equal(first), "a reply without a list changes nothing")
}

func TestHostsOfAZoneSpreadOverItsControlHosts(t *testing.T) {
	g := NewWithT(t)
	var h controlHosts
	h.apply(&controlnode.SyncReply{ControlHosts: []controlnode.ControlHost{{Address: "a1", Zone: "a"}, {Address: "a2", Zone: "a"}}}, time.Now())
	calls := map[string]int{}
	for i := range 100 {
		calls[h.byPreference(nil, "a", fmt.Sprint("gateway-", i), time.Now())[0]]++
	}
	g.Expect(calls["a1"]).To(BeNumerically("~", 50, 20))
}
