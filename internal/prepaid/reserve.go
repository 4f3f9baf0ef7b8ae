package prepaid

import (
	"maps"
	"slices"
	"time"
)

const (
	// ceilingAhead is the time at the rate of its envelope that a host notes ahead: what
	// it notes is charged if it dies.
	ceilingAhead = 1500 * time.Millisecond
	// ceilingRenewal is the part of that, 1 in N, that is left when the host notes again.
	ceilingRenewal = 2
)

// ReserveOpening tells what a host must do before it may open its reserve, or spend
// more of it.
type ReserveOpening struct {
	Session uint64
	// Seq is the last acknowledged report.
	Seq uint64
	// Ceilings are what the host is going to keep to.
	Ceilings []Ceiling
	// Lists are the lists of witnesses; a majority of each must note it.
	Lists [][]uint64
}

// Due returns the opening of the reserve that is due, or nil: the host has been
// without an acknowledged report for OpenDelay, and it has not noted enough.
func (a *Allowance) Due(now int64) *ReserveOpening {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || now-a.acked.Clock <= int64(OpenDelay) {
		return nil
	}
	due := !a.opened
	o := &ReserveOpening{Session: a.session, Seq: a.acked.Seq, Lists: a.witnessLists()}
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		t := a.accounts[name]
		t.decay(now)
		ahead := t.ahead()
		if ahead == 0 {
			continue
		}
		low := !t.noted || t.ceiling-t.net() < ahead/ceilingRenewal || t.raise
		due = due || low
		o.Ceilings = append(o.Ceilings, Ceiling{Organisation: name, Tokens: t.net() + ahead})
	}
	if !due {
		return nil
	}
	return o
}

// net is what was spent of the host's own tokens.
func (t *allotment) net() int64 { return t.spent() - t.transferred() }

// ahead is what the host is likely to spend before it notes again.
func (t *allotment) ahead() int64 {
	rate := int64(0)
	for _, e := range []*envelope{t.acked, t.pending} {
		if e != nil {
			rate = max(rate, e.rate)
		}
	}
	return int64(float64(rate)*ceilingAhead.Seconds()) + t.need
}

// witnessLists returns the witnesses of each report that may be the latest that the
// group knows.
func (a *Allowance) witnessLists() [][]uint64 {
	lists := [][]uint64{a.acked.Witnesses}
	if a.sent != nil {
		lists = append(lists, a.sent.Witnesses)
	}
	return lists
}

// Open opens the reserve up to the ceilings that the witnesses have noted. Noted holds
// those that did. A report that was made meanwhile has a say too.
func (a *Allowance) Open(o *ReserveOpening, noted []uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || a.acked.Seq != o.Seq {
		return false
	}
	for _, list := range a.witnessLists() {
		count := 0
		for _, w := range list {
			if slices.Contains(noted, w) {
				count++
			}
		}
		if len(list) == 0 || count < majority(len(list)) {
			return false
		}
	}
	a.opened = true
	for _, c := range o.Ceilings {
		if t := a.accounts[c.Organisation]; t != nil {
			if !t.noted || c.Tokens > t.ceiling {
				t.noted, t.ceiling = true, c.Tokens
			}
			t.raise = false
		}
	}
	return true
}

// closeReserve ends the spending beyond the burst: a new report has begun.
func (a *Allowance) closeReserve() {
	a.opened = false
	for _, t := range a.accounts {
		t.noted, t.raise = false, false
	}
}
