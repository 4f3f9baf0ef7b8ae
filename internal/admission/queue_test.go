package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ticket(class string, worth int, organisation string, now time.Time, patience time.Duration) Ticket {
	return Ticket{Service: "m", Class: class, Worth: worth, Organisation: organisation, Arrived: now, Deadline: now.Add(patience)}
}

// alone returns the places of the only host.
func alone(n int) Places { return Places{Total: n, Free: n, Share: n} }

// policy is what the simulated host asks: the queue or the baseline.
type policy interface {
	Arrive(id ID, t Ticket, now time.Time, places Places) []Verdict
	Step(now time.Time, places Places) []Verdict
	Finish(id ID, now time.Time)
}

// kind is a kind of work of the workload.
type kind struct {
	class    string
	worth    int
	patience time.Duration
	// share is the part of the offered load.
	share   float64
	service time.Duration
}

// workload is the work of the two users: short questions of high worth, drafts, and patient reviews.
var workload = []kind{
	{"urgent", 100, 2 * time.Second, 0.2, 500 * time.Millisecond},
	{"draft", 10, 8 * time.Second, 0.5, time.Second},
	{"review", 1, 60 * time.Second, 0.3, 3 * time.Second},
}

const organisations = 10

// outcome is what became of one kind of work.
type outcome struct {
	arrived, served int
	// late counts the requests that were refused after they had waited.
	late  int
	waits []time.Duration
	// byOrganisation counts arrived and served requests.
	byOrganisation map[string][2]int
}

func (o *outcome) share() float64 { return float64(o.served) / float64(o.arrived) }

// lateShare returns the percentage of requests that were refused after a wait.
func (o *outcome) lateShare() float64 { return 100 * float64(o.late) / float64(o.arrived) }

func (o *outcome) p95() time.Duration {
	slices.Sort(o.waits)
	return o.waits[len(o.waits)*95/100]
}

type event struct {
	at     time.Time
	finish ID
	arrive *kind
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run offers load times the capacity to p and returns the outcome per class.
// Two organisations send half of the requests.
func run(p policy, load float64, capacity int, length time.Duration, seed uint64) map[string]*outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	queue := &events{}
	outcomes := map[string]*outcome{}
	for i := range workload {
		k := &workload[i]
		outcomes[k.class] = &outcome{byOrganisation: map[string][2]int{}}
		perSecond := load * float64(capacity) * k.share / k.service.Seconds()
		for at := 0.0; at < length.Seconds(); at += random.ExpFloat64() / perSecond {
			heap.Push(queue, event{at: start.Add(time.Duration(at * float64(time.Second))), arrive: k})
		}
	}
	type waiting struct {
		k *kind
		t Ticket
	}
	open := map[ID]waiting{}
	var id ID
	now := start
	settle := func(verdicts []Verdict) {
		for _, v := range verdicts {
			w := open[v.ID]
			o := outcomes[w.k.class]
			if v.Err != nil {
				delete(open, v.ID)
				if now.After(w.t.Arrived) {
					o.late++
				}
				continue
			}
			o.served++
			o.waits = append(o.waits, now.Sub(w.t.Arrived))
			count := o.byOrganisation[w.t.Organisation]
			o.byOrganisation[w.t.Organisation] = [2]int{count[0], count[1] + 1}
			took := time.Duration(random.ExpFloat64() * float64(w.k.service))
			heap.Push(queue, event{at: now.Add(took), finish: v.ID})
		}
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		now = e.at
		if e.arrive == nil {
			p.Finish(e.finish, now)
			settle(p.Step(now, alone(capacity)))
			continue
		}
		organisation := fmt.Sprint("large-", random.IntN(2))
		if random.IntN(2) == 0 {
			organisation = fmt.Sprint("small-", random.IntN(organisations-2))
		}
		id++
		t := ticket(e.arrive.class, e.arrive.worth, organisation, now, e.arrive.patience)
		open[id] = waiting{k: e.arrive, t: t}
		o := outcomes[e.arrive.class]
		o.arrived++
		count := o.byOrganisation[organisation]
		o.byOrganisation[organisation] = [2]int{count[0] + 1, count[1]}
		settle(p.Arrive(id, t, now, alone(capacity)))
	}
	return outcomes
}

// smallest returns the served share of the organisation that fares worst among the small ones.
func smallest(outcomes map[string]*outcome, class string) float64 {
	worst := 1.0
	for organisation, count := range outcomes[class].byOrganisation {
		if organisation[0] == 's' {
			worst = min(worst, float64(count[1])/float64(count[0]))
		}
	}
	return worst
}

func TestQueueAgainstFIFO(t *testing.T) {
	for _, capacity := range []int{8, 40, 80} {
		for _, load := range []float64{0.7, 1.0, 1.5} {
			t.Run(fmt.Sprintf("capacity %d load %.1f", capacity, load), func(t *testing.T) {
				compareWithFIFO(t, capacity, load)
			})
		}
	}
}

func compareWithFIFO(t *testing.T, capacity int, load float64) {
	const length = 5 * time.Minute
	ours := run(NewQueue(Settings{}), load, capacity, length, 1)
	naive := run(newFIFO(defaultLimit), load, capacity, length, 1)
	for _, k := range workload {
		o, n := ours[k.class], naive[k.class]
		t.Logf("%-7s served %5.1f %% (FIFO %5.1f %%), refused late %4.1f %% (%4.1f %%), p95 wait %7v (FIFO %7v), worst small organisation %5.1f %% (FIFO %5.1f %%)",
			k.class, 100*o.share(), 100*n.share(), o.lateShare(), n.lateShare(), o.p95().Round(time.Millisecond), n.p95().Round(time.Millisecond),
			100*smallest(ours, k.class), 100*smallest(naive, k.class))
	}
	g := NewWithT(t)
	g.Expect(ours["urgent"].share()).To(Equal(1.0))
	// The top class may take 1.2 of its calm time to the first token, here 500 ms,
	// in a fleet of the brief's sizes.
	if capacity >= 40 {
		g.Expect(ours["urgent"].p95()).To(BeNumerically("<=", 100*time.Millisecond))
	}
	for _, k := range workload {
		g.Expect(ours[k.class].served).To(BeNumerically(">", 0), "%s starves", k.class)
	}
	if load < 1 {
		g.Expect(ours["draft"].share()).To(Equal(1.0))
		g.Expect(ours["review"].share()).To(Equal(1.0))
	}
}

func TestWorthierRequestGoesFirst(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{})
	g.Expect(q.Arrive(1, ticket("low", 1, "o", start, time.Minute), start, alone(1))).To(Equal([]Verdict{{ID: 1}}))
	g.Expect(q.Arrive(2, ticket("low", 1, "o", start, time.Minute), start, alone(1))).To(BeEmpty())
	g.Expect(q.Arrive(3, ticket("high", 9, "o", start, time.Minute), start, alone(1))).To(BeEmpty())
	q.Finish(1, start)
	g.Expect(q.Step(start, alone(1))).To(Equal([]Verdict{{ID: 3}}))
}

func TestOrganisationsTakeTurns(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{PassedOverEvery: 100})
	q.Arrive(1, ticket("c", 1, "x", start, time.Minute), start, alone(1))
	for id := ID(2); id <= 5; id++ {
		q.Arrive(id, ticket("c", 1, "large", start, time.Minute), start, alone(1))
	}
	q.Arrive(6, ticket("c", 1, "small", start, time.Minute), start, alone(1))
	var order []ID
	for last := ID(1); q.Waiting() > 0; {
		q.Finish(last, start)
		v := q.Step(start, alone(1))
		last = v[0].ID
		order = append(order, last)
	}
	g.Expect(slices.Index(order, ID(6))).To(BeNumerically("<=", 1))
}

func TestPatientRequestIsNotStarved(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{})
	q.Arrive(1, ticket("high", 9, "o", start, time.Minute), start, alone(1))
	q.Arrive(2, ticket("low", 1, "o", start, time.Minute), start, alone(1))
	now, last := start, ID(1)
	for id := ID(3); ; id++ {
		g.Expect(id).To(BeNumerically("<", 3+2*defaultPassedOverEvery))
		now = now.Add(10 * time.Millisecond)
		q.Arrive(id, ticket("high", 9, "o", now, time.Minute), now, alone(1))
		q.Finish(last, now)
		last = q.Step(now, alone(1))[0].ID
		if last == 2 {
			return
		}
	}
}

func TestFullQueueDisplacesTheLeastWorthyFirst(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{Limit: 2})
	q.Arrive(1, ticket("high", 9, "o", start, time.Minute), start, alone(1))
	q.Arrive(2, ticket("low", 1, "o", start, time.Minute), start, alone(1))
	q.Arrive(3, ticket("low", 1, "o", start, time.Minute), start, alone(1))
	v := q.Arrive(4, ticket("high", 9, "o", start, time.Minute), start, alone(1))
	g.Expect(v).To(HaveLen(1))
	g.Expect(v[0].ID).To(Equal(ID(3)))
	g.Expect(v[0].Err.Kind).To(Equal(errkind.Displaced))
	g.Expect(v[0].Err.RetryAfterMS).To(BeNumerically(">", 0))
	v = q.Arrive(5, ticket("low", 1, "o", start, time.Minute), start, alone(1))
	g.Expect(v[0].ID).To(Equal(ID(5)))
	g.Expect(v[0].Err.Kind).To(Equal(errkind.Overloaded))
}

func TestLargeOrganisationIsDisplacedByASmallOne(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{})
	limited := func(id ID, organisation string) []Verdict {
		ti := ticket("c", 1, organisation, start, time.Minute)
		ti.QueueLimit = 2
		return q.Arrive(id, ti, start, alone(1))
	}
	limited(1, "large")
	limited(2, "large")
	limited(3, "large")
	v := limited(4, "small")
	g.Expect(v[0].ID).To(Equal(ID(3)))
	g.Expect(v[0].Err.Kind).To(Equal(errkind.Displaced))
}

func TestDeadlineThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{})
	q.Arrive(1, ticket("c", 1, "o", start, time.Minute), start, alone(1))
	now := start.Add(time.Second)
	q.Finish(1, now)
	q.Arrive(2, ticket("c", 1, "o", now, time.Minute), now, alone(1))
	for id := ID(3); id < 8; id++ {
		g.Expect(q.Arrive(id, ticket("c", 1, "o", now, time.Minute), now, alone(1))).To(BeEmpty())
	}
	v := q.Arrive(9, ticket("c", 1, "o", now, 2*time.Second), now, alone(1))
	g.Expect(v[0].Err.Kind).To(Equal(errkind.DeadlineUnmet))
	g.Expect(v[0].Err.RetryAfterMS).To(BeNumerically("~", 3100, 500))
}

func TestWaitingRequestIsRefusedWhenItsTimeHasPassed(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(Settings{})
	q.Arrive(1, ticket("c", 1, "o", start, time.Minute), start, alone(1))
	q.Arrive(2, ticket("c", 1, "o", start, time.Second), start, alone(1))
	v := q.Step(start.Add(time.Second), alone(1))
	g.Expect(v).To(HaveLen(1))
	g.Expect(v[0].Err.Kind).To(Equal(errkind.DeadlineUnmet))
}
