package controlnode

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/presence"
)

var feedStart = time.Unix(1_000_000, 0)

func feedUpstream(i int, sequence int64, state presence.State) presence.Upstream {
	return presence.Upstream{
		ID: fmt.Sprintf("i-%08x", i*2654435761), Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), Service: "chat",
		Zone: "central-a", Slots: 64, State: state, StartedMS: 1_700_000_000_000 + int64(i), Sequence: sequence,
	}
}

// follower is a gateway host's copy of the table.
type follower struct {
	revision uint64
	states   map[string]presence.State
}

func (f *follower) apply(g *WithT, data []byte, revision uint64) {
	records, err := (&SyncReply{EncodedUpstreams: data}).DecodeUpstreams()
	g.Expect(err).NotTo(HaveOccurred())
	for _, r := range records {
		f.states[r.ID] = r.State
	}
	f.revision = revision
}

func statesOf(t *presence.Table) map[string]presence.State {
	states := map[string]presence.State{}
	for _, r := range t.All() {
		states[r.ID] = r.State
	}
	return states
}

func TestFollowersOfTheFeedReachTheStateOfTheTable(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	table := presence.NewTable()
	feed := newUpstreamFeed(table)
	followers := make([]*follower, 20)
	for i := range followers {
		followers[i] = &follower{states: map[string]presence.State{}}
	}
	now := feedStart
	for step := range int64(3000) {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		for range random.IntN(3) {
			table.Apply(feedUpstream(random.IntN(200), step, presence.State(1+random.IntN(2))), now)
		}
		f := followers[random.IntN(len(followers))]
		data, revision := feed.since(f.revision, now)
		g.Expect(revision).To(BeNumerically(">=", f.revision))
		f.apply(g, data, revision)
	}
	now = now.Add(time.Second)
	for _, f := range followers {
		data, revision := feed.since(f.revision, now)
		f.apply(g, data, revision)
		g.Expect(f.states).To(Equal(statesOf(table)))
		data, _ = feed.since(f.revision, now)
		g.Expect(data).To(BeNil())
	}
}

func TestHostsWithTheSameCopyGetTheSameBytes(t *testing.T) {
	g := NewWithT(t)
	table := presence.NewTable()
	feed := newUpstreamFeed(table)
	const upstreams = 3000
	for i := range upstreams {
		table.Apply(feedUpstream(i, 1, presence.Ready), feedStart)
	}
	whole, revision := feed.since(0, feedStart)
	g.Expect(revision).To(Equal(table.Revision()))
	table.Apply(feedUpstream(7, 2, presence.Draining), feedStart)
	again, revision := feed.since(0, feedStart.Add(wholeTableInterval/2))
	g.Expect(&again[0]).To(BeIdenticalTo(&whole[0]), "the whole table is encoded once per interval")

	changes, next := feed.since(revision, feedStart.Add(changesInterval))
	g.Expect(next).To(Equal(table.Revision()))
	others, _ := feed.since(revision, feedStart.Add(changesInterval))
	g.Expect(&others[0]).To(BeIdenticalTo(&changes[0]))
	records, err := (&SyncReply{EncodedUpstreams: changes}).DecodeUpstreams()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(records).To(HaveLen(1))
	g.Expect(records[0].State).To(Equal(presence.Draining))
}

func TestHostFromAnotherControlHostGetsTheDifferences(t *testing.T) {
	g := NewWithT(t)
	table, other := presence.NewTable(), presence.NewTable()
	for i := range 1000 {
		table.Apply(feedUpstream(i, 1, presence.Ready), feedStart)
		other.Apply(feedUpstream(i, 1, presence.Ready), feedStart)
	}
	feed := newUpstreamFeed(table)
	data, revision := feed.differences(other.Digests(), feedStart)
	g.Expect(data).To(BeNil())
	g.Expect(revision).To(Equal(table.Revision()))
	table.Apply(feedUpstream(7, 2, presence.Draining), feedStart)
	data, revision = feed.differences(other.Digests(), feedStart)
	whole, _ := feed.since(0, feedStart)
	g.Expect(len(data)).To(BeNumerically("<", len(whole)/10))
	f := &follower{states: statesOf(other)}
	f.apply(g, data, revision)
	g.Expect(f.states).To(Equal(statesOf(table)))
	all, _ := feed.differences(presence.NewTable().Digests(), feedStart)
	g.Expect(&all[0]).To(BeIdenticalTo(&whole[0]))
}

func TestPackedLoadsAreThoseOfAllOtherHosts(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(5, 6))
	table := newHostTable()
	var feed loadFeed
	now := feedStart
	for range 500 {
		now = now.Add(loadsInterval)
		h := table.recordCall(fmt.Sprint("g", random.IntN(8)), Peer{}, now)
		loads := map[string]placement.Load{}
		for range random.IntN(4) {
			loads[fmt.Sprint("u", random.IntN(6))] = placement.Load{InFlight: 1 + random.IntN(3), KVTokens: 1024 * random.Int64N(100)}
		}
		table.setLoads(h, placement.ByShortID(loads))
		totals, own := feed.totals(table, nil, h, now)
		got, err := (&SyncReply{PackedTotals: totals, PackedOwn: own}).DecodeLoads()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(table.loadsOfOthers(h)))
		// A call before the next sum gets the same totals, and the loads of its host in them.
		h2 := table.recordCall("late", Peer{}, now)
		sameTotals, none := feed.totals(table, nil, h2, now)
		g.Expect(sameTotals).To(Equal(totals))
		g.Expect(none).To(BeEmpty())
	}
}

func TestTruncatedUpstreamsAreRefused(t *testing.T) {
	g := NewWithT(t)
	data := encodeUpstreams([]*presence.Record{{Upstream: feedUpstream(1, 1, presence.Ready)}}, feedStart)
	_, err := (&SyncReply{EncodedUpstreams: data[:len(data)/2]}).DecodeUpstreams()
	g.Expect(err).To(HaveOccurred())
}

// The load is that of a leader change in a fleet of 300 gateways and 3,000 upstreams: each host
// fetches the whole table.
func BenchmarkWholeTableForAllHosts(b *testing.B) {
	table := presence.NewTable()
	for i := range 3000 {
		table.Apply(feedUpstream(i, 1, presence.Ready), feedStart)
	}
	for b.Loop() {
		feed := newUpstreamFeed(table)
		bytes := 0
		for range 300 {
			data, _ := feed.since(0, feedStart)
			bytes = len(data)
		}
		b.ReportMetric(float64(bytes), "bytes/host")
	}
}
