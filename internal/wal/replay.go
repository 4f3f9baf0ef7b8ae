package wal

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/replication"
)

// replay rebuilds the state of a log from its batches.
type replay struct {
	Recovered
	largest uint64 // largest entry index seen
}

func (r *replay) apply(payload []byte) error {
	var b Batch
	if err := codec.Unmarshal(payload, &b); err != nil {
		return eris.Wrap(ErrCorrupt, err.Error())
	}
	r.Found = true
	r.HardState = b.HardState
	if b.Reset {
		r.Entries = nil
	}
	for _, e := range b.Entries {
		if err := r.place(e); err != nil {
			return err
		}
	}
	return nil
}

// place puts e at its index and drops what followed it. An index before the
// first one known replaces entries of a removed segment: a snapshot covers all
// before it.
func (r *replay) place(e replication.Entry) error {
	r.largest = max(r.largest, e.Index)
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		switch {
		case e.Index > first+uint64(len(r.Entries)):
			return eris.Wrapf(ErrCorrupt, "entry %d after entry %d", e.Index, first+uint64(len(r.Entries))-1)
		case e.Index < first:
			r.Entries = nil
		default:
			r.Entries = r.Entries[:e.Index-first]
		}
	}
	r.Entries = append(r.Entries, e)
	return nil
}
