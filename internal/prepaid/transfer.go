package prepaid

import "time"

// ownDemandWindow is the time at its own demand for which a host retains tokens when
// another host asks for more than it needs at once.
const ownDemandWindow = 2 * time.Second

// Session returns the session that the allowance belongs to.
func (a *Allowance) Session() uint64 { return a.session }

// Holders returns the hosts that are likely to hold free tokens of organisation, those
// with the most first.
func (a *Allowance) Holders(organisation string) []Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.allotments[organisation]; t != nil {
		return t.holders
	}
	return nil
}

// Transfer transfers tokens to the session of another host and returns how many, and how
// many are left free. It transfers need, or what is free if that is less and whole is not set.
// Beyond need, up to want, it transfers only what exceeds this host's own demand over
// ownDemandWindow.
func (a *Allowance) Transfer(organisation string, to uint64, need, want int64, whole bool, now int64) (tokens, free int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil || need <= 0 {
		return 0, 0
	}
	t.decayDemand(now)
	free = max(a.spendLimit(t, now)-t.committed(), 0)
	tokens = max(min(need, free), min(want, free-t.retained()))
	if whole && tokens < need {
		tokens = 0
	}
	if tokens > 0 {
		t.recordTransfer(to, tokens)
		if t.role == roleHolder {
			t.addDemand(tokens, now)
		}
	}
	if t.role == roleHolder && tokens < need {
		t.recordShortfall(need-tokens, a.reserveOpen)
	}
	return tokens, free - tokens
}

// ReturnExcess takes the tokens that a borrower no longer needs, as transferred to the session of a
// holder, and returns how many. Should the message to the holder be lost, the control group tells
// it of the transfer with the reports of both.
func (a *Allowance) ReturnExcess(organisation string, to uint64, now int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil || t.role != roleBorrower {
		return 0
	}
	t.decayDemand(now)
	tokens := min(t.excess(), a.spendLimit(t, now)-t.committed())
	if tokens <= 0 {
		return 0
	}
	t.recordTransfer(to, tokens)
	return tokens
}

// Balance returns the tokens of an organisation that are neither used nor reserved on any host, and
// how old that figure is; known is false if the control group has not stated it.
func (a *Allowance) Balance(organisation string, now int64) (tokens int64, age time.Duration, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil || !t.balanceKnown {
		return 0, 0, false
	}
	return t.balance, time.Duration(now - t.balanceAt), true
}

// NoteBalance applies a balance that another host knew at time at, unless a later one is known.
func (a *Allowance) NoteBalance(organisation string, tokens, at int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.allotment(organisation); t.balanceKnown && at > t.balanceAt {
		t.balance, t.balanceAt = tokens, at
	}
}

// PrepareTransfer reports whether the host could send need tokens after its next report,
// and if so raises the burst of that report accordingly: between reports the envelope
// allows little.
func (a *Allowance) PrepareTransfer(organisation string, need, now int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil || need <= 0 || a.acked == nil || a.sealed {
		return false
	}
	t.decayDemand(now)
	if t.held()-t.committed()-t.retained() < need {
		return false
	}
	t.recordShortfall(need, a.reserveOpen)
	return true
}

// retained returns the free tokens that the host retains for its own demand. A holder
// serves the requests of all hosts alike.
func (t *allotment) retained() int64 {
	if t.role == roleHolder {
		return 0
	}
	return int64(t.demand / demandTimeConstant.Seconds() * ownDemandWindow.Seconds())
}

// TransferWait returns the time after which the host may send need more tokens if the
// control group stays unreachable, or 0 if it holds too few.
func (a *Allowance) TransferWait(organisation string, need, now int64) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil {
		return 0
	}
	d := Decision{Free: t.held() - t.committed()}
	a.estimateWait(t, &d, need, now)
	return max(d.AllowedIn, 0)
}

func (t *allotment) recordTransfer(to uint64, tokens int64) {
	t.sentTotal += tokens
	t.shortfall = max(t.shortfall-tokens, 0)
	t.changed = true
	for i := range t.transfers {
		if t.transfers[i].To == to {
			t.transfers[i].Tokens += tokens
			return
		}
	}
	t.transfers = append(t.transfers, Transfer{To: to, Tokens: tokens})
}

// Receive adds tokens that another host transferred.
func (a *Allowance) Receive(organisation string, tokens int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotment(organisation)
	t.received += tokens
	t.changed = true
}

// UpdateHolder updates the number of free tokens that a host has stated.
func (a *Allowance) UpdateHolder(organisation string, session uint64, free int64) {
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

// TokensAhead returns the tokens that the host should have for the next second beyond those
// of the current request.
func (a *Allowance) TokensAhead(organisation string, now int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.allotments[organisation]
	if t == nil {
		return 0
	}
	t.decayDemand(now)
	if t.role == roleBorrower {
		return t.borrowedAhead()
	}
	return int64(t.demand / demandTimeConstant.Seconds())
}
