package prepaid

import (
	"maps"
	"slices"
	"sync"
)

// ProvisionalCharge is the charge to a terminated session for what it can have spent if it
// opened its reserve. Tokens beyond the burst and beyond the ceilings that its witnesses
// state are refunded once so many witnesses have answered that the remaining ones cannot
// form the majority that would have recorded higher ceilings.
type ProvisionalCharge struct {
	Seq       uint64   `cbor:"1,keyasint"`
	Witnesses []uint64 `cbor:"2,keyasint"`
	// Answered lists the witnesses that have answered.
	Answered []uint64 `cbor:"3,keyasint,omitempty"`
	// ReserveTokens holds the tokens charged beyond the burst, by organisation.
	ReserveTokens map[string]int64 `cbor:"4,keyasint"`
	// BaseCeilings holds the charge without ReserveTokens, expressed as a ceiling.
	BaseCeilings map[string]int64 `cbor:"5,keyasint"`
	// Ceilings holds the highest stated ceilings.
	Ceilings map[string]int64 `cbor:"6,keyasint,omitempty"`
}

// CeilingQueries returns the queries for the witness with the given session.
func (b *Book) CeilingQueries(witness uint64) []CeilingQuery {
	var list []CeilingQuery
	for _, id := range slices.Sorted(maps.Keys(b.Provisional)) {
		d := b.Provisional[id]
		if slices.Contains(d.Witnesses, witness) && !slices.Contains(d.Answered, witness) {
			list = append(list, CeilingQuery{Session: id, Seq: d.Seq})
		}
	}
	return list
}

// ApplyCeilingAnswer applies the answer of a witness and returns the number of tokens
// refunded by it.
func (b *Book) ApplyCeilingAnswer(s CeilingAnswer) (recovered int64) {
	d := b.Provisional[s.Session]
	if d == nil || !slices.Contains(d.Witnesses, s.Witness) || slices.Contains(d.Answered, s.Witness) {
		return 0
	}
	d.Answered = append(d.Answered, s.Witness)
	for _, c := range s.Ceilings {
		if d.Ceilings == nil {
			d.Ceilings = map[string]int64{}
		}
		if highest, stated := d.Ceilings[c.Organisation]; !stated || c.Tokens > highest {
			d.Ceilings[c.Organisation] = c.Tokens
		}
	}
	if len(d.Witnesses)-len(d.Answered) >= majority(len(d.Witnesses)) {
		return 0
	}
	for name := range d.ReserveTokens {
		tokens := d.unspent(name)
		a := b.account(name)
		a.Charged -= tokens
		a.WrittenOff -= tokens
		recovered += tokens
	}
	delete(b.Provisional, s.Session)
	return recovered
}

// unspent returns the part of an organisation's ReserveTokens that no ceiling allowed.
func (d *ProvisionalCharge) unspent(name string) int64 {
	ceiling, stated := d.Ceilings[name]
	if !stated {
		return d.ReserveTokens[name]
	}
	return d.ReserveTokens[name] - min(max(ceiling-d.BaseCeilings[name], 0), d.ReserveTokens[name])
}

// Witness records the ceilings of other hosts whose reserves are open. It is safe for
// concurrent use.
type Witness struct {
	mu sync.Mutex
	// records holds the ceilings of each session since its last acknowledged report.
	records map[uint64]*ceilingRecord
	// fenced holds the sessions whose ceilings were queried; it records no more for them.
	fenced map[uint64]bool
}

type ceilingRecord struct {
	seq      uint64
	ceilings map[string]int64
}

// NewWitness returns a witness without records.
func NewWitness() *Witness {
	return &Witness{records: map[uint64]*ceilingRecord{}, fenced: map[uint64]bool{}}
}

// RecordCeilings records the ceilings of a session whose last acknowledged report is seq.
// It returns false if the session must not count them as recorded.
func (w *Witness) RecordCeilings(session, seq uint64, ceilings []Ceiling) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.records[session]
	if w.fenced[session] || n != nil && n.seq > seq {
		return false
	}
	if n == nil || n.seq < seq {
		n = &ceilingRecord{seq: seq, ceilings: map[string]int64{}}
		w.records[session] = n
	}
	for _, c := range ceilings {
		if highest, recorded := n.ceilings[c.Organisation]; !recorded || c.Tokens > highest {
			n.ceilings[c.Organisation] = c.Tokens
		}
	}
	return true
}

// Answer returns the ceilings recorded after the session's report q.Seq, or after the
// report before it, which may be the last whose acknowledgement the session received. It
// fences the session.
func (w *Witness) Answer(q CeilingQuery) []Ceiling {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fenced[q.Session] = true
	n := w.records[q.Session]
	if n == nil || n.seq+1 < q.Seq {
		return nil
	}
	list := make([]Ceiling, 0, len(n.ceilings))
	for _, name := range slices.Sorted(maps.Keys(n.ceilings)) {
		list = append(list, Ceiling{Organisation: name, Tokens: n.ceilings[name]})
	}
	return list
}
