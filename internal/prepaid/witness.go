package prepaid

import (
	"maps"
	"slices"
	"sync"
)

// DoubtfulSession is a dead session that was charged with what it can have spent if
// it opened its reserve. What is beyond its burst and beyond the ceilings that its
// witnesses state comes back when so many have spoken that no majority can have noted
// other ones.
type DoubtfulSession struct {
	Seq       uint64   `cbor:"1,keyasint"`
	Witnesses []uint64 `cbor:"2,keyasint"`
	// Heard are the witnesses that have spoken.
	Heard []uint64 `cbor:"3,keyasint,omitempty"`
	// Tokens holds the part beyond the burst by organisation.
	Tokens map[string]int64 `cbor:"4,keyasint"`
	// Closed holds, in the measure of a ceiling, what was charged without that part.
	Closed map[string]int64 `cbor:"5,keyasint"`
	// Ceilings holds the highest that were stated.
	Ceilings map[string]int64 `cbor:"6,keyasint,omitempty"`
}

// Questions returns what the witness with a session is to be asked.
func (b *Book) Questions(witness uint64) []Question {
	var list []Question
	for _, id := range slices.Sorted(maps.Keys(b.Doubtful)) {
		d := b.Doubtful[id]
		if slices.Contains(d.Witnesses, witness) && !slices.Contains(d.Heard, witness) {
			list = append(list, Question{Session: id, Seq: d.Seq})
		}
	}
	return list
}

// Hear takes in the word of a witness. It returns the tokens that came back with it.
func (b *Book) Hear(s Statement) (recovered int64) {
	d := b.Doubtful[s.Session]
	if d == nil || !slices.Contains(d.Witnesses, s.Witness) || slices.Contains(d.Heard, s.Witness) {
		return 0
	}
	d.Heard = append(d.Heard, s.Witness)
	for _, c := range s.Ceilings {
		if d.Ceilings == nil {
			d.Ceilings = map[string]int64{}
		}
		if highest, stated := d.Ceilings[c.Organisation]; !stated || c.Tokens > highest {
			d.Ceilings[c.Organisation] = c.Tokens
		}
	}
	if len(d.Witnesses)-len(d.Heard) >= majority(len(d.Witnesses)) {
		return 0
	}
	for name := range d.Tokens {
		tokens := d.unspent(name)
		a := b.account(name)
		a.Charged -= tokens
		a.WrittenOff -= tokens
		recovered += tokens
	}
	delete(b.Doubtful, s.Session)
	return recovered
}

// unspent is the part of an organisation's doubtful tokens that no ceiling allowed.
func (d *DoubtfulSession) unspent(name string) int64 {
	ceiling, stated := d.Ceilings[name]
	if !stated {
		return d.Tokens[name]
	}
	return d.Tokens[name] - min(max(ceiling-d.Closed[name], 0), d.Tokens[name])
}

// Witness notes the ceilings of other hosts whose reserves are open. It is safe for
// concurrent use.
type Witness struct {
	mu sync.Mutex
	// notes holds what each session has noted since its last acknowledged report.
	notes map[uint64]*notes
	// fenced are the sessions that were spoken of; they can't note anything any more.
	fenced map[uint64]bool
}

type notes struct {
	seq      uint64
	ceilings map[string]int64
}

// NewWitness returns a witness that has noted nothing.
func NewWitness() *Witness {
	return &Witness{notes: map[uint64]*notes{}, fenced: map[uint64]bool{}}
}

// Note notes the ceilings of a session whose last acknowledged report is seq. False
// means that they must not count.
func (w *Witness) Note(session, seq uint64, ceilings []Ceiling) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.notes[session]
	if w.fenced[session] || n != nil && n.seq > seq {
		return false
	}
	if n == nil || n.seq < seq {
		n = &notes{seq: seq, ceilings: map[string]int64{}}
		w.notes[session] = n
	}
	for _, c := range ceilings {
		if highest, noted := n.ceilings[c.Organisation]; !noted || c.Tokens > highest {
			n.ceilings[c.Organisation] = c.Tokens
		}
	}
	return true
}

// Answer returns the ceilings that were noted after the session's report seq, or after
// the one before, whose acknowledgement it may have got last.
func (w *Witness) Answer(q Question) []Ceiling {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced[q.Session] = true
	n := w.notes[q.Session]
	if n == nil || n.seq+1 < q.Seq {
		return nil
	}
	list := make([]Ceiling, 0, len(n.ceilings))
	for _, name := range slices.Sorted(maps.Keys(n.ceilings)) {
		list = append(list, Ceiling{Organisation: name, Tokens: n.ceilings[name]})
	}
	return list
}
