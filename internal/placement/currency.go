package placement

import (
	"math"
	"time"
)

// MaxTableAge is the age up to which the table of upstreams counts as current, and by which those of two hosts
// may differ. Gateway hosts call the control group each 250 to 500 ms, and a call takes up to 700 ms.
const MaxTableAge = 1200 * time.Millisecond

// minSuspension is the least time for which a machine counts as suspended. It exceeds the time between the readings of
// two clocks.
const minSuspension = 50 * time.Millisecond

// tableCurrency tells as of which time this host knows the upstreams. A host that was suspended or cut off
// does not know of processes that restarted meanwhile with another software version.
type tableCurrency struct {
	// suspended returns the time for which the machine has been suspended since its boot.
	suspended func() time.Duration
	// synced is the time as of which the control group has told this host of all changes, and
	// confirmed that at which other hosts knew no more than this one.
	synced, confirmed moment
}

// moment is a time, and the time for which the machine had been suspended by then.
type moment struct {
	time.Time
	suspended time.Duration
}

// advance moves m to a later time.
func (c *tableCurrency) advance(m *moment, asOf time.Time) {
	if asOf.After(m.Time) {
		*m = moment{asOf, c.suspended()}
	}
}

// age returns the time since m, including that for which the machine was suspended; the maximum duration if
// m is zero.
func (c *tableCurrency) age(m moment, now time.Time) time.Duration {
	if m.IsZero() {
		return math.MaxInt64
	}
	suspended := c.suspended() - m.suspended
	if suspended < minSuspension {
		suspended = 0
	}
	return max(now.Sub(m.Time)+suspended, 0)
}

// isCurrent reports whether no other host is known to know more.
func (c *tableCurrency) isCurrent(now time.Time) bool {
	return min(c.age(c.synced, now), c.age(c.confirmed, now)) <= MaxTableAge
}

// TableAge returns the time since the control group told this host of all changes of upstreams; the maximum
// duration if it never has.
func (p *Pool) TableAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currency.age(p.currency.synced, now)
}

// TableCurrent reports whether this host knows the upstreams as well as others do. While it does not, resumed
// streams are refused.
func (p *Pool) TableCurrent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.currency.isCurrent(now)
}

// ConfirmTable records that other hosts knew no more of the upstreams than this one at a time, as none of them
// reached the control group either.
func (p *Pool) ConfirmTable(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.currency.advance(&p.currency.confirmed, asOf)
}
