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
		p := b.Provisional[id]
		if slices.Contains(p.Witnesses, witness) && !slices.Contains(p.Answered, witness) {
			list = append(list, CeilingQuery{Session: id, Seq: p.Seq})
		}
	}
	return list
}

// ApplyCeilingAnswer applies the answer of a witness and returns the number of tokens
// refunded by it.
func (b *Book) ApplyCeilingAnswer(answer CeilingAnswer) (refunded int64) {
	p := b.Provisional[answer.Session]
	if p == nil || !slices.Contains(p.Witnesses, answer.Witness) || slices.Contains(p.Answered, answer.Witness) {
		return 0
	}
	p.Answered = append(p.Answered, answer.Witness)
	for _, c := range answer.Ceilings {
		if p.Ceilings == nil {
			p.Ceilings = map[string]int64{}
		}
		if highest, stated := p.Ceilings[c.Organisation]; !stated || c.Tokens > highest {
			p.Ceilings[c.Organisation] = c.Tokens
		}
	}
	if len(p.Witnesses)-len(p.Answered) >= majority(len(p.Witnesses)) {
		return 0
	}
	for name := range p.ReserveTokens {
		tokens := p.unspent(name)
		a := b.account(name)
		a.Charged -= tokens
		a.WrittenOff -= tokens
		refunded += tokens
	}
	delete(b.Provisional, answer.Session)
	return refunded
}

// unspent returns the part of an organisation's ReserveTokens that no ceiling allowed.
func (p *ProvisionalCharge) unspent(name string) int64 {
	ceiling, stated := p.Ceilings[name]
	if !stated {
		return p.ReserveTokens[name]
	}
	return p.ReserveTokens[name] - min(max(ceiling-p.BaseCeilings[name], 0), p.ReserveTokens[name])
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
	record := w.records[session]
	if w.fenced[session] || record != nil && record.seq > seq {
		return false
	}
	if record == nil || record.seq < seq {
		record = &ceilingRecord{seq: seq, ceilings: map[string]int64{}}
		w.records[session] = record
	}
	for _, c := range ceilings {
		if highest, recorded := record.ceilings[c.Organisation]; !recorded || c.Tokens > highest {
			record.ceilings[c.Organisation] = c.Tokens
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
	record := w.records[q.Session]
	if record == nil || record.seq+1 < q.Seq {
		return nil
	}
	list := make([]Ceiling, 0, len(record.ceilings))
	for _, name := range slices.Sorted(maps.Keys(record.ceilings)) {
		list = append(list, Ceiling{Organisation: name, Tokens: record.ceilings[name]})
	}
	return list
}
