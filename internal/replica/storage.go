package replica

import (
	"math/rand/v2"
	"path/filepath"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/snapshot"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// storage is the durable state of a replica.
type storage struct {
	log       *wal.Log
	snapshots *snapshot.Store
	hard      replication.HardState // as last persisted
	latest    replication.Snapshot  // kept in memory for peers that need it
	previous  uint64                // index of the snapshot before the latest
	saving    chan error            // result of the save under way, or nil
	pending   replication.Snapshot  // what is being saved
}

// persist makes rd durable. On return without error all of it is synced.
func (s *storage) persist(rd replication.Ready) error {
	if !rd.MustSync {
		return nil
	}
	if rd.Snapshot != nil {
		return s.persistInstall(rd)
	}
	s.hard = rd.HardState
	return s.log.Append(wal.Batch{HardState: rd.HardState, Entries: rd.Entries})
}

// persistInstall replaces the log by a received snapshot. The hard state goes
// first, so that a snapshot never stands without one; the reset of the log goes
// last, so that a log never lacks what its snapshot should cover.
func (s *storage) persistInstall(rd replication.Ready) error {
	s.hard = rd.HardState
	if err := s.log.Append(wal.Batch{HardState: rd.HardState}); err != nil {
		return err
	}
	if err := s.save(*rd.Snapshot); err != nil {
		return err
	}
	return s.log.Append(wal.Batch{HardState: rd.HardState, Reset: true, Entries: rd.Entries})
}

func (s *storage) save(snap replication.Snapshot) error {
	if s.saving != nil {
		if err := s.finishSave(<-s.saving); err != nil {
			return err
		}
	}
	if err := s.snapshots.Save(snap); err != nil {
		return err
	}
	s.adopt(snap)
	return nil
}

// saveInBackground writes the snapshot beside the control goroutine, which must
// receive the result from saving and pass it to finishSave.
func (s *storage) saveInBackground(snap replication.Snapshot) {
	saving := make(chan error, 1)
	s.saving, s.pending = saving, snap
	go func() { saving <- s.snapshots.Save(snap) }()
}

func (s *storage) finishSave(err error) error {
	s.saving = nil
	if err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	s.adopt(s.pending)
	return nil
}

func (s *storage) adopt(snap replication.Snapshot) {
	s.previous = s.latest.Meta.Index
	s.latest, s.pending = snap, replication.Snapshot{}
}

// compact drops the log up to the previous snapshot, so that either of the two
// kept can be the base of recovery.
func (s *storage) compact() error { return s.log.Compact(s.previous) }

// fillChunk adds the payload of a chunk; false if the snapshot is superseded.
func (s *storage) fillChunk(c *replication.SnapshotChunk) bool {
	data := s.latest.Data
	if c.Meta.Index != s.latest.Meta.Index || c.Offset > uint64(len(data)) {
		return false
	}
	c.Size = uint64(len(data))
	c.Data = data[c.Offset:min(c.Offset+replication.SnapshotChunkBytes, c.Size)]
	return true
}

// close waits for a save under way; recovery does not depend on its result.
func (s *storage) close() error {
	if s.saving != nil {
		<-s.saving
	}
	return s.log.Close()
}

// recover opens the files and builds the core and the state machine from them.
func (r *Replica) recover() error {
	o := r.options
	snapshots, err := snapshot.Open(o.FS, filepath.Join(o.Directory, "snapshots"))
	if err != nil {
		return err
	}
	log, recovered, err := wal.Open(o.FS, filepath.Join(o.Directory, "log"), o.SegmentBytes)
	if err != nil {
		return err
	}
	r.store = &storage{log: log, snapshots: snapshots, hard: recovered.HardState}
	if recovered.TornBytes > 0 {
		klog.InfoS("cut off an unsynced tail of the log", "replica", o.ID, "bytes", recovered.TornBytes)
	}
	if err := r.recoverFrom(recovered); err != nil {
		_ = log.Close()
		return err
	}
	return nil
}

func (r *Replica) recoverFrom(recovered wal.Recovered) error {
	base, entries, err := r.store.chooseBase(recovered)
	if err != nil {
		return err
	}
	if base.Meta.Index == 0 {
		if base, err = r.beginEmpty(recovered.HasBatches); err != nil {
			return err
		}
	}
	if base.Meta.Index > 0 {
		if err := r.options.Machine.Restore(base.Data); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
	}
	r.store.latest = base
	r.snapshot = base.Meta.Index
	o := r.options
	r.node, err = replication.New(replication.Config{
		ID: o.ID, ElectionTicks: o.ElectionTicks, HeartbeatTicks: o.HeartbeatTicks, FastInitialElection: o.EagerStart,
		Random:    rand.New(rand.NewPCG(o.Seed, o.ID)),
		HardState: r.store.hard, Snapshot: base.Meta, Entries: entries, Disabled: o.mechanisms,
	})
	return err
}

// chooseBase picks the latest snapshot that the log continues without a gap,
// and the entries after it. A damaged latest one is passed over if the log
// still reaches back to the one before it.
func (s *storage) chooseBase(recovered wal.Recovered) (replication.Snapshot, []replication.Entry, error) {
	intact, damage := s.snapshots.Load()
	if damage != nil && (!eris.Is(damage, snapshot.ErrCorrupt) || len(intact) == 0) {
		return replication.Snapshot{}, nil, damage
	}
	if len(intact) == 0 {
		if len(recovered.Entries) > 0 {
			return replication.Snapshot{}, nil, eris.New("the log has entries but the snapshot before them is missing")
		}
		return replication.Snapshot{}, nil, nil
	}
	if !recovered.HasBatches {
		return replication.Snapshot{}, nil, eris.New("there is a snapshot but the log is missing")
	}
	base := intact[0]
	entries, follows := entriesAfter(base.Meta, recovered.Entries)
	if damage != nil {
		if !follows || len(entries) == 0 {
			return replication.Snapshot{}, nil, damage
		}
		klog.ErrorS(damage, "recovering from the snapshot before a damaged one", "index", base.Meta.Index)
	}
	if follows {
		return base, entries, nil
	}
	if len(recovered.Entries) > 0 && recovered.Entries[0].Index > base.Meta.Index {
		return replication.Snapshot{}, nil, eris.Errorf("the log begins at entry %d but the snapshot ends at %d",
			recovered.Entries[0].Index, base.Meta.Index)
	}
	return base, nil, s.log.Append(wal.Batch{HardState: s.hard, Reset: true})
}

// entriesAfter returns the entries after the snapshot; follows is false if the
// log does not hold the snapshot's position, as after a crash between the
// install of a snapshot and the reset of the log.
func entriesAfter(meta replication.SnapshotMeta, entries []replication.Entry) (rest []replication.Entry, follows bool) {
	if len(entries) == 0 {
		return nil, true
	}
	first, last := entries[0].Index, entries[len(entries)-1].Index
	switch {
	case first == meta.Index+1:
		return entries, true
	case first > meta.Index || last < meta.Index:
		return nil, false
	}
	at := meta.Index - first
	if entries[at].Term != meta.Term {
		return nil, false
	}
	return entries[at+1:], true
}

// beginEmpty gives an empty disk its first state. Every replica of a new group
// begins from the same snapshot at index 1, so a replica that joins later
// always receives one.
func (r *Replica) beginEmpty(found bool) (replication.Snapshot, error) {
	o := r.options
	if len(o.Peers) == 0 {
		return replication.Snapshot{}, nil
	}
	if !o.Bootstrap {
		return replication.Snapshot{}, eris.Errorf("the data folder of replica %d is empty: "+
			"a replica that lost its disk must join under a new id (without bootstrap, peers must be empty)", o.ID)
	}
	if found && r.store.hard.Term > 1 {
		return replication.Snapshot{}, eris.New("the log was used but its snapshot is missing")
	}
	data, err := o.Machine.Snapshot()
	if err != nil {
		return replication.Snapshot{}, eris.Wrap(err, "snapshot of the empty state")
	}
	first := replication.Snapshot{
		Meta: replication.SnapshotMeta{Index: 1, Term: 1, Membership: replication.NewMembership(o.Peers)},
		Data: data,
	}
	r.store.hard = replication.HardState{Term: 1, Commit: 1}
	if err := r.store.log.Append(wal.Batch{HardState: r.store.hard}); err != nil {
		return replication.Snapshot{}, err
	}
	return first, r.store.snapshots.Save(first)
}
