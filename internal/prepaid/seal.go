package prepaid

// Seal forbids all further spending, but for requests that have reserved their tokens. A host calls it before it closes
// its session. From the next report on, little is written off if the host is killed first.
func (a *Allowance) Seal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sealed {
		a.sealed, a.firstSealed = true, a.seq+1
	}
}

// Sealed reports whether the host may not spend any more.
func (a *Allowance) Sealed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sealed
}

// SealAcknowledged reports whether the control group has acknowledged a report of the sealed host. If the session ends then, in
// whichever way, the host is charged what it had used and reserved by that report, and no more.
func (a *Allowance) SealAcknowledged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sealAcknowledged()
}

func (a *Allowance) sealAcknowledged() bool {
	return a.sealed && a.acked != nil && a.acked.Seq >= a.firstSealed
}

// LastUseAcknowledged reports whether the host is sealed and the control group has acknowledged all that it used, reserved and
// sent until now.
func (a *Allowance) LastUseAcknowledged() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.sealAcknowledged() {
		return false
	}
	reported := make(map[string]*Use, len(a.acked.Uses))
	for i := range a.acked.Uses {
		reported[a.acked.Uses[i].Organisation] = &a.acked.Uses[i]
	}
	for name, t := range a.allotments {
		u := reported[name]
		if u == nil && t.committed() != 0 || u != nil && (u.Used != t.used || u.Reserved != t.reserved || u.sentTotal() != t.sentTotal) {
			return false
		}
	}
	return true
}

// reportLastUse returns the allotment's part of a report of a sealed host, which wants no part of the surplus either.
func (t *allotment) reportLastUse(name string, now int64) Use {
	u := Use{Organisation: name, Used: t.used, Reserved: t.reserved, Want: -t.surplusShare()}
	t.completeReport(&u, t.held()-t.committed(), now)
	return u
}
