package prepaid

import (
	"maps"
	"slices"
	"sync"
)

// DoubtfulSession is a dead session that was charged with what it can have spent if
// it opened its reserve. The part beyond its burst comes back when so many witnesses
// deny the opening that no majority can have noted it.
type DoubtfulSession struct {
	Seq       uint64   `cbor:"1,keyasint"`
	Witnesses []uint64 `cbor:"2,keyasint"`
	Denied    []uint64 `cbor:"3,keyasint,omitempty"`
	// Tokens holds the part beyond the burst by organisation.
	Tokens map[string]int64 `cbor:"4,keyasint"`
}

// Questions returns what the witness with a session is to be asked.
func (b *Book) Questions(witness uint64) []Question {
	var list []Question
	for _, id := range slices.Sorted(maps.Keys(b.Doubtful)) {
		d := b.Doubtful[id]
		if slices.Contains(d.Witnesses, witness) && !slices.Contains(d.Denied, witness) {
			list = append(list, Question{Session: id, Seq: d.Seq})
		}
	}
	return list
}

// Deny takes in the word of a witness. It returns the tokens that came back with it.
func (b *Book) Deny(denial Denial) (recovered int64) {
	d := b.Doubtful[denial.Session]
	if d == nil || !slices.Contains(d.Witnesses, denial.Witness) || slices.Contains(d.Denied, denial.Witness) {
		return 0
	}
	d.Denied = append(d.Denied, denial.Witness)
	if len(d.Witnesses)-len(d.Denied) >= majority(len(d.Witnesses)) {
		return 0
	}
	for name, tokens := range d.Tokens {
		a := b.account(name)
		a.Charged -= tokens
		a.WrittenOff -= tokens
		recovered += tokens
	}
	delete(b.Doubtful, denial.Session)
	return recovered
}

// Witness notes the openings of other hosts' reserves. It is safe for concurrent use.
type Witness struct {
	mu sync.Mutex
	// opened holds the last acknowledged report of each session at its latest opening.
	opened map[uint64]uint64
	// fenced are the sessions that were denied; they can't open their reserve any more.
	fenced map[uint64]bool
}

// NewWitness returns a witness that has noted nothing.
func NewWitness() *Witness {
	return &Witness{opened: map[uint64]uint64{}, fenced: map[uint64]bool{}}
}

// Note notes that a session, whose last acknowledged report is seq, opens its
// reserve. False means that it must not.
func (w *Witness) Note(session, seq uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced[session] {
		return false
	}
	w.opened[session] = max(w.opened[session], seq)
	return true
}

// Answer tells whether the witness can deny that the session opened its reserve
// after its report seq, or after the one before, whose acknowledgement it may have
// got last.
func (w *Witness) Answer(q Question) (denied bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seq, opened := w.opened[q.Session]; opened && seq+1 >= q.Seq {
		return false
	}
	w.fenced[q.Session] = true
	return true
}

// ReserveOpening tells what a host must do before it may open its reserve.
type ReserveOpening struct {
	Session uint64
	// Seq is the last acknowledged report.
	Seq uint64
	// Lists are the lists of witnesses; a majority of each must note it.
	Lists [][]uint64
}

// Due returns the opening of the reserve that is due, or nil: the host has been
// without an acknowledged report for OpenDelay.
func (a *Allowance) Due(now int64) *ReserveOpening {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.opened || a.acked == nil || now-a.acked.Clock <= int64(OpenDelay) {
		return nil
	}
	return &ReserveOpening{Session: a.session, Seq: a.acked.Seq, Lists: a.witnessLists()}
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

// Open opens the reserve after the witnesses have noted it. Noted holds those that did.
// A report that was made meanwhile has a say too.
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
	return true
}
