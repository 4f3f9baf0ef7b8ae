package admission

import "time"

const (
	// targetWaitDivisor sets the target wait of the top class to 1/targetWaitDivisor of
	// a request's time to its deadline.
	targetWaitDivisor = 20
	// targetMissRatio is the ratio of top-class requests that may wait longer.
	targetMissRatio = 0.03
	// reserveStep scales the change of the reserve after each request, in slots.
	reserveStep = 0.5
	// maxReserve bounds the reserve, in slots, until it is limited by the total.
	maxReserve = 1 << 16
)

// reserve is the number of slots that only the top class may use. It grows while more
// than targetMissRatio of that class exceed the target wait, and shrinks to nothing
// while fewer do, so that it takes slots from other classes only when needed.
type reserve struct {
	slots float64
}

// observe adjusts the reserve to the wait of one request of the top class.
func (r *reserve) observe(wait, timeout time.Duration) {
	change := -targetMissRatio
	if wait > timeout/targetWaitDivisor {
		change = 1 - targetMissRatio
	}
	r.slots = min(max(r.slots+reserveStep*change, 0), maxReserve)
}

// reservedOf returns the number of reserved slots out of total.
func (r *reserve) reservedOf(total, divisor int) int {
	limit := total / divisor
	r.slots = min(r.slots, float64(limit)+1)
	return min(int(r.slots), limit)
}
