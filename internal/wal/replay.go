package wal

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// replay reconstructs the content of a log from its batches.
type replay struct {
	Recovered
	largestIndex uint64 // largest entry index in the batches so far
}

func (r *replay) apply(payload []byte) error {
	var b Batch
	if err := codec.Unmarshal(payload, &b); err != nil {
		return eris.Wrap(ErrCorrupt, err.Error())
	}
	r.HasBatches = true
	r.HardState = b.HardState
	if b.Reset {
		r.Entries = nil
	}
	for _, e := range b.Entries {
		if err := r.putEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// putEntry stores e at its index and drops all entries after it. An index below the
// first known one replaces entries of removed segments; a snapshot covers all
// entries before it.
func (r *replay) putEntry(e replication.Entry) error {
	r.largestIndex = max(r.largestIndex, e.Index)
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		switch {
		case e.Index > first+uint64(len(r.Entries)):
			return eris.Wrapf(ErrCorrupt, "entry %d follows entry %d", e.Index, first+uint64(len(r.Entries))-1)
		case e.Index < first:
			r.Entries = nil
		default:
			r.Entries = r.Entries[:e.Index-first]
		}
	}
	r.Entries = append(r.Entries, e)
	return nil
}
