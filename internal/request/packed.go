package request

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// packed is a closed record in its encoded form. Closed records are by far the
// most; packed they take less memory, and a snapshot copies them as they are.
type packed struct {
	data     []byte
	sequence uint64
	closedMS int64
}

// pack encodes a record. The encoding of a Record cannot fail.
func pack(r *Record) packed {
	data, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode request %s: %v", r.ID, err))
	}
	return packed{data, r.CloseSequence, r.ClosedMS}
}

// unpack decodes a record that pack encoded.
func (p packed) unpack() *Record {
	r := &Record{}
	if err := codec.Unmarshal(p.data, r); err != nil {
		panic(fmt.Sprintf("decode request: %v", err))
	}
	return r
}

// Encoded returns all records, encoded, in the order of their ids.
func (t *Table) Encoded() [][]byte {
	ids := t.ids()
	encoded := make([][]byte, len(ids))
	for i, id := range ids {
		if r, ok := t.open[id]; ok {
			encoded[i] = pack(r).data
			continue
		}
		encoded[i] = t.closed[id].data
	}
	return encoded
}

// Load fills an empty table from the encoded records of a snapshot and its
// sequence number. It returns the open records in the order of their ids.
func (t *Table) Load(encoded [][]byte, sequence uint64) ([]*Record, error) {
	t.sequence = sequence
	var open, closed, orphans []*Record
	data := make(map[string][]byte, len(encoded))
	for _, raw := range encoded {
		r := &Record{}
		if err := codec.Unmarshal(raw, r); err != nil {
			return nil, err
		}
		if r.State != Open {
			data[r.ID] = raw
			closed = append(closed, r)
			continue
		}
		t.Add(r)
		open = append(open, r)
		if r.Orphaned {
			orphans = append(orphans, r)
		}
	}
	slices.SortFunc(closed, func(a, b *Record) int { return cmp.Compare(a.CloseSequence, b.CloseSequence) })
	for _, r := range closed {
		t.count[r.retention()]++
		t.keep(r, packed{data[r.ID], r.CloseSequence, r.ClosedMS})
	}
	slices.SortFunc(orphans, compareOrphans)
	for _, r := range orphans {
		t.orphans.push(orphan{r.ID, r.Attempt, r.OrphanedMS})
	}
	return open, nil
}
