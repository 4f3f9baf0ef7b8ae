package prepaid

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// surplusDivisor is the part of the balance beyond what hosts want, 1 in N, that
	// is spread evenly over the hosts, so that one with new demand can serve while cut off.
	surplusDivisor = 8
	// returnSlackDivisor keeps hosts from returning small amounts back and forth.
	returnSlackDivisor = 8
	// clockAgreement is the difference up to which a host's boot-time clock and time
	// of day count as having run on together.
	clockAgreement = 500 * time.Millisecond
	// clockDoubt is added to a time that was measured by the times of day of two control
	// hosts. Those of a region agree within 100 ms.
	clockDoubt = 150 * time.Millisecond
	// fullReplyEvery is the number of reports of which one is answered in full.
	fullReplyEvery = 4
	// maxHolders is the number of holders that a host is told of.
	maxHolders = 4
)

// Book is the control group's record of prepaid budgets. It is deterministic.
type Book struct {
	Accounts map[string]*Account `cbor:"1,keyasint"`
	// Sessions holds the open session of each host by the host's name.
	Sessions map[string]*Session `cbor:"2,keyasint"`
	// Doubtful holds the dead sessions whose charge depends on their witnesses.
	Doubtful map[uint64]*DoubtfulSession `cbor:"3,keyasint,omitempty"`

	// totals holds the sums over the open sessions by organisation. It follows from
	// Sessions, and is made anew where it is nil.
	totals map[string]*total
}

// total is the sum of an organisation's holdings.
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

// change changes a holding of an open session and keeps the sums.
func (b *Book) change(name string, h *Holding, fn func()) {
	t := b.total(name)
	t.add(h, -1)
	fn()
	t.add(h, 1)
}

// drop takes a session's holdings out of the sums.
func (b *Book) drop(s *Session) {
	for name, h := range s.Holdings {
		b.total(name).add(h, -1)
	}
}

// Account is the budget of one organisation.
type Account struct {
	// Prepaid is the total paid in. Limited is false while no budget is kept.
	Prepaid int64 `cbor:"1,keyasint"`
	Limited bool  `cbor:"2,keyasint"`
	// Charged is what ended sessions have used, or may have used.
	Charged int64 `cbor:"3,keyasint"`
	// WrittenOff is the part of Charged that was not reported as used.
	WrittenOff int64 `cbor:"4,keyasint"`
}

// Session is what the group knows of one process of a host.
type Session struct {
	ID       uint64              `cbor:"1,keyasint"`
	Seq      uint64              `cbor:"2,keyasint"`
	Clock    int64               `cbor:"3,keyasint"`
	Holdings map[string]*Holding `cbor:"4,keyasint"`
	// Wall is the host's time of day at its latest report, and Stamp that of the
	// control host that committed it, both in Unix ns.
	Wall  int64 `cbor:"5,keyasint,omitempty"`
	Stamp int64 `cbor:"6,keyasint,omitempty"`
	// Witnesses are those of the latest report.
	Witnesses []uint64 `cbor:"7,keyasint,omitempty"`
}

// Holding is one organisation's part of a session.
type Holding struct {
	Use     `cbor:"1,keyasint"`
	Granted int64 `cbor:"2,keyasint"`
	// Credited is the part of Granted that came from other hosts.
	Credited int64 `cbor:"3,keyasint,omitempty"`
}

// held is what the host has got and not passed on.
func (h *Holding) held() int64 { return h.Granted - h.Returned - h.given() }

// free is what the host holds beyond what it has used and reserved.
func (h *Holding) free() int64 { return h.held() - h.Used - h.Reserved }

// receivedSince is what other hosts are known to have given since the last report.
// What they have not reported yet is charged when they do.
func (h *Holding) receivedSince() int64 { return max(h.Credited-h.Received, 0) }

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{
		Accounts: map[string]*Account{}, Sessions: map[string]*Session{}, Doubtful: map[uint64]*DoubtfulSession{},
	}
}

// SetPrepaid replaces the totals paid in. Accounts of organisations that are not
// named keep what was charged.
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

// Ended tells how the session of a dead process was settled.
type Ended struct {
	Host string
	// Gap is the time from the last report to the start of the next process.
	Gap time.Duration
	// Bounded tells that the envelope bounds what the process has spent.
	Bounded bool
	// Charged and WrittenOff are the tokens charged, and those of them that were
	// not reported as used.
	Charged, WrittenOff int64
	// Doubtful is the part that comes back if the witnesses deny that the reserve
	// was opened.
	Doubtful int64
}

// Open begins the session of a host's new process. What the process before it
// may have spent is charged; Ended is nil if there was none.
func (b *Book) Open(o Opening) *Ended {
	old := b.Sessions[o.Host]
	if old != nil && old.ID == o.Session {
		return nil
	}
	if old != nil {
		b.drop(old)
	}
	b.Sessions[o.Host] = &Session{ID: o.Session, Clock: o.Clock, Wall: o.Wall, Stamp: o.Stamp, Holdings: map[string]*Holding{}}
	if old == nil {
		return nil
	}
	ended := &Ended{Host: o.Host}
	var known bool
	ended.Gap, known = old.gap(o)
	ended.Bounded = known && ended.Gap <= ReserveDelay
	doubtful := &DoubtfulSession{
		Seq: old.Seq, Witnesses: old.Witnesses, Tokens: map[string]int64{}, Closed: map[string]int64{},
	}
	for name, h := range old.Holdings {
		closed := min(h.held(), h.Used+h.Reserved+h.Burst+h.receivedSince())
		charged := h.held()
		if ended.Bounded {
			charged = min(charged, closed+h.opened(ended.Gap))
		}
		b.charge(name, charged, h.Used, ended)
		doubtful.Tokens[name] = charged - closed
		doubtful.Closed[name] = closed + h.given() - max(h.Credited, h.Received)
		ended.Doubtful += charged - closed
	}
	if known && ended.Gap <= SoloDelay && ended.Doubtful > 0 && len(old.Witnesses) > 0 {
		b.Doubtful[old.ID] = doubtful
	}
	return ended
}

// gap returns the most time that can have passed between the session's last
// report and the death of its process, and whether it is known. The host's boot-time clock tells it exactly, unless the
// machine itself was restarted, as shown by a time of day that has gone another
// way. Then two times of day on different machines must both say that it is
// short, with doubt added: only one that was stepped back would mislead.
func (s *Session) gap(o Opening) (time.Duration, bool) {
	boot, wall := time.Duration(o.Clock-s.Clock), time.Duration(o.Wall-s.Wall)
	if boot >= 0 && (boot-wall).Abs() <= clockAgreement {
		return boot, true
	}
	if wall < 0 {
		return wall, false
	}
	control := time.Duration(o.Stamp - s.Stamp - o.Age)
	return max(wall, control) + clockDoubt, true
}

// Close ends the session of a host that stops, after its last report. The host
// spends nothing after it has asked for this.
func (b *Book) Close(host string, session uint64) {
	s := b.Sessions[host]
	if s == nil || s.ID != session {
		return
	}
	b.drop(s)
	for name, h := range s.Holdings {
		b.account(name).Charged += h.Used + h.Reserved
	}
	delete(b.Sessions, host)
}

// charge charges what a dead process has used, or may have used.
func (b *Book) charge(name string, tokens, used int64, ended *Ended) {
	a := b.account(name)
	a.Charged += tokens
	a.WrittenOff += tokens - used
	ended.Charged += tokens
	ended.WrittenOff += tokens - used
}

// opened is the most that the host reserves beyond its burst within d after the
// report, if it opens its reserve.
func (u *Use) opened(d time.Duration) int64 {
	return int64(float64(u.Rate) * max(d-OpenDelay, 0).Seconds())
}

// Apply takes in a report and grants what the balances allow. stamp is the time of
// day of the control host at which the report arrived, in Unix ns.
func (b *Book) Apply(host string, r *Report, stamp int64) Reply {
	s := b.Sessions[host]
	if s == nil || s.ID != r.Session {
		return Reply{Seq: r.Seq, Unknown: true}
	}
	if r.Seq > s.Seq {
		s.Seq, s.Clock, s.Wall, s.Stamp, s.Witnesses = r.Seq, r.Clock, r.Wall, stamp, r.Witnesses
		for _, u := range r.Uses {
			h := s.holding(u.Organisation)
			b.transfer(u.Organisation, &h.Use, &u)
			b.change(u.Organisation, h, func() { h.Use = u })
		}
	}
	return b.reply(s, r)
}

// reply grants what the host's organisations lack. Most replies name those of the
// report only, and who else holds tokens is told with every fourth.
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

// transfer credits the receivers with what a host gave since its last report.
// What a receiver whose session has ended got is charged.
func (b *Book) transfer(name string, old, now *Use) {
	for _, t := range now.Given {
		tokens := t.Tokens
		if i := slices.IndexFunc(old.Given, func(o Transfer) bool { return o.To == t.To }); i >= 0 {
			tokens -= old.Given[i].Tokens
		}
		if tokens == 0 {
			continue
		}
		if to := b.session(t.To); to != nil {
			h := to.holding(name)
			b.change(name, h, func() {
				h.Granted += tokens
				h.Credited += tokens
			})
		} else {
			b.account(name).Charged += tokens
		}
	}
}

func (b *Book) session(id uint64) *Session {
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

// grant raises a holding towards its share of the balance.
func (b *Book) grant(name string, h *Holding) Grant {
	a := b.account(name)
	if !a.Limited {
		return Grant{Organisation: name, Granted: h.Granted, Hosts: len(b.Sessions)}
	}
	t := b.total(name)
	undistributed := a.Prepaid - a.Charged - t.held
	balance, wanted := t.free+undistributed, t.want
	target := share(balance, h.Want, wanted, int64(len(b.Sessions)))
	if more := min(target-h.free(), undistributed); more > 0 {
		b.change(name, h, func() { h.Granted += more })
	}
	return Grant{
		Organisation: name, Granted: h.Granted, Target: target + target/returnSlackDivisor,
		Balance: balance, Hosts: len(b.Sessions),
	}
}

// holders returns the other sessions with the most free tokens.
func (b *Book) holders(name string, self *Session) []Holder {
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

// compareHolders orders the richest first.
func compareHolders(a, b Holder) int {
	return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Session, b.Session))
}

// share returns the free tokens that a host should hold: what it wants and an
// even part of the surplus, or its part of a balance that is too small for all.
func share(balance, want, wanted, hosts int64) int64 {
	if balance <= 0 {
		return 0
	}
	if wanted > balance {
		return int64(float64(balance) * float64(want) / float64(wanted))
	}
	return want + (balance-wanted)/surplusDivisor/max(hosts, 1)
}
