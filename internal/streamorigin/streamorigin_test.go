package streamorigin_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

var now = time.Unix(1_000_000, 0)

func record(fingerprint uint64, callID, version string) streamorigin.Record {
	return streamorigin.Record{
		Fingerprint: fingerprint, CallID: callID, Origin: streamorigin.Origin{Service: "s", Version: version}, Lifetime: time.Minute,
	}
}

func found(version string) streamorigin.Reply {
	return streamorigin.Reply{Origin: streamorigin.Origin{Service: "s", Version: version}, Known: true}
}

func TestRecordsExpireAndAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := streamorigin.NewTable()
	g.Expect(table.Put(record(1, "a", "v1"), now)).To(BeTrue())
	g.Expect(table.Get(1, "a", now.Add(59*time.Second))).To(Equal(found("v1")))
	g.Expect(table.Get(1, "a", now.Add(time.Minute))).To(Equal(streamorigin.Reply{}))
	long := record(2, "b", "v1")
	long.Lifetime = 24 * time.Hour
	g.Expect(table.Put(long, now)).To(BeTrue())
	g.Expect(table.Get(2, "b", now.Add(streamorigin.MaxLifetime))).To(Equal(streamorigin.Reply{}))
	g.Expect(table.Put(record(3, strings.Repeat("k", streamorigin.MaxCallIDBytes+1), "v1"), now)).To(BeFalse())
	kept := 0
	for i := range uint64(100_000) {
		if table.Put(record(i, "c", "v1"), now) {
			kept++
		}
	}
	g.Expect(kept).To(And(BeNumerically(">", 10_000), BeNumerically("<", 100_000)))
	g.Expect(table.Put(record(4, "d", "v1"), now.Add(2*time.Minute))).To(BeTrue(), "expired records make room")
}

// Guards against the version of another stream with the same request.
func TestStreamsOfEqualRequestsAreToldApart(t *testing.T) {
	g := NewWithT(t)
	table := streamorigin.NewTable()
	g.Expect(table.Put(record(1, "a", "v1"), now)).To(BeTrue())
	g.Expect(table.Get(1, "", now)).To(Equal(found("v1")), "the caller does not name the call, and there is one")
	g.Expect(table.Put(record(1, "b", "v2"), now)).To(BeTrue())
	for id, version := range map[string]string{"a": "v1", "b": "v2"} {
		g.Expect(table.Get(1, id, now)).To(Equal(found(version)))
	}
	g.Expect(table.Get(1, "", now)).To(Equal(streamorigin.Reply{Ambiguous: true}), "there are two, of different versions")
	g.Expect(table.Get(1, "c", now)).To(Equal(streamorigin.Reply{}))
}

// Guards against records that the host which needs them does not find: whichever host began the
// stream, each other one asks all of its keepers.
func TestEveryHostFindsTheKeepersOfAnyOther(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{2, 3, 4, 9, 291} {
		var hosts []string
		for i := range size {
			hosts = append(hosts, fmt.Sprintf("10.0.0.%d:7000", i))
		}
		load := map[string]int{}
		for i := range 200 {
			fingerprint := uint64(i) * 7919
			began, resumed := hosts[i%size], hosts[(i+1)%size]
			keepers := streamorigin.KeepersOf(fingerprint, began, hosts, streamorigin.Keepers)
			g.Expect(keepers).To(HaveLen(min(streamorigin.Keepers, size-1)))
			asked := append(streamorigin.KeepersOf(fingerprint, resumed, hosts, streamorigin.Lookups), resumed)
			for _, k := range keepers {
				g.Expect(k).NotTo(Equal(began))
				g.Expect(asked).To(ContainElement(k))
				load[k]++
			}
		}
		for host, n := range load {
			g.Expect(n).To(BeNumerically("<=", 3*max(200*streamorigin.Keepers/size, 4)), host)
		}
	}
}

// Guards against records that are sent again and push others out, and against a longer life of a record
// by a copy that arrives late with less of its lifetime left.
func TestRecordSentAgainTakesNoRoom(t *testing.T) {
	g := NewWithT(t)
	table := streamorigin.NewTable()
	g.Expect(table.Put(record(1, "first", "v1"), now)).To(BeTrue())
	for i := range 10_000 {
		again := record(1, "second", "v1")
		again.Lifetime -= time.Duration(i) * time.Millisecond
		g.Expect(table.Put(again, now)).To(BeTrue())
	}
	g.Expect(table.Get(1, "first", now)).To(Equal(found("v1")))
	g.Expect(table.Get(1, "second", now.Add(59*time.Second))).To(Equal(found("v1")))
	g.Expect(table.Get(1, "second", now.Add(time.Minute))).To(Equal(streamorigin.Reply{}))
}
