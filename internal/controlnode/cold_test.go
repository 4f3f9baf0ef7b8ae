package controlnode

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// coldTable returns a table with a process that is cold for a minute, and one that is not.
func coldTable() *presence.Table {
	table := presence.NewTable()
	for i, left := range []time.Duration{time.Minute, 0} {
		u := feedUpstream(i, 1, presence.Ready)
		table.ApplyReport(u, presence.ReportedColdness(left, &u, feedStart), feedStart, feedStart)
	}
	return table
}

func coldTimes(g *WithT, data []byte) map[string]time.Duration {
	records, err := (&SyncReply{EncodedUpstreams: data}).DecodeUpstreams()
	g.Expect(err).NotTo(HaveOccurred())
	times := map[string]time.Duration{}
	for _, r := range records {
		times[r.ID] = r.ColdLeft
	}
	return times
}

// Guards against cold times that count from the encoding of the table, not from the reply.
func TestFeedSendsRemainingColdTimes(t *testing.T) {
	g := NewWithT(t)
	table := coldTable()
	feed := newUpstreamFeed(table)
	cold, warm := feedUpstream(0, 1, presence.Ready).ID, feedUpstream(1, 1, presence.Ready).ID
	feed.since(0, feedStart)
	later := feedStart.Add(10 * time.Second)
	whole, revision := feed.since(0, later)
	g.Expect(coldTimes(g, whole)).To(Equal(map[string]time.Duration{cold: 50 * time.Second, warm: 0}))
	again, _ := feed.since(0, later.Add(coldInterval/2))
	g.Expect(&again[0]).To(BeIdenticalTo(&whole[0]), "hosts share an encoding")
	u := feedUpstream(1, 2, presence.Ready)
	table.ApplyReport(u, presence.ReportedColdness(20*time.Second, &u, later), later, later)
	feed.since(revision, later)
	changes, _ := feed.since(revision, later.Add(5*time.Second))
	g.Expect(coldTimes(g, changes)).To(Equal(map[string]time.Duration{warm: 15 * time.Second}))
}

func TestControlHostsExchangeColdTimes(t *testing.T) {
	g := NewWithT(t)
	sender, receiver := exchangePair()
	deliver := func() {
		direct := directOf(sender, time.Now())
		_, err := receiver.receiveUpstreams(context.Background(), &UpstreamsMessage{Sender: "s", Generation: direct.generation, Records: direct.records})
		g.Expect(err).NotTo(HaveOccurred())
	}
	u := feedUpstream(1, 5, presence.Ready)
	sender.ReportHeartbeat(u, 0)
	before := directOf(sender, time.Now()).generation
	u.Sequence++
	sender.ReportHeartbeat(u, time.Minute)
	g.Expect(directOf(sender, time.Now()).generation).NotTo(Equal(before), "a lost message is repaired by the next exchange")
	deliver()
	g.Expect(receiver.table.Record(u.ID).Cold.Left(time.Now())).To(BeNumerically("~", time.Minute, time.Second))
	u.Sequence++
	sender.ReportHeartbeat(u, 0)
	deliver()
	g.Expect(receiver.table.Record(u.ID).Cold.Left(time.Now())).To(BeZero())
}

// Earlier builds know neither key, and send neither.
func TestColdTimeOfAnEarlierBuildIsUnknown(t *testing.T) {
	g := NewWithT(t)
	type earlierRecord struct {
		presence.Upstream `cbor:"1,keyasint"`
		Age               time.Duration `cbor:"2,keyasint,omitempty"`
	}
	data, err := codec.Marshal(earlierRecord{Upstream: feedUpstream(1, 1, presence.Ready)})
	g.Expect(err).NotTo(HaveOccurred())
	var r UpstreamRecord
	g.Expect(codec.Unmarshal(data, &r)).To(Succeed())
	g.Expect(r.Coldness(feedStart).Known()).To(BeFalse())
	r.ColdLeft, r.ColdSequence = time.Second, 3
	data, err = codec.Marshal(r)
	g.Expect(err).NotTo(HaveOccurred())
	var earlier earlierRecord
	g.Expect(codec.Unmarshal(data, &earlier)).To(Succeed())
	g.Expect(earlier.ID).To(Equal(r.ID))
}
