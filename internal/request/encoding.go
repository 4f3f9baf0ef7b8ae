package request

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// encodedRecord is a closed record in encoded form. Most records are closed; in this form
// they take less memory, and a snapshot copies them without encoding.
type encodedRecord struct {
	data     []byte
	sequence uint64
	closedMS int64
}

// encodeRecord encodes a record. It panics on an error, as a Record can always be encoded.
func encodeRecord(r *Record) encodedRecord {
	data, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode request %s: %v", r.ID, err))
	}
	return encodedRecord{data, r.CloseSequence, r.ClosedMS}
}

// decode decodes a record that encodeRecord encoded.
func (e encodedRecord) decode() *Record {
	r := &Record{}
	if err := codec.Unmarshal(e.data, r); err != nil {
		panic(fmt.Sprintf("decode request: %v", err))
	}
	return r
}

// EncodeSnapshot returns all records in encoded form, ordered by id.
func (t *Table) EncodeSnapshot() [][]byte {
	ids := t.ids()
	encoded := make([][]byte, len(ids))
	for i, id := range ids {
		if r, ok := t.open[id]; ok {
			encoded[i] = encodeRecord(r).data
			continue
		}
		encoded[i] = t.closed[id].data
	}
	return encoded
}

// LoadSnapshot fills an empty table from the encoded records and the sequence number of a
// snapshot. It returns the open records, ordered by id.
func (t *Table) LoadSnapshot(encoded [][]byte, sequence uint64) ([]*Record, error) {
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
		t.recordCounts[r.retentionClass()]++
		t.putClosed(r, encodedRecord{data[r.ID], r.CloseSequence, r.ClosedMS})
	}
	slices.SortFunc(orphans, compareOrphans)
	for _, r := range orphans {
		t.orphans.push(orphan{r.ID, r.Attempt, r.OrphanedMS})
	}
	return open, nil
}
