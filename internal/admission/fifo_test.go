package admission

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
)

// fifo is a naive baseline: one bounded queue in order of arrival.
type fifo struct {
	maxWaiting int
	waiting    []*request
	inFlight   map[ID]bool
}

func newFIFO(maxWaiting int) *fifo { return &fifo{maxWaiting: maxWaiting, inFlight: map[ID]bool{}} }

func (f *fifo) Enqueue(id ID, t Ticket, now time.Time, slots Slots) []Decision {
	if len(f.waiting) >= f.maxWaiting {
		return []Decision{{id, errkind.New(errkind.Overloaded, "full")}}
	}
	f.waiting = append(f.waiting, &request{id: id, Ticket: t, grantBy: t.Deadline})
	return f.Dispatch(now, slots)
}

func (f *fifo) Dispatch(now time.Time, slots Slots) []Decision {
	var decisions []Decision
	for len(f.waiting) > 0 {
		r := f.waiting[0]
		expired := !now.Before(r.grantBy)
		if !expired && len(f.inFlight) >= slots.Total {
			break
		}
		f.waiting = f.waiting[1:]
		if expired {
			decisions = append(decisions, Decision{r.id, errkind.New(errkind.DeadlineUnmet, "late")})
			continue
		}
		f.inFlight[r.id] = true
		decisions = append(decisions, Decision{ID: r.id})
	}
	return decisions
}

func (f *fifo) Release(id ID, _ time.Time) { delete(f.inFlight, id) }
