package prepaid

// Seal forbids all further spending, but for requests that have reserved their tokens. A host calls it before it closes
// its session. From the next report on, little is written off if the host is killed first.
func (a *Allowance) Seal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
}

// reportLastUse returns the allotment's part of a report of a sealed host.
func (t *allotment) reportLastUse(name string, now int64) Use {
	u := Use{Organisation: name, Used: t.used, Reserved: t.reserved}
	t.completeReport(&u, t.held()-t.committed(), now)
	return u
}
