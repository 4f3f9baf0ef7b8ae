package prepaid

import "time"

// ownReserve is the time for which a host keeps its own demand back when another
// host asks for more than it needs at once.
const ownReserve = 2 * time.Second

// Session returns the session that the allowance belongs to.
func (a *Allowance) Session() uint64 { return a.session }

// Holders returns the hosts that are likely to hold free tokens of organisation,
// the richest first.
func (a *Allowance) Holders(organisation string) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.accounts[organisation]; t != nil {
		return t.holders
	}
	return nil
}

// Give sets tokens aside for the session of another host and returns how many, and
// what is left. It gives what is needed or else the part of it that it has; beyond
// that, up to want, it keeps what this host is likely to use itself.
func (a *Allowance) Give(organisation string, to uint64, need, want, now int64) (tokens, free int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.accounts[organisation]
	if t == nil || need <= 0 {
		return 0, 0
	}
	t.decay(now)
	free = max(a.limit(t, now)-t.spent(), 0)
	keep := int64(t.demand / demandWindow.Seconds() * ownReserve.Seconds())
	tokens = max(min(need, free), min(want, free-keep))
	if tokens > 0 {
		t.give(to, tokens)
	}
	return tokens, free - tokens
}

// Lend tells whether the host could give need tokens if its next report said so, and
// has that report do it: between reports the envelope allows little.
func (a *Allowance) Lend(organisation string, need, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.accounts[organisation]
	if t == nil || need <= 0 || a.acked == nil || a.sealed {
		return false
	}
	t.decay(now)
	keep := int64(t.demand / demandWindow.Seconds() * ownReserve.Seconds())
	if t.held()-t.spent()-keep < need {
		return false
	}
	t.lack(need, a.opened)
	return true
}

func (t *allotment) give(to uint64, tokens int64) {
	t.givenTotal += tokens
	t.need = max(t.need-tokens, 0)
	t.changed = true
	for i := range t.given {
		if t.given[i].To == to {
			t.given[i].Tokens += tokens
			return
		}
	}
	t.given = append(t.given, Transfer{To: to, Tokens: tokens})
}

// Receive takes in tokens that another host gave.
func (a *Allowance) Receive(organisation string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.received += tokens
	t.changed = true
}

// NoteHolder remembers what a host said it has left.
func (a *Allowance) NoteHolder(organisation string, session uint64, free int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	holders := make([]Holder, 0, len(t.holders))
	for _, h := range t.holders {
		if h.Session == session {
			h.Free = free
		}
		if h.Free > 0 {
			holders = append(holders, h)
		}
	}
	t.holders = holders
}

// Demand returns the tokens per second that requests of organisation ask for.
func (a *Allowance) Demand(organisation string, now int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.accounts[organisation]
	if t == nil {
		return 0
	}
	t.decay(now)
	return int64(t.demand / demandWindow.Seconds())
}
