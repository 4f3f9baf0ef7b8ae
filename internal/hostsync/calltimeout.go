package hostsync

import "time"

const (
	// minCallTimeout and maxCallTimeout limit the time allowed for a call to a control host.
	// Changes must be in force within two seconds, so that a call that takes longer is of
	// little use.
	minCallTimeout = 700 * time.Millisecond
	maxCallTimeout = 2 * time.Second
	// callTimeoutFactor is the ratio of the time allowed to the duration of recent calls.
	callTimeoutFactor = 3
	// durationDecay is the factor applied to the duration of a longer earlier call.
	durationDecay = 0.75
)

// callTimeout sets the time allowed for calls by the duration of recent ones, so that a host whose
// link is congested waits for slow answers in place of abandoning all of them.
type callTimeout struct {
	// duration is that of the recent calls, which a slower one raises at once.
	duration time.Duration
	// failures counts the calls without an answer since the last one.
	failures int
}

// next returns the time allowed for the next call.
func (t *callTimeout) next() time.Duration {
	allowed := max(callTimeoutFactor*t.duration, minCallTimeout)
	for range t.failures {
		if allowed = 2 * allowed; allowed >= maxCallTimeout {
			break
		}
	}
	return min(allowed, maxCallTimeout)
}

// succeeded records the duration of a call that was answered.
func (t *callTimeout) succeeded(d time.Duration) {
	t.duration = max(d, time.Duration(float64(t.duration)*durationDecay))
	t.failures = 0
}

// failed records a call that was not answered.
func (t *callTimeout) failed() { t.failures++ }
