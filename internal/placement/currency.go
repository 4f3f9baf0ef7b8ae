package placement

import (
	"math"
	"time"
)

// MaxTableAge is the age up to which the table of upstreams counts as current, and by which those of two hosts
// may differ. Gateway hosts call the control group each 250 to 500 ms, and a call takes up to 700 ms.
const MaxTableAge = 1200 * time.Millisecond

// tableCurrency tells as of which time this host knows the upstreams. A host that was suspended or cut off
// does not know of processes that restarted meanwhile with another software version.
type tableCurrency struct {
	// syncedAsOf is the time as of which the control group has told this host of all changes, and
	// confirmedAsOf that at which other hosts knew no more than this one.
	syncedAsOf, confirmedAsOf time.Time
}

// isCurrent reports whether no other host is known to know more.
func (c *tableCurrency) isCurrent(now time.Time) bool {
	asOf := c.syncedAsOf
	if c.confirmedAsOf.After(asOf) {
		asOf = c.confirmedAsOf
	}
	return now.Sub(asOf) <= MaxTableAge
}

// TableAge returns the time since the control group told this host of all changes of upstreams; the maximum
// duration if it never has.
func (p *Pool) TableAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.currency.syncedAsOf.IsZero() {
		return math.MaxInt64
	}
	return max(now.Sub(p.currency.syncedAsOf), 0)
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
	if asOf.After(p.currency.confirmedAsOf) {
		p.currency.confirmedAsOf = asOf
	}
}
