package admission

import "time"

const (
	// promptDivisor sets the part of its time, 1/promptDivisor, for which the
	// worthiest class may wait.
	promptDivisor = 20
	// promptMisses is the share of its requests that may wait longer.
	promptMisses = 0.03
	// reserveStep is the change of the reserve after one wait that was too long, in places.
	reserveStep = 0.5
	// reserveMax bounds the reserve, in places, before the number of all places does.
	reserveMax = 1 << 16
)

// reserve is the number of places that only the worthiest class may take. It
// grows while more than promptMisses of that class wait for too long, and
// shrinks to nothing while fewer do, so that it costs the other classes places
// only where it is needed.
type reserve struct {
	size float64
}

// observe takes note of the wait of one request of the worthiest class.
func (r *reserve) observe(wait, patience time.Duration) {
	change := -promptMisses
	if wait > patience/promptDivisor {
		change = 1 - promptMisses
	}
	r.size = min(max(r.size+reserveStep*change, 0), reserveMax)
}

// of returns the whole places that are reserved of total.
func (r *reserve) of(total, divisor int) int {
	limit := total / divisor
	r.size = min(r.size, float64(limit)+1)
	return min(int(r.size), limit)
}
