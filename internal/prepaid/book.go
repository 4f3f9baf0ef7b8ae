package prepaid

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// surplusDivisor sets the part of the balance beyond what hosts want (1 in N) that is
	// distributed evenly, so that a host with new demand can serve while disconnected.
	surplusDivisor = 8
	// returnSlackDivisor adds slack (1 in N) to the target, so that hosts do not return and
	// request small amounts in turn.
	returnSlackDivisor = 8
	// fullReplyEvery is the number of reports of which one receives a full reply.
	fullReplyEvery = 4
	// maxHolders is the number of holders listed in a grant.
	maxHolders = 4
)

// Book is the control group's ledger of prepaid budgets. It is deterministic.
type Book struct {
	Accounts map[string]*Account `cbor:"1,keyasint"`
	// Sessions holds the open session of each host by host name.
	Sessions map[string]*Session `cbor:"2,keyasint"`
	// Provisional holds the charges to terminated sessions that the answers of witnesses may
	// reduce, by session.
	Provisional map[uint64]*ProvisionalCharge `cbor:"3,keyasint,omitempty"`
	// BootClocks reports whether gaps are measured by boot-time clocks only; see UseBootClocks.
	BootClocks bool `cbor:"4,keyasint,omitempty"`
	// ClockAgreement reports whether gaps are measured by boot-time clocks and, where these can't, by wall
	// clocks that agree. All replicas must begin this with the same entry of the log. BootClocks overrides it.
	ClockAgreement bool `cbor:"5,keyasint,omitempty"`

	// totals caches the sums over the open sessions by organisation. It is derived from
	// Sessions and recomputed if nil.
	totals map[string]*total
}

// total sums the holdings of one organisation over the open sessions.
type total struct {
	held, free, want int64
}

func (t *total) add(h *Holding, sign int64) {
	t.held += sign * h.held()
	t.free += sign * h.free()
	t.want += sign * h.Want
}

// total returns the sums of an organisation.
func (b *Book) total(name string) *total {
	if b.totals == nil {
		b.totals = map[string]*total{}
		for _, s := range b.Sessions {
			for organisation, h := range s.Holdings {
				b.total(organisation).add(h, 1)
			}
		}
	}
	t := b.totals[name]
	if t == nil {
		t = &total{}
		b.totals[name] = t
	}
	return t
}

// updateHolding applies fn to a holding of an open session and keeps the totals
// consistent.
func (b *Book) updateHolding(name string, h *Holding, fn func()) {
	t := b.total(name)
	t.add(h, -1)
	fn()
	t.add(h, 1)
}

// removeFromTotals subtracts a session's holdings from the totals.
func (b *Book) removeFromTotals(s *Session) {
	for name, h := range s.Holdings {
		b.total(name).add(h, -1)
	}
}

// Account is the budget of one organisation.
type Account struct {
	// Prepaid is the total paid in. Limited is false if no budget is enforced.
	Prepaid int64 `cbor:"1,keyasint"`
	Limited bool  `cbor:"2,keyasint"`
	// Charged is the number of tokens charged to ended sessions: used, or possibly used.
	Charged int64 `cbor:"3,keyasint"`
	// WrittenOff is the part of Charged that was not reported as used.
	WrittenOff int64 `cbor:"4,keyasint"`
}

// Session is the control group's state of one process of a host.
type Session struct {
	ID       uint64              `cbor:"1,keyasint"`
	Seq      uint64              `cbor:"2,keyasint"`
	BootTime int64               `cbor:"3,keyasint"`
	Holdings map[string]*Holding `cbor:"4,keyasint"`
	// WallTime is the host's wall-clock time at its latest report, and ArrivalTime the wall
	// clock of the control host that received it, both in Unix ns; 0 if Book.BootClocks is set.
	WallTime    int64 `cbor:"5,keyasint,omitempty"`
	ArrivalTime int64 `cbor:"6,keyasint,omitempty"`
	// Witnesses are the sessions named as witnesses by the latest report.
	Witnesses []uint64 `cbor:"7,keyasint,omitempty"`
	// Boot identifies the boot of the machine that BootTime belongs to; 0 if it is not known.
	Boot uint64 `cbor:"8,keyasint,omitempty"`
	// Arrived is the leader's clock when the latest report arrived. Made is a reading of the leader's
	// clock that is not after the making of that report.
	Arrived ClockReading `cbor:"9,keyasint,omitzero"`
	Made    ClockReading `cbor:"10,keyasint,omitzero"`
	// MadeTime is a reading of the control hosts' wall clock that is not after the making of the latest report, in
	// Unix ns; 0 if there is none.
	MadeTime int64 `cbor:"11,keyasint,omitempty"`
}

// Holding is the part of one organisation in a session.
type Holding struct {
	Use     `cbor:"1,keyasint"`
	Granted int64 `cbor:"2,keyasint"`
	// Credited is the part of Granted that came from other hosts.
	Credited int64 `cbor:"3,keyasint,omitempty"`
}

// held returns the tokens granted, less those returned or transferred to other hosts.
func (h *Holding) held() int64 { return h.Granted - h.Returned - h.sentTotal() }

// free returns the held tokens that are neither used nor reserved.
func (h *Holding) free() int64 { return h.held() - h.Used - h.Reserved }

// receivedSinceReport returns the tokens that other hosts reported as transferred since
// this host's last report. Transfers not yet reported are charged when they are reported.
func (h *Holding) receivedSinceReport() int64 { return max(h.Credited-h.Received, 0) }

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		Accounts: map[string]*Account{}, Sessions: map[string]*Session{}, Provisional: map[uint64]*ProvisionalCharge{},
	}
}

// SetPrepaid replaces the totals paid in. Organisations that are not named lose their
// limit but keep their charges.
func (b *Book) SetPrepaid(totals map[string]int64) {
	for name, a := range b.Accounts {
		if _, named := totals[name]; !named {
			a.Limited = false
		}
	}
	for name, total := range totals {
		a := b.account(name)
		a.Prepaid, a.Limited = total, true
	}
}

func (b *Book) account(name string) *Account {
	a := b.Accounts[name]
	if a == nil {
		a = &Account{}
		b.Accounts[name] = a
	}
	return a
}

// SessionSettlement describes how the session of a terminated process was settled.
type SessionSettlement struct {
	Host string
	// Gap is the longest time that can have passed from the last report to the start of the next
	// process. It is measured if Measured is set.
	Gap      time.Duration
	Measured bool
	// Bounded reports whether the envelope bounds what the process can have spent.
	Bounded bool
	// Charged is the number of tokens charged, and WrittenOff the part of it that was not
	// reported as used.
	Charged, WrittenOff int64
	// Provisional is the part that is refunded if the witnesses did not record that the
	// reserve was opened.
	Provisional int64
}

// OpenSession opens the session of a host's new process and charges what the previous
// process may have spent. The result is nil if there was no previous process, or if the
// session is open already.
func (b *Book) OpenSession(o SessionOpening) *SessionSettlement {
	old := b.Sessions[o.Host]
	if old != nil && old.ID == o.Session {
		return nil
	}
	if old != nil {
		b.removeFromTotals(old)
	}
	b.Sessions[o.Host] = b.newSession(o)
	if old == nil {
		return nil
	}
	settlement := &SessionSettlement{Host: o.Host}
	settlement.Gap, settlement.Measured = b.maxGap(old, o)
	settlement.Bounded = settlement.Measured && settlement.Gap <= FullReserveDelay
	provisional := &ProvisionalCharge{
		Seq: old.Seq, Witnesses: old.Witnesses, ReserveTokens: map[string]int64{}, BaseCeilings: map[string]int64{},
	}
	for name, h := range old.Holdings {
		base := min(h.held(), h.Used+h.Reserved+h.Burst+h.receivedSinceReport())
		charged := h.held()
		if settlement.Bounded {
			charged = min(charged, base+h.maxReserveSpend(settlement.Gap))
		}
		b.charge(name, charged, h.Used, settlement)
		provisional.ReserveTokens[name] = charged - base
		provisional.BaseCeilings[name] = base + h.sentTotal() - max(h.Credited, h.Received)
		settlement.Provisional += charged - base
	}
	if settlement.Measured && settlement.Gap <= UnwitnessedReserveDelay && settlement.Provisional > 0 && len(old.Witnesses) > 0 {
		b.Provisional[old.ID] = provisional
	}
	return settlement
}

// CloseSession ends the session of a host that stops, after its last report. The host
// spends nothing after requesting this.
func (b *Book) CloseSession(host string, session uint64) {
	s := b.Sessions[host]
	if s == nil || s.ID != session {
		return
	}
	b.removeFromTotals(s)
	for name, h := range s.Holdings {
		b.account(name).Charged += h.Used + h.Reserved
	}
	delete(b.Sessions, host)
}

// charge charges a terminated process for tokens that it used or may have used.
func (b *Book) charge(name string, tokens, used int64, settlement *SessionSettlement) {
	a := b.account(name)
	a.Charged += tokens
	a.WrittenOff += tokens - used
	settlement.Charged += tokens
	settlement.WrittenOff += tokens - used
}

// maxReserveSpend returns the most that the host commits beyond its burst within d after
// the report if it opens its reserve.
func (u *Use) maxReserveSpend(d time.Duration) int64 {
	return int64(float64(u.Rate) * max(d-ReserveOpenDelay, 0).Seconds())
}

// ApplyReport applies a report and grants what the balances allow. arrival is the wall
// clock of the control host when the report arrived, in Unix ns.
func (b *Book) ApplyReport(host string, r *Report, arrival int64) Reply {
	s := b.Sessions[host]
	if s == nil || s.ID != r.Session {
		return Reply{Seq: r.Seq, UnknownSession: true}
	}
	if r.Seq > s.Seq {
		s.Seq, s.Witnesses = r.Seq, r.Witnesses
		b.recordTimes(s, r, arrival)
		for _, u := range r.Uses {
			h := s.holding(u.Organisation)
			b.applyTransfers(u.Organisation, &h.Use, &u)
			b.updateHolding(u.Organisation, h, func() { h.Use = u })
		}
	}
	return b.reply(s, r)
}

// reply grants the tokens that the host's organisations lack. Most replies name only the
// organisations of the report; one in fullReplyEvery names all and lists other holders.
func (b *Book) reply(s *Session, r *Report) Reply {
	reply := Reply{Seq: r.Seq}
	full := r.Seq%fullReplyEvery == 1
	names := make([]string, 0, len(s.Holdings))
	for i := range r.Uses {
		names = append(names, r.Uses[i].Organisation)
	}
	if full {
		names = slices.AppendSeq(names[:0], maps.Keys(s.Holdings))
	}
	slices.Sort(names)
	for _, name := range names {
		h := s.holding(name)
		g := b.grant(name, h)
		g.Credited = h.Credited
		if full {
			g.Holders = b.holders(name, s)
		}
		reply.Grants = append(reply.Grants, g)
	}
	return reply
}

// applyTransfers credits the receivers with the tokens that a host sent since its last
// report. Tokens for a receiver whose session has ended are charged.
func (b *Book) applyTransfers(name string, old, now *Use) {
	for _, t := range now.Transfers {
		tokens := t.Tokens
		if i := slices.IndexFunc(old.Transfers, func(o Transfer) bool { return o.To == t.To }); i >= 0 {
			tokens -= old.Transfers[i].Tokens
		}
		if tokens == 0 {
			continue
		}
		if to := b.sessionByID(t.To); to != nil {
			h := to.holding(name)
			b.updateHolding(name, h, func() {
				h.Granted += tokens
				h.Credited += tokens
			})
		} else {
			b.account(name).Charged += tokens
		}
	}
}

func (b *Book) sessionByID(id uint64) *Session {
	for _, s := range b.Sessions {
		if s.ID == id {
			return s
		}
	}
	return nil
}

func (s *Session) holding(name string) *Holding {
	h := s.Holdings[name]
	if h == nil {
		h = &Holding{}
		s.Holdings[name] = h
	}
	return h
}

// grant raises a holding towards its target share of the balance.
func (b *Book) grant(name string, h *Holding) Grant {
	a := b.account(name)
	if !a.Limited {
		return Grant{Organisation: name, Granted: h.Granted, Hosts: len(b.Sessions)}
	}
	t := b.total(name)
	undistributed := a.Prepaid - a.Charged - t.held
	balance, wanted := t.free+undistributed, t.want
	target := targetShare(balance, h.Want, wanted, int64(len(b.Sessions)))
	if more := min(target-h.free(), undistributed); more > 0 {
		b.updateHolding(name, h, func() { h.Granted += more })
	}
	return Grant{
		Organisation: name, Granted: h.Granted, Target: target + target/returnSlackDivisor,
		Balance: balance, Hosts: len(b.Sessions),
	}
}

// holders returns the other sessions with the most free tokens. In a large fleet it returns
// none, as hosts know whom to ask from the addresses alone.
func (b *Book) holders(name string, self *Session) []Holder {
	if len(b.Sessions) > MaxDirectPeers+1 {
		return nil
	}
	list := make([]Holder, 0, maxHolders+1)
	for _, s := range b.Sessions {
		h := s.Holdings[name]
		if s == self || h == nil || h.free() <= 0 {
			continue
		}
		holder := Holder{Session: s.ID, Free: h.free()}
		at, _ := slices.BinarySearchFunc(list, holder, compareHolders)
		if at < maxHolders {
			list = slices.Insert(list, at, holder)
			list = list[:min(len(list), maxHolders)]
		}
	}
	return list
}

// compareHolders orders holders by free tokens, descending.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Session, b.Session))
}

// targetShare returns the free tokens that a host should hold: what it wants plus an
// even part of the surplus, or a proportional part of a balance too small for all.
func targetShare(balance, want, wanted, hosts int64) int64 {
	if balance <= 0 {
		return 0
	}
	if wanted > balance {
		return int64(float64(balance) * float64(want) / float64(wanted))
	}
	return want + (balance-wanted)/surplusDivisor/max(hosts, 1)
}
