package urgency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/urgency"
)

const service = 30 * time.Millisecond

func work(change func(w *urgency.Work)) urgency.Work {
	w := urgency.Work{Rank: 1, Objective: 200 * time.Millisecond, Waited: 50 * time.Millisecond, Left: time.Second, Service: service}
	change(&w)
	return w
}

// Guards against a change of what decides between two requests.
func TestCompareOrdersByRankThenByWhatARefusalCosts(t *testing.T) {
	usual := work(func(*urgency.Work) {})
	for name, first := range map[string]urgency.Work{
		"higher rank, although larger": work(func(w *urgency.Work) { w.Rank, w.Prefill = 0, 17_000 }),
		"resumes":                      work(func(w *urgency.Work) { w.Resumes, w.Prefill = true, 17_000 }),
		"less work":                    work(func(w *urgency.Work) { w.Service = service / 2 }),
		"closer to its objective":      work(func(w *urgency.Work) { w.Waited = 100 * time.Millisecond }),
	} {
		NewWithT(t).Expect(first.Compare(usual, service)).To(Equal(-1), name)
		NewWithT(t).Expect(usual.Compare(first, service)).To(Equal(1), name)
	}
	late := work(func(w *urgency.Work) { w.Waited = 190 * time.Millisecond })
	NewWithT(t).Expect(usual.Compare(late, service)).To(Equal(-1), "one that can be on time goes before a late one")
	NewWithT(t).Expect(usual.Compare(usual, service)).To(BeZero())
}

func TestOutlook(t *testing.T) {
	g := NewWithT(t)
	w := work(func(*urgency.Work) {})
	g.Expect(w.Outlook(150 * time.Millisecond)).To(Equal(urgency.OnTime))
	g.Expect(w.Outlook(151 * time.Millisecond)).To(Equal(urgency.Late))
	g.Expect(w.Outlook(1001 * time.Millisecond)).To(Equal(urgency.Hopeless))
	unhurried := work(func(w *urgency.Work) { w.Objective = 0 })
	g.Expect(unhurried.Outlook(time.Second)).To(Equal(urgency.OnTime))
}

func randomWork(random *rand.Rand) urgency.Work {
	return urgency.Work{
		Rank: random.IntN(4), Objective: time.Duration(random.Int64N(int64(time.Second))), Waited: time.Duration(random.Int64N(int64(time.Second))),
		Left: time.Duration(random.Int64N(int64(2 * time.Second))), Prefill: random.Int64N(20_000), Decode: random.Int64N(500),
		Bytes: random.Int64N(20_000), Resumes: random.IntN(8) == 0,
	}
}

// Guards against an order that is not transitive, with which a sort may go wrong, and against a lower rank
// with a larger share than a higher one.
func TestOrderAndShareOfRandomWork(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 5))
	for range 20_000 {
		a, b, c := randomWork(random), randomWork(random), randomWork(random)
		g.Expect(a.Compare(b, service)).To(Equal(-b.Compare(a, service)))
		if a.Compare(b, service) < 0 && b.Compare(c, service) < 0 {
			g.Expect(a.Compare(c, service)).To(Equal(-1), fmt.Sprint(a, b, c))
		}
		g.Expect(a.Share()).To(And(BeNumerically(">", 0), BeNumerically("<=", 1)))
		if a.Rank < b.Rank && !b.Resumes {
			g.Expect(a.Share()).To(BeNumerically(">=", b.Share()), fmt.Sprint(a, b))
			g.Expect(a.RetryAfter(time.Second)).To(BeNumerically("<=", b.RetryAfter(time.Second)))
		}
	}
}

// Guards against retry delays that are zero, negative or longer than callers wait.
func TestRetryAfterIsBounded(t *testing.T) {
	g := NewWithT(t)
	w := work(func(w *urgency.Work) { w.Rank = 9 })
	g.Expect(w.RetryAfter(-time.Second)).To(Equal(100 * time.Millisecond))
	g.Expect(w.RetryAfter(time.Hour)).To(Equal(3 * time.Second))
}

// Guards against starving a rank, the requests of one size or an organisation.
func TestHistoryTellsWhatIsStarved(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, change := range map[string]func(w *urgency.Work){
		"rank":         func(w *urgency.Work) { w.Rank = 2 },
		"size":         func(w *urgency.Work) { w.Prefill = 17_000 },
		"organisation": func(w *urgency.Work) { w.Organisation = "south" },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := urgency.NewHistory()
			usual, starved := work(func(*urgency.Work) {}), work(change)
			for i := range 100 {
				h.Count(usual, i%4 == 0, now)
				h.Count(starved, i%4 != 0, now)
			}
			g.Expect(h.Starved(starved, now)).To(BeTrue())
			g.Expect(h.Starved(usual, now)).To(BeFalse())
			g.Expect(h.Starved(starved, now.Add(time.Minute))).To(BeFalse(), "long ago")
		})
	}
}

// Guards against limiting requests that compete with nothing more urgent.
func TestHistoryTellsWhatIsShort(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	h := urgency.NewHistory()
	first, second, third := work(func(w *urgency.Work) { w.Rank = 0 }), work(func(*urgency.Work) {}), work(func(w *urgency.Work) { w.Rank = 2 })
	for i := range 50 {
		h.Count(second, i%10 == 0, now)
		h.Count(first, false, now)
	}
	g.Expect(h.Short(first, now)).To(BeFalse())
	g.Expect(h.Short(second, now)).To(BeTrue())
	g.Expect(h.Short(third, now)).To(BeTrue())
	g.Expect(h.Short(third, now.Add(time.Minute))).To(BeFalse(), "long ago")
}

// Guards against memory that grows with the number of organisations.
func TestHistoryForgetsOrganisations(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_000_000, 0)
	h := urgency.NewHistory()
	south := work(func(w *urgency.Work) { w.Organisation = "south" })
	for i := range 10_000 {
		h.Count(work(func(w *urgency.Work) { w.Organisation = fmt.Sprint(i) }), false, now)
	}
	for range 100 {
		h.Count(south, true, now)
	}
	g.Expect(h.Starved(south, now)).To(BeFalse(), "there is no room for its counts")
	later := now.Add(time.Minute)
	for i := range 100 {
		h.Count(south, true, later)
		h.Count(work(func(w *urgency.Work) { w.Organisation = fmt.Sprint(i) }), false, later)
		h.Count(work(func(w *urgency.Work) { w.Organisation = fmt.Sprint(i) }), false, later)
	}
	g.Expect(h.Starved(south, later)).To(BeTrue())
	g.Expect(h.Starved(work(func(w *urgency.Work) { w.Organisation = "0" }), later)).To(BeFalse())
}
