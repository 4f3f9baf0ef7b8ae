package hostsync

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

func controlHostsOf(epochs map[string]uint64) (list []controlnode.ControlHost) {
	for address, epoch := range epochs {
		list = append(list, controlnode.ControlHost{Address: address, Epoch: epoch})
	}
	return list
}

// Guards against control hosts that lack records after they started or joined, and against sending all
// records again without need.
func TestRecordsGoToControlHostsThatMayLackThem(t *testing.T) {
	g := NewWithT(t)
	members := []string{"a:1", "b:1", "c:1", "d:1", "e:1"}
	epochs := map[string]uint64{"a:1": 1, "b:1": 2, "c:1": 3, "d:1": 4, "e:1": 5, "seed:1": 6}
	first, started := (&controlKeepers{members: []string{"seed:1"}}).after(&controlnode.SyncReply{Members: members, ControlHosts: controlHostsOf(epochs)})
	g.Expect(started).To(ConsistOf(members), "a host that is no member keeps nothing")
	same, started := first.after(&controlnode.SyncReply{})
	g.Expect(started).To(BeEmpty(), "a reply without lists")
	g.Expect(same.members).To(Equal(first.members))
	silent, started := same.after(&controlnode.SyncReply{Members: members, ControlHosts: controlHostsOf(map[string]uint64{"a:1": 1, "b:1": 0})})
	g.Expect(started).To(BeEmpty(), "hosts that are not heard, or do not state their process")
	restarted, started := silent.after(&controlnode.SyncReply{Members: members, ControlHosts: controlHostsOf(map[string]uint64{"c:1": 33})})
	g.Expect(started).To(Equal([]string{"c:1"}))
	replaced, joined := restarted.after(&controlnode.SyncReply{
		Members: []string{"a:1", "b:1", "c:1", "d:1", "f:1"}, ControlHosts: controlHostsOf(map[string]uint64{"f:1": 7}),
	})
	for fingerprint := range uint64(200) {
		r := streamorigin.Record{Fingerprint: fingerprint, Lifetime: time.Minute}
		g.Expect(first.of(r)).To(HaveLen(streamorigin.Keepers))
		want := []string{}
		for _, host := range first.of(r) {
			if host == "c:1" {
				want = append(want, host)
			}
		}
		g.Expect(silent.lacking(restarted, started, r)).To(Equal(want))
		for _, host := range restarted.lacking(replaced, joined, r) {
			g.Expect(restarted.of(r)).NotTo(ContainElement(host), "it keeps the record already")
			g.Expect(replaced.of(r)).To(ContainElement(host))
		}
	}
}
