package retrylimit

import "time"

// WholeRetry is one retry in the unit of loans, which are parts of retries: in large fleets the share of a host may be less than one.
const WholeRetry = 1000

// loan is a part of the bound that one host lends to another.
type loan struct {
	amount int
	// until is the time until which it counts at the lender, or may be used by the borrower.
	until time.Time
	// own reports that it is of the share of the host that uses it.
	own bool
}

// LoanTime returns the time after it was asked for in which a loan may be used.
func (l *Limiter) LoanTime() time.Duration { return l.settings.Window / 2 }

// StopLending makes the host, which stops, lend nothing more of its share to others: its next process does not know what it lent.
func (l *Limiter) StopLending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeps = true
}

// Lend lends another host up to want of what this one has left of its share, and returns how much. It counts here as retries until
// the last retry for which it may be used has left the window. A share of whole retries is lent in part only.
func (l *Limiter) Lend(service string, hosts, want int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.advance(service, now)
	allowed := l.allowed(c, hosts)
	if l.keeps {
		return 0
	}
	if allowed >= 1 {
		allowed *= spareShare
	}
	return l.lend(c, allowed, want, now)
}

// lend lends up to want of the part of allowed that is not used, unless the process before may have used it. The caller holds l.mu.
func (l *Limiter) lend(c *counts, allowed float64, want int, now time.Time) int {
	if now.Sub(l.start) <= l.settings.Window+l.settings.Window/bucketsPerWindow {
		return 0
	}
	amount := min(want, int((allowed-float64(sum(c.retries[:])))*WholeRetry)-c.lentAt(now))
	if amount <= 0 {
		return 0
	}
	counted := l.LoanTime() + l.settings.Window + l.settings.Window/bucketsPerWindow
	c.lent = append(c.lent, loan{amount: amount, until: now.Add(counted)})
	return amount
}

// Lacking adds what this host has left of its share to what it has borrowed, and returns what is lacking to one retry.
func (l *Limiter) Lacking(service string, hosts int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.advance(service, now)
	lacking := WholeRetry - c.borrowedAt(now)
	if lacking <= 0 {
		return 0
	}
	if own := l.lend(c, l.allowed(c, hosts), lacking, now); own > 0 {
		c.borrowed = append(c.borrowed, loan{amount: own, until: now.Add(l.LoanTime()), own: true})
		lacking -= own
	}
	return lacking
}

// Borrow records what another host lent, which may be used before until.
func (l *Limiter) Borrow(service string, amount int, until, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.advance(service, now)
	c.borrowed = append(c.borrowed, loan{amount: amount, until: until})
}

// PassOn passes on what other hosts lent to a host that lacks no more to a retry than this one, and returns how much, and for how long
// it may be used: hosts that look for a retry at the same time would each get a part. The lenders go on to count it.
func (l *Limiter) PassOn(service string, lacking int, now time.Time) (amount int, usable time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.advance(service, now)
	if lacking > WholeRetry-c.borrowedAt(now) {
		return 0, 0
	}
	for i := range c.borrowed {
		b := &c.borrowed[i]
		passed := min(lacking-amount, b.amount)
		if b.own || passed <= 0 {
			continue
		}
		if left := b.until.Sub(now); amount == 0 || left < usable {
			usable = left
		}
		b.amount -= passed
		amount += passed
	}
	return amount, usable
}

// AllowBorrowedRetry reports whether enough was borrowed for a retry, which the lenders count. If so it uses it, and returns the time
// until which that may be returned.
func (l *Limiter) AllowBorrowedRetry(service string, now time.Time) (until time.Time, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, _ := l.advance(service, now)
	if c.borrowedAt(now) < WholeRetry {
		return time.Time{}, false
	}
	lacking := WholeRetry
	for i := range c.borrowed {
		b := &c.borrowed[i]
		used := min(lacking, b.amount)
		if used > 0 && (until.IsZero() || b.until.Before(until)) {
			until = b.until
		}
		b.amount -= used
		lacking -= used
	}
	return until, true
}

// lentAt returns what still counts of that which was lent.
func (c *counts) lentAt(now time.Time) int { return total(&c.lent, now) }

// borrowedAt returns what may still be used of that which was borrowed.
func (c *counts) borrowedAt(now time.Time) int { return total(&c.borrowed, now) }

// total returns the sum of the loans, and drops those that have ended.
func total(loans *[]loan, now time.Time) (amount int) {
	kept := (*loans)[:0]
	for _, l := range *loans {
		if l.amount > 0 && now.Before(l.until) {
			kept = append(kept, l)
			amount += l.amount
		}
	}
	*loans = kept
	return amount
}
