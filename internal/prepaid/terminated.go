package prepaid

import "time"

// TerminatedCharge is what the session of a terminated process held and was charged for.
type TerminatedCharge struct {
	Session   uint64   `cbor:"1,keyasint"`
	Seq       uint64   `cbor:"2,keyasint"`
	Witnesses []uint64 `cbor:"3,keyasint,omitempty"`
	// Made is not after the making of the last report, and Start not before the end of the
	// process.
	Made  ClockReading `cbor:"4,keyasint"`
	Start ClockReading `cbor:"5,keyasint"`
	// Parts holds the charge by organisation.
	Parts map[string]TerminatedHolding `cbor:"6,keyasint"`
}

// TerminatedHolding is the part of one organisation in a TerminatedCharge.
type TerminatedHolding struct {
	// Held is the number of tokens held, and Base the most that the process can have spent
	// without its reserve. Rate, in tokens per second, bounds what it spent of the reserve.
	Held int64 `cbor:"1,keyasint"`
	Base int64 `cbor:"2,keyasint"`
	Rate int64 `cbor:"3,keyasint,omitempty"`
	// BaseCeiling is Base expressed as a ceiling.
	BaseCeiling int64 `cbor:"4,keyasint,omitempty"`
}

// newSession returns the session of a host's new process. old is its previous one, or nil.
func newSession(o SessionOpening, old *Session) *Session {
	s := &Session{ID: o.Session, BootTime: o.BootTime, WallTime: o.WallTime, ArrivalTime: o.ArrivalTime, Holdings: map[string]*Holding{}}
	if old != nil && old.Arrived.Clock != o.Arrival.Clock {
		s.BeforeChange = old.reportTimes(true)
	}
	return s
}

// terminate returns the charge for all that the session holds; o opens the next one.
func (s *Session) terminate(o SessionOpening) *TerminatedCharge {
	c := &TerminatedCharge{
		Session: s.ID, Seq: s.Seq, Witnesses: s.Witnesses, Made: s.Made, Start: o.start(), Parts: map[string]TerminatedHolding{},
	}
	for name, h := range s.Holdings {
		base := min(h.held(), h.Used+h.Reserved+h.Burst+h.receivedSinceReport())
		c.Parts[name] = TerminatedHolding{
			Held: h.held(), Base: base, Rate: h.Rate, BaseCeiling: base + h.sentTotal() - max(h.Credited, h.Received),
		}
	}
	return c
}

// limitCharge reduces a charge to what the process can have spent within gap after its last
// report, and returns the number of tokens refunded.
func (b *Book) limitCharge(c *TerminatedCharge, gap time.Duration) (refunded int64) {
	provisional := &ProvisionalCharge{
		Seq: c.Seq, Witnesses: c.Witnesses, ReserveTokens: map[string]int64{}, BaseCeilings: map[string]int64{},
	}
	reserve := int64(0)
	for name, part := range c.Parts {
		charged := part.Held
		if gap <= FullReserveDelay {
			charged = min(charged, part.Base+part.maxReserveSpend(gap))
		}
		b.refund(name, part.Held-charged)
		refunded += part.Held - charged
		provisional.ReserveTokens[name], provisional.BaseCeilings[name] = charged-part.Base, part.BaseCeiling
		reserve += charged - part.Base
	}
	if gap <= UnwitnessedReserveDelay && reserve > 0 && len(c.Witnesses) > 0 {
		if b.Provisional == nil {
			b.Provisional = map[uint64]*ProvisionalCharge{}
		}
		b.Provisional[c.Session] = provisional
	}
	return refunded
}

// maxReserveSpend returns the most that the process committed beyond Base within d after its
// last report if it opened its reserve.
func (h *TerminatedHolding) maxReserveSpend(d time.Duration) int64 {
	return int64(float64(h.Rate) * max(d-ReserveOpenDelay, 0).Seconds())
}

// refund takes back a part of what was charged for tokens that may have been used.
func (b *Book) refund(name string, tokens int64) {
	a := b.account(name)
	a.Charged -= tokens
	a.WrittenOff -= tokens
}

// awaitMeasurement keeps a charge that may be reduced once the clocks of the two leaders are
// related.
func (b *Book) awaitMeasurement(host string, c *TerminatedCharge) {
	if c.Made.Clock == 0 || c.Start.Clock == 0 {
		return
	}
	if b.Unmeasured == nil {
		b.Unmeasured = map[string]*TerminatedCharge{}
	}
	b.Unmeasured[host] = c
}

// SettleUnmeasured reduces the charges whose gaps have become known, and returns the number
// of tokens refunded.
func (b *Book) SettleUnmeasured() (refunded int64) {
	for host, c := range b.Unmeasured {
		if gap, known := b.between(c.Made, c.Start); known {
			refunded += b.limitCharge(c, gap)
			delete(b.Unmeasured, host)
		}
	}
	return refunded
}
