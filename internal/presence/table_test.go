package presence_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

var now = time.Unix(1_000_000, 0)

func report(id, address string, started, sequence int64, state presence.State) presence.Upstream {
	return presence.Upstream{ID: id, Address: address, Service: "s", StartedMS: started, Sequence: sequence, State: state}
}

func TestApplyIgnoresOutdatedReports(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	g.Expect(table.Apply(report("u", "a:1", 10, 5, presence.Ready), now)).To(BeTrue())
	revision := table.Revision()
	g.Expect(table.Apply(report("u", "a:1", 10, 4, presence.Draining), now)).To(BeFalse(), "an earlier sequence")
	g.Expect(table.Apply(report("u", "a:1", 9, 99, presence.Ready), now)).To(BeFalse(), "an earlier process")
	g.Expect(table.Apply(report("u", "a:1", 10, 6, presence.Ready), now.Add(time.Second))).To(BeTrue())
	g.Expect(table.Revision()).To(Equal(revision), "a heartbeat without changes keeps the revision")
	g.Expect(table.Record("u").ReceivedAt).To(Equal(now.Add(time.Second)))
}

func TestDrainingAndTerminatedAreFinal(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Apply(report("u", "a:1", 10, 5, presence.Draining), now)
	table.Apply(report("u", "a:1", 10, 6, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Draining))
	g.Expect(table.Apply(presence.Upstream{ID: "u", State: presence.Terminated, StartedMS: 10}, now)).To(BeTrue())
	table.Apply(report("u", "a:1", 10, 7, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Terminated))
	table.Apply(report("u", "a:1", 11, 1, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Ready), "a new process under the same id")
	g.Expect(table.Apply(presence.Upstream{ID: "u", State: presence.Terminated, StartedMS: 10}, now)).To(BeFalse(),
		"a late departure of the earlier process")
}

func TestKnownVersionOfProcessStaysKnown(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	first := report("u", "a:1", 10, 5, presence.Ready)
	first.Version = "v1"
	table.Apply(first, now)
	before := table.Digests()
	table.Apply(report("u", "a:1", 10, 6, presence.Ready), now)
	g.Expect(table.Record("u").Version).To(Equal("v1"), "passed on by a host that does not know versions")
	g.Expect(table.Digests()).To(Equal(before))
	table.Apply(report("u", "a:1", 11, 1, presence.Ready), now)
	g.Expect(table.Record("u").Version).To(BeEmpty(), "another process")
	g.Expect(table.Digests()).NotTo(Equal(before))
}

// Guards against reactivating a crashed process by a delayed report that arrives after
// another process has taken over its address.
func TestLaterProcessReplacesAddressHolder(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Apply(report("old", "a:1", 10, 5, presence.Ready), now)
	table.Apply(report("new", "a:1", 20, 1, presence.Ready), now)
	g.Expect(table.Record("old").State).To(Equal(presence.Terminated))
	table.Apply(report("old", "a:1", 10, 6, presence.Ready), now)
	g.Expect(table.Record("old").State).To(Equal(presence.Terminated))
	g.Expect(table.Record("new").State).To(Equal(presence.Ready))
}

// Guards against an entry of another writer that ends an upstream by naming its address.
func TestUpstreamOfNoServiceReplacesNobody(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.RestrictReplacement(func(name string) bool { return name == "s" })
	table.Apply(report("sound", "a:1", 10, 5, presence.Ready), now)
	other := report("other", "a:1", 20, 1, presence.Ready)
	other.Service = "none"
	table.Apply(other, now)
	g.Expect(table.Record("sound").State).To(Equal(presence.Ready))
	table.Apply(report("new", "a:1", 30, 1, presence.Ready), now)
	g.Expect(table.Record("sound").State).To(Equal(presence.Terminated))
}

func TestOverdueUpstreamsAreMarkedUnresponsive(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Apply(report("u", "a:1", 10, 5, presence.Ready), now)
	revision := table.Revision()
	g.Expect(table.Expire(now.Add(presence.HeartbeatTimeout))).To(BeEmpty())
	g.Expect(table.Expire(now.Add(presence.HeartbeatTimeout + 1))).To(Equal([]string{"u"}))
	g.Expect(table.Expire(now.Add(presence.HeartbeatTimeout+2))).To(BeEmpty(), "an upstream is reported as unresponsive once")
	g.Expect(table.Record("u").Unresponsive).To(BeTrue())
	g.Expect(table.ChangedSince(revision)).To(HaveLen(1))
	revision = table.Revision()
	g.Expect(table.Apply(report("u", "a:1", 10, 6, presence.Ready), now.Add(time.Minute))).To(BeTrue())
	g.Expect(table.Record("u").Unresponsive).To(BeFalse())
	g.Expect(table.ChangedSince(revision)).To(HaveLen(1), "its recovery is a change")
	g.Expect(table.ChangedSince(table.Revision())).To(BeEmpty())
	table.Expire(now.Add(time.Hour))
	g.Expect(table.Record("u")).To(BeNil())
}

// naiveChanges returns the ids of the records that changed after a revision by looking at all.
func naiveChanges(t *presence.Table, revision uint64) []string {
	var ids []string
	for _, r := range t.All() {
		if r.Revision > revision {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// naiveReplaced returns the ids of the processes at an address that a process started at
// startedMS replaces, by looking at all records.
func naiveReplaced(t *presence.Table, address string, startedMS int64) []string {
	var ids []string
	for _, r := range t.All() {
		if r.Address == address && r.State != presence.Terminated && r.StartedMS < startedMS {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func TestChangesAndReplacementsEqualThoseFoundByScanning(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	table := presence.NewTable()
	at := now
	for step := range int64(20_000) {
		at = at.Add(time.Duration(random.IntN(400)) * time.Millisecond)
		u := report(fmt.Sprint("u", random.IntN(60)), fmt.Sprint("a:", random.IntN(50)), 10+step/500+random.Int64N(3), step,
			presence.State(1+random.IntN(3)))
		replaced := naiveReplaced(table, u.Address, u.StartedMS)
		if table.Apply(u, at) && u.State != presence.Terminated && table.Record(u.ID).State != presence.Terminated {
			for _, id := range replaced {
				if id != u.ID {
					g.Expect(table.Record(id).State).To(Equal(presence.Terminated))
				}
			}
		}
		if random.IntN(20) == 0 {
			table.Expire(at)
		}
		since := uint64(random.Int64N(int64(table.Revision()) + 1))
		var changed []string
		for _, r := range table.ChangedSince(since) {
			changed = append(changed, r.ID)
		}
		slices.Sort(changed)
		g.Expect(changed).To(Equal(naiveChanges(table, since)))
	}
}

func TestRefreshKeepsTheStateAndOnlyRecentReportsMakeResponsive(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Apply(report("u", "a:1", 10, 5, presence.Draining), now)
	later := now.Add(time.Second)
	table.Refresh("u", 9, later, later)
	table.Refresh("unknown", 10, later, later)
	g.Expect(table.Record("u").ReceivedAt).To(Equal(now), "an earlier process")
	table.Refresh("u", 10, later, later)
	table.Refresh("u", 10, now, later)
	g.Expect(table.Record("u").ReceivedAt).To(Equal(later), "the latest report counts")
	g.Expect(table.Record("u").State).To(Equal(presence.Draining))
	g.Expect(table.Revision()).To(Equal(uint64(1)))
	late := later.Add(2 * presence.HeartbeatTimeout)
	g.Expect(table.Expire(late)).To(HaveLen(1))
	table.Refresh("u", 10, later.Add(time.Second), late)
	g.Expect(table.Record("u").Unresponsive).To(BeTrue())
	table.Refresh("u", 10, late.Add(-time.Second), late)
	g.Expect(table.Record("u").Unresponsive).To(BeFalse())
	g.Expect(table.ChangedSince(2)).To(HaveLen(1), "its recovery is a change")
}

func TestStatesKnownElsewhereOnlyAdvance(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	table.Apply(report("u", "a:1", 10, 5, presence.Draining), now)
	table.ApplyState(report("u", "a:1", 10, 0, presence.Ready), now)
	table.ApplyState(report("u", "a:1", 9, 0, presence.Terminated), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Draining))
	g.Expect(table.Revision()).To(Equal(uint64(1)))
	table.ApplyState(report("u", "a:1", 10, 0, presence.Terminated), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Terminated))
	table.ApplyState(report("u", "a:1", 11, 0, presence.Ready), now)
	g.Expect(table.Record("u").State).To(Equal(presence.Ready), "a later process")
	g.Expect(table.Apply(report("u", "a:1", 11, 1, presence.Draining), now)).To(BeTrue(), "its first report is newer")
}

// Two tables get the same reports in different orders, and some only one of them.
func TestDifferencesBringTablesTogether(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	a, b := presence.NewTable(), presence.NewTable()
	at := now
	for step := range int64(2000) {
		at = at.Add(10 * time.Millisecond)
		u := report(fmt.Sprint("u", random.IntN(300)), fmt.Sprint("a:", random.IntN(300)), 10+step/900, step, presence.State(1+random.IntN(2)))
		a.Apply(u, at)
		if random.IntN(50) > 0 {
			b.Apply(u, at)
		}
		if step%100 == 0 {
			a.Expire(at)
			b.Expire(at)
		}
	}
	differences := a.Differences(b.Digests())
	g.Expect(len(differences)).To(BeNumerically(">", 0))
	g.Expect(len(differences)).To(BeNumerically("<", len(a.All())))
	for _, r := range differences {
		b.Set(*r)
	}
	g.Expect(a.Differences(b.Digests())).To(BeEmpty())
	for _, r := range a.All() {
		other := b.Record(r.ID)
		g.Expect([]any{other.State, other.StartedMS, other.Address, other.Unresponsive}).To(Equal([]any{r.State, r.StartedMS, r.Address, r.Unresponsive}))
	}
	g.Expect(a.Differences(nil)).To(HaveLen(len(a.All())))
}
