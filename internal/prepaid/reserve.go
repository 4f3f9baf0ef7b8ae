package prepaid

import (
	"maps"
	"slices"
	"time"
)

const (
	// ceilingLookahead is the time at the rate of its envelope for which a host has ceilings
	// recorded in advance. A crashed host is charged up to its recorded ceilings.
	ceilingLookahead = 1500 * time.Millisecond
	// ceilingRenewalDivisor sets the remaining part of the lookahead, 1 in N, below which
	// the host has a new ceiling recorded.
	ceilingRenewalDivisor = 2
)

// ReserveOpening is what the witnesses must record before a host may open its reserve or
// spend more of it.
type ReserveOpening struct {
	Session uint64
	// Seq is the number of the last acknowledged report.
	Seq uint64
	// Ceilings are the new limits that the host will observe. Recorded ones of other
	// organisations remain.
	Ceilings []Ceiling
	// WitnessLists are lists of witnesses; a majority of each must record the ceilings.
	WitnessLists [][]uint64
}

// DueReserveOpening returns the opening of the reserve that is due, or nil. It is due if
// no report was acknowledged for ReserveOpenDelay and the recorded ceilings are too low.
func (a *Allowance) DueReserveOpening(now int64) *ReserveOpening {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || now-a.acked.BootTime <= int64(ReserveOpenDelay) {
		return nil
	}
	// In a large fleet most hosts hold nothing that they could spend beyond their bursts.
	due := !a.reserveOpen && !a.fleet.concentrated()
	o := &ReserveOpening{Session: a.session, Seq: a.acked.Seq, WitnessLists: a.witnessLists()}
	for _, name := range slices.Sorted(maps.Keys(a.allotments)) {
		t := a.allotments[name]
		t.decayDemand(now)
		ahead := a.lookahead(t, now)
		if ahead == 0 {
			continue
		}
		if !t.ceilingRecorded || t.ceiling-t.netCommitted() < ahead/ceilingRenewalDivisor || t.raiseCeiling {
			due = true
			o.Ceilings = append(o.Ceilings, Ceiling{Organisation: name, Tokens: t.netCommitted() + ahead})
		}
	}
	if !due {
		return nil
	}
	return o
}

// ReserveCheckIn returns the time after which DueReserveOpening may return an opening.
func (a *Allowance) ReserveCheckIn(now int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil {
		return ReserveOpenDelay
	}
	return max(ReserveOpenDelay-time.Duration(now-a.acked.BootTime), 0)
}

// netCommitted returns the committed tokens less those received from other hosts.
func (t *allotment) netCommitted() int64 { return t.committed() - t.receivedTotal() }

// lookahead returns the tokens that the host is likely to commit before the next ceiling
// is recorded. A borrower needs a ceiling only for tokens beyond its envelope, and only if
// they are enough for a request: what it gets from others needs none.
func (a *Allowance) lookahead(t *allotment, now int64) int64 {
	if t.role == roleBorrower {
		if free := t.held() - t.committed(); float64(free) >= max(t.largest, 1) && t.held() > a.spendLimit(t, now) {
			return free
		}
		return 0
	}
	rate := int64(0)
	for _, e := range []*envelope{t.acked, t.pending} {
		if e != nil {
			rate = max(rate, e.rate)
		}
	}
	return int64(float64(rate)*ceilingLookahead.Seconds()) + t.shortfall
}

// witnessLists returns the witnesses of each report that the control group may know as
// the latest.
func (a *Allowance) witnessLists() [][]uint64 {
	lists := [][]uint64{a.acked.Witnesses}
	if a.unacked != nil {
		lists = append(lists, a.unacked.Witnesses)
	}
	return lists
}

// OpenReserve opens the reserve up to the ceilings of o, and reports whether it did.
// recordedBy lists the witnesses that recorded them. If a report was made meanwhile, a
// majority of its witnesses is needed too.
func (a *Allowance) OpenReserve(o *ReserveOpening, recordedBy []uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.acked == nil || a.acked.Seq != o.Seq {
		return false
	}
	for _, list := range a.witnessLists() {
		count := 0
		for _, w := range list {
			if slices.Contains(recordedBy, w) {
				count++
			}
		}
		if len(list) == 0 || count < majority(len(list)) {
			return false
		}
	}
	a.reserveOpen = true
	for _, c := range o.Ceilings {
		if t := a.allotments[c.Organisation]; t != nil {
			if !t.ceilingRecorded || c.Tokens > t.ceiling {
				t.ceilingRecorded, t.ceiling = true, c.Tokens
			}
			t.raiseCeiling = false
		}
	}
	return true
}

// closeReserve ends spending beyond the burst when a new report begins.
func (a *Allowance) closeReserve() {
	a.reserveOpen = false
	for _, t := range a.allotments {
		t.ceilingRecorded, t.raiseCeiling = false, false
	}
}
