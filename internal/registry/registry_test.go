package registry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func announcement(incarnation, sequence uint64) announce.Announcement {
	return announce.Announcement{
		ID: "engine-1", Incarnation: incarnation, Sequence: sequence, Zone: "a", Address: "http://127.0.0.1:9",
		Kind: announce.KindEngine, Services: []announce.ServiceOffer{{Name: "m"}}, Capacity: 4, State: announce.StateServing,
	}
}

func TestApplyIgnoresOutdatedAnnouncements(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	g.Expect(r.Apply(announcement(2, 5), start)).To(BeTrue())
	g.Expect(r.Apply(announcement(2, 5), start)).To(BeFalse(), "a repeated announcement")
	g.Expect(r.Apply(announcement(2, 4), start)).To(BeFalse(), "an earlier sequence")
	g.Expect(r.Apply(announcement(1, 9), start)).To(BeFalse(), "an earlier incarnation")
	g.Expect(r.Apply(announcement(3, 1), start.Add(time.Second))).To(BeTrue())
	state := r.Snapshot().Entries["engine-1"].State()
	g.Expect(state.Incarnation).To(Equal(uint64(3)))
	g.Expect(state.Restarted).To(BeTrue())
	g.Expect(state.FirstSeen).To(Equal(start.Add(time.Second)))
}

func TestConcurrentReadersSeeAppliedAnnouncements(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	const readers = 8
	for n := 1; n <= 500; n++ {
		a := announcement(1, 1)
		a.ID = fmt.Sprint("engine-", n)
		r.Apply(a, start)
		seen := make(chan int, readers)
		for range readers {
			go func() { seen <- len(r.Snapshot().Entries) }()
		}
		for range readers {
			g.Expect(<-seen).To(Equal(n))
		}
	}
}

func TestSnapshotIsImmutable(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	before := r.Snapshot()
	g.Expect(r.Apply(announcement(1, 1), start)).To(BeTrue())
	g.Expect(before.Entries).To(BeEmpty())
	g.Expect(r.Snapshot().Entries).To(HaveLen(1))
}

func TestLeavingIsFinalWithinAnIncarnation(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	leaving := announcement(1, 2)
	leaving.State = announce.StateLeaving
	r.Apply(leaving, start)
	r.Apply(announcement(1, 3), start)
	entry := r.Snapshot().Entries["engine-1"]
	g.Expect(entry.Usable(start, r.UpstreamTimeout())).To(BeFalse())
	r.Apply(announcement(2, 1), start)
	g.Expect(entry.Usable(start, r.UpstreamTimeout())).To(BeTrue())
	g.Expect(entry.State().Restarted).To(BeFalse(), "the earlier incarnation had left")
}

func TestOverdueUpstreamIsNotUsable(t *testing.T) {
	g := NewWithT(t)
	r := New(3 * time.Second)
	r.Apply(announcement(1, 1), start)
	entry := r.Snapshot().Entries["engine-1"]
	g.Expect(entry.Usable(start.Add(3*time.Second-1), r.UpstreamTimeout())).To(BeTrue())
	r.Apply(announcement(1, 1), start.Add(2*time.Second))
	g.Expect(entry.Usable(start.Add(3*time.Second), r.UpstreamTimeout())).To(BeFalse(), "a repeated announcement does not extend the timeout")
	r.Expire(start.Add(retention))
	g.Expect(r.Snapshot().Entries).To(BeEmpty())
}

func TestUnreachableUntilNextAnnouncement(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	r.Apply(announcement(1, 1), start)
	entry := r.Snapshot().Entries["engine-1"]
	entry.MarkUnreachable()
	g.Expect(entry.Usable(start, r.UpstreamTimeout())).To(BeFalse())
	r.Apply(announcement(1, 2), start)
	g.Expect(entry.Usable(start, r.UpstreamTimeout())).To(BeTrue())
}

func TestLostIncarnationIgnoresLateAnnouncement(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	r.Apply(announcement(1, 1), start)
	entry := r.Snapshot().Entries["engine-1"]
	entry.MarkLost(1, start)
	r.Apply(announcement(1, 2), start.Add(maxAnnouncementDelay-1))
	g.Expect(entry.Usable(start.Add(maxAnnouncementDelay-1), r.UpstreamTimeout())).To(BeFalse())
	r.Apply(announcement(1, 3), start.Add(maxAnnouncementDelay))
	g.Expect(entry.Usable(start.Add(maxAnnouncementDelay), r.UpstreamTimeout())).To(BeTrue(), "an announcement after maxAnnouncementDelay is accepted")
	entry.MarkLost(1, start.Add(maxAnnouncementDelay))
	r.Apply(announcement(2, 1), start.Add(maxAnnouncementDelay))
	g.Expect(entry.Usable(start.Add(maxAnnouncementDelay), r.UpstreamTimeout())).To(BeTrue())
	entry.MarkLost(1, start.Add(maxAnnouncementDelay))
	g.Expect(entry.Usable(start.Add(maxAnnouncementDelay), r.UpstreamTimeout())).To(BeTrue(), "MarkLost of an earlier incarnation has no effect")
}

func TestLoadIncludesLocalChangesSinceAnnouncement(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	r.Apply(announcement(1, 1), start)
	entry := r.Snapshot().Entries["engine-1"]
	entry.Claim(false)
	entry.Claim(false)
	next := announcement(1, 2)
	next.InFlight = 3
	r.Apply(next, start)
	g.Expect(entry.Load(1)).To(Equal(int64(3)))
	entry.Claim(false)
	g.Expect(entry.Load(1)).To(Equal(int64(4)))
	for range 3 {
		entry.Release(false)
	}
	g.Expect(entry.Load(1)).To(Equal(int64(1)))
}

func TestExclusiveClaim(t *testing.T) {
	g := NewWithT(t)
	r := New(0)
	r.Apply(announcement(1, 1), start)
	entry := r.Snapshot().Entries["engine-1"]
	g.Expect(entry.Claim(false)).To(BeTrue())
	g.Expect(entry.Claim(true)).To(BeFalse())
	entry.Release(false)
	g.Expect(entry.Claim(true)).To(BeTrue())
	g.Expect(entry.Usable(start, r.UpstreamTimeout())).To(BeFalse())
	g.Expect(entry.Claim(false)).To(BeFalse())
	entry.Release(true)
	g.Expect(entry.Claim(false)).To(BeTrue())
}

func TestHandlerValidatesAndForwardsNewAnnouncements(t *testing.T) {
	g := NewWithT(t)
	forwarded := 0
	h := &Handler{Registry: New(0), Forward: func(announce.Announcement) { forwarded++ }}
	post := func(body string) int {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, announce.PathAnnounce, strings.NewReader(body)))
		return w.Code
	}
	const valid = `{"id":"e","incarnation":1,"sequence":1,"address":"http://127.0.0.1:1","kind":"engine","state":"serving","capacity":1}`
	g.Expect(post(valid)).To(Equal(http.StatusNoContent))
	g.Expect(post(valid)).To(Equal(http.StatusNoContent))
	g.Expect(forwarded).To(Equal(1))
	g.Expect(post(strings.Replace(valid, "127.0.0.1", "example.org", 1))).To(Equal(http.StatusBadRequest))
	g.Expect(post(strings.Replace(valid, "serving", "asleep", 1))).To(Equal(http.StatusBadRequest))
	g.Expect(post("{")).To(Equal(http.StatusBadRequest))
}

// Guards against announcements of upstreams that can't be connected to, or whose load overflows to none.
func TestAnnouncementsThatNameNoUsableUpstreamAreRefused(t *testing.T) {
	g := NewWithT(t)
	const valid = `{"id":"e","incarnation":1,"sequence":1,"address":"http://127.0.0.1:1","kind":"engine","in_flight":1,"queued":1,"state":"serving"}`
	_, err := Decode(strings.NewReader(valid))
	g.Expect(err).NotTo(HaveOccurred())
	change := func(old, next string) string { return strings.Replace(valid, old, next, 1) }
	nested := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	for _, body := range []string{
		change("127.0.0.1:1", "127.0.0.1:0"), change("127.0.0.1:1", "127.0.0.1:65536"), change("127.0.0.1:1", "127.0.0.1:-1"),
		change("127.0.0.1:1", "0.0.0.0:1"), change("127.0.0.1:1", "224.0.0.1:1"), change("127.0.0.1:1", "[fe80::1%25eth0]:1"),
		change(`"queued":1`, `"queued":9223372036854775807`), change(`"in_flight":1`, `"in_flight":9223372036854775807`),
		change(`"queued":1`, `"queued":1e999`), change(`"sequence":1`, `"sequence":18446744073709551616`), change(`"sequence":1`, `"sequence":-1`),
		change(`"kind"`, `"more":`+nested+`,"kind"`), nested,
	} {
		_, err := Decode(strings.NewReader(body))
		g.Expect(err).To(HaveOccurred(), body[:min(len(body), 200)])
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(`{"id":"e","incarnation":1,"sequence":1,"address":"http://127.0.0.1:1","kind":"engine","state":"serving"}`)
	f.Add(`{"id":"e","address":"http://127.0.0.1:65536","kind":"engine","state":"serving","in_flight":9223372036854775807,"queued":1}`)
	f.Fuzz(func(t *testing.T, body string) {
		a, err := Decode(strings.NewReader(body))
		if err != nil {
			return
		}
		r := New(0)
		r.Apply(a, start)
		if entry := r.Snapshot().Entries[a.ID]; a.ID == "" || a.Capacity < 0 || entry.Load(1) < int64(a.InFlight) {
			t.Fatalf("accepted %q", body)
		}
	})
}
