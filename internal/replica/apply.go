package replica

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// apply feeds the state machine and answers those who wait for it.
func (r *Replica) apply(rd replication.Ready) error {
	if rd.Snapshot != nil {
		if err := r.options.Machine.Restore(rd.Snapshot.Data); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
		r.snapshot = rd.Snapshot.Meta.Index
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	for _, s := range rd.Reads {
		if q := r.reads[s.ID]; q != nil {
			delete(r.reads, s.ID)
			q.index = s.Index
			r.applying = append(r.applying, q)
		}
	}
	r.finishReads(rd)
	return nil
}

func (r *Replica) applyEntry(e replication.Entry) {
	var result any
	if e.Kind == replication.EntryCommand {
		result = r.options.Machine.Apply(e.Index, e.Data)
	}
	if p := r.proposals[e.Index]; p != nil {
		delete(r.proposals, e.Index)
		p.finish(r, e.Term, result)
	}
	if c := r.committed[e.Index]; c != nil {
		delete(r.committed, e.Index)
		c.finish(r, e.Term)
	}
	if r.led.term != 0 && e.Term == r.led.term && !r.led.announced {
		r.led.announced = true
		r.announce(true)
	}
}

// finishReads answers the confirmed reads whose index is applied.
func (r *Replica) finishReads(rd replication.Ready) {
	applied := r.node.Applied()
	if n := len(rd.Committed); n > 0 {
		applied = rd.Committed[n-1].Index
	}
	kept := r.applying[:0]
	for _, q := range r.applying {
		if q.index > applied {
			kept = append(kept, q)
			continue
		}
		q.finish()
	}
	r.applying = kept
}

// maybeSnapshot takes a snapshot once enough entries have been applied. It is
// written in the background, and the log is compacted when it is durable.
func (r *Replica) maybeSnapshot() error {
	applied := r.node.Applied()
	if r.store.saving != nil || applied < r.snapshot+r.options.SnapshotEntries {
		return nil
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	r.snapshot = applied
	r.store.saveInBackground(replication.Snapshot{Meta: r.node.SnapshotMeta(applied), Data: data})
	return nil
}

// finishSnapshot compacts the log after a save.
func (r *Replica) finishSnapshot(result error) {
	err := r.store.finishSave(result)
	if err == nil {
		r.node.Compact(r.store.latest.Meta, r.options.SnapshotEntries/2)
		err = r.store.compact()
	}
	if err != nil && r.failure == nil {
		r.fail(err)
	}
}

// followLeadership notices the gain and the loss of leadership.
func (r *Replica) followLeadership() {
	term, role := r.node.Leadership()
	leads := role == replication.Leader
	if r.led.term != 0 && (!leads || term != r.led.term) {
		r.loseLeadership()
		r.failAll(ErrUnknown)
	}
	if leads && r.led.term == 0 {
		r.led = ledTerm{term: term}
	}
}

func (r *Replica) loseLeadership() {
	announced := r.led.announced
	term := r.led.term
	r.led = ledTerm{}
	if announced && r.options.OnLeadership != nil {
		r.options.OnLeadership(false, term)
	}
}

func (r *Replica) announce(leader bool) {
	if r.options.OnLeadership != nil {
		r.options.OnLeadership(leader, r.led.term)
	}
}
