package replica

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// apply applies the snapshot and the committed entries of rd to the state machine
// and responds to the requests that wait for them.
func (r *Replica) apply(rd replication.Ready) error {
	if rd.Snapshot != nil {
		if err := r.options.Machine.Restore(rd.Snapshot.Data); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
		r.snapshotIndex = rd.Snapshot.Meta.Index
	}
	for _, e := range rd.Committed {
		r.applyEntry(e)
	}
	for _, s := range rd.Reads {
		if q := r.reads[s.ID]; q != nil {
			delete(r.reads, s.ID)
			q.point.Index = s.Index
			r.confirmedReads = append(r.confirmedReads, q)
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
	if c := r.proposedChanges[e.Index]; c != nil {
		delete(r.proposedChanges, e.Index)
		c.finish(r, e.Term)
	}
	if r.leadership.term != 0 && e.Term == r.leadership.term && !r.leadership.notified {
		r.leadership.notified = true
		r.notifyLeadership(true)
	}
}

// finishReads responds to the confirmed reads whose index is applied.
func (r *Replica) finishReads(rd replication.Ready) {
	applied := r.node.Applied()
	if n := len(rd.Committed); n > 0 {
		applied = rd.Committed[n-1].Index
	}
	kept := r.confirmedReads[:0]
	for _, q := range r.confirmedReads {
		if q.point.Index > applied {
			kept = append(kept, q)
			continue
		}
		q.finish()
	}
	r.confirmedReads = kept
}

// maybeSnapshot takes a snapshot once SnapshotEntries entries have been applied
// since the last one. It is written in the background; the log is compacted once
// the snapshot is durable.
func (r *Replica) maybeSnapshot() error {
	applied := r.node.Applied()
	if r.store.saveResult != nil || applied < r.snapshotIndex+r.options.SnapshotEntries {
		return nil
	}
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return eris.Wrap(err, "take snapshot")
	}
	r.snapshotIndex = applied
	r.store.saveInBackground(replication.Snapshot{Meta: r.node.SnapshotMeta(applied), Data: data})
	return nil
}

// finishSnapshot compacts the log after a snapshot was saved.
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

// trackLeadership detects that this replica has become leader or has lost
// leadership.
func (r *Replica) trackLeadership() {
	term, role := r.node.Leadership()
	leads := role == replication.Leader
	if r.leadership.term != 0 && (!leads || term != r.leadership.term) {
		r.clearLeadership()
		r.failRequests(ErrOutcomeUnknown)
	}
	if leads && r.leadership.term == 0 {
		r.leadership = leadership{term: term}
	}
}

func (r *Replica) clearLeadership() {
	notified := r.leadership.notified
	term := r.leadership.term
	r.leadership = leadership{}
	if notified && r.options.OnLeadership != nil {
		r.options.OnLeadership(false, term)
	}
}

func (r *Replica) notifyLeadership(leader bool) {
	if r.options.OnLeadership != nil {
		r.options.OnLeadership(leader, r.leadership.term)
	}
}
