package admission

import "github.com/godwitbend/godwitbend/internal/errkind"

// displace removes one request if class c, which r has just joined, or the whole queue
// exceeds its limit. The removed request is r itself unless another one is of lower
// worth or belongs to an organisation with more waiting requests in the class.
func (q *Queue) displace(c *class, r *request, slots Slots) []Decision {
	victimClass := c
	switch {
	case c.waiting > c.maxWaiting:
	case q.waiting > q.settings.MaxWaiting:
		victimClass = q.lowestWorthClass()
	default:
		return nil
	}
	victim := victimClass.newestOfLongestFlow(r)
	q.remove(victimClass, victim)
	kind, text := errkind.Displaced, "displaced from the queue by a request of higher precedence"
	if victim == r {
		kind, text = errkind.Overloaded, "the queue is full"
	}
	return []Decision{{victim.id, errkind.New(kind, "%s", text).WithRetryAfter(q.retryAfter(slots))}}
}

// lowestWorthClass returns the class of lowest worth that has a waiting request.
func (q *Queue) lowestWorthClass() *class {
	for i := len(q.classes) - 1; i >= 0; i-- {
		if q.classes[i].waiting > 0 {
			return q.classes[i]
		}
	}
	return nil
}

// newestOfLongestFlow returns the last request of the flow with the most requests. Ties
// go to the flow of r, so that r displaces no request of an equally long flow.
func (c *class) newestOfLongestFlow(r *request) *request {
	var longest *flow
	for _, f := range c.flows {
		longer := longest == nil || len(f.requests) > len(longest.requests)
		tie := longest != nil && len(f.requests) == len(longest.requests) && f.organisation == r.Organisation
		if len(f.requests) > 0 && (longer || tie) {
			longest = f
		}
	}
	return longest.requests[len(longest.requests)-1]
}
