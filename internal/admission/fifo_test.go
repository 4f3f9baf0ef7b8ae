package admission

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// fifo is the naive baseline: one bounded queue in order of arrival.
type fifo struct {
	limit   int
	waiting []*request
	granted map[ID]bool
}

func newFIFO(limit int) *fifo { return &fifo{limit: limit, granted: map[ID]bool{}} }

func (f *fifo) Arrive(id ID, t Ticket, now time.Time, places Places) []Verdict {
	if len(f.waiting) >= f.limit {
		return []Verdict{{id, errkind.New(errkind.Overloaded, "full")}}
	}
	f.waiting = append(f.waiting, &request{id: id, Ticket: t, due: t.Deadline})
	return f.Step(now, places)
}

func (f *fifo) Step(now time.Time, places Places) []Verdict {
	var verdicts []Verdict
	for len(f.waiting) > 0 {
		r := f.waiting[0]
		late := !now.Before(r.due)
		if !late && len(f.granted) >= places.Total {
			break
		}
		f.waiting = f.waiting[1:]
		if late {
			verdicts = append(verdicts, Verdict{r.id, errkind.New(errkind.DeadlineUnmet, "late")})
			continue
		}
		f.granted[r.id] = true
		verdicts = append(verdicts, Verdict{ID: r.id})
	}
	return verdicts
}

func (f *fifo) Finish(id ID, _ time.Time) { delete(f.granted, id) }
