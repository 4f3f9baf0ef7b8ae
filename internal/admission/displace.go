package admission

import "github.com/godwitbend/godwitbend/internal/errkind"

// displace makes room for r, which has just joined class c, if its class or the
// queue is over its limit. The request that has to go is r itself unless
// another one is worth less, or belongs to an organisation that holds more of
// the class.
func (q *Queue) displace(c *class, r *request, places Places) []Verdict {
	victimClass := c
	switch {
	case c.waiting > c.limit:
	case q.waiting > q.settings.Limit:
		victimClass = q.leastWorthy()
	default:
		return nil
	}
	victim := victimClass.newestOfLongest(r)
	q.remove(victimClass, victim)
	kind, text := errkind.Displaced, "work of higher worth took the place in the queue"
	if victim == r {
		kind, text = errkind.Overloaded, "the queue is full"
	}
	return []Verdict{{victim.id, errkind.New(kind, "%s", text).WithRetryAfter(q.retryAfter(places))}}
}

// leastWorthy returns the class of least worth that has a waiting request.
func (q *Queue) leastWorthy() *class {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// newestOfLongest returns the last request of the longest lane. Among equally
// long ones it prefers the lane of r, so that a tie displaces nobody.
func (c *class) newestOfLongest(r *request) *request {
	var longest *lane
	for _, l := range c.lanes {
		longer := longest == nil || len(l.requests) > len(longest.requests)
		tie := longest != nil && len(l.requests) == len(longest.requests) && l.organisation == r.Organisation
		if len(l.requests) > 0 && (longer || tie) {
			longest = l
		}
	}
	return longest.requests[len(longest.requests)-1]
}
