package replica

import (
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/snapshot"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// storage holds the write-ahead log and the snapshots of a replica.
type storage struct {
	log            *wal.Log
	snapshots      *snapshot.Store
	hardState      replication.HardState // last persisted hard state
	latest         replication.Snapshot  // kept in memory to be sent to lagging peers
	previousIndex  uint64                // index of the snapshot before the latest
	saveResult     chan error            // result of the save in progress; nil if there is none
	savingSnapshot replication.Snapshot  // snapshot of the save in progress
}

// slowPersist is the time from which a write to the log is logged. The usual election timeout is
// 600 ms, and others wait for a replica that writes.
const slowPersist = 250 * time.Millisecond

// persist makes rd durable. When it returns without error, all of rd is synced.
func (s *storage) persist(rd replication.Ready) error {
	if !rd.MustSync {
		return nil
	}
	started := time.Now()
	defer func() {
		if d := time.Since(started); d > slowPersist {
			klog.InfoS("slow write to the log", "after_ms", d.Milliseconds(), "entries", len(rd.Entries))
		}
	}()
	if rd.Snapshot != nil {
		return s.installSnapshot(rd)
	}
	s.hardState = rd.HardState
	return s.log.Append(wal.Batch{HardState: rd.HardState, Entries: rd.Entries})
}

// installSnapshot replaces the log by a received snapshot. The hard state is written
// first, so that a snapshot never exists without one. The log is reset last, so that
// entries are never dropped before the snapshot that covers them is durable.
func (s *storage) installSnapshot(rd replication.Ready) error {
	s.hardState = rd.HardState
	if err := s.log.Append(wal.Batch{HardState: rd.HardState}); err != nil {
		return err
	}
	if err := s.save(*rd.Snapshot); err != nil {
		return err
	}
	return s.log.Append(wal.Batch{HardState: rd.HardState, Reset: true, Entries: rd.Entries})
}

func (s *storage) save(snap replication.Snapshot) error {
	if s.saveResult != nil {
		if err := s.finishSave(<-s.saveResult); err != nil {
			return err
		}
	}
	if err := s.snapshots.Save(snap); err != nil {
		return err
	}
	s.setLatest(snap)
	return nil
}

// saveInBackground writes the snapshot in a goroutine of its own. The event loop
// must receive the result from saveResult and pass it to finishSave.
func (s *storage) saveInBackground(snap replication.Snapshot) {
	result := make(chan error, 1)
	s.saveResult, s.savingSnapshot = result, snap
	go func() { result <- s.snapshots.Save(snap) }()
}

func (s *storage) finishSave(err error) error {
	s.saveResult = nil
	if err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	s.setLatest(s.savingSnapshot)
	return nil
}

func (s *storage) setLatest(snap replication.Snapshot) {
	s.previousIndex = s.latest.Meta.Index
	s.latest, s.savingSnapshot = snap, replication.Snapshot{}
}

// compact truncates the log up to the previous snapshot, so that recovery can start
// from either of the two snapshots that are kept.
func (s *storage) compact() error { return s.log.Compact(s.previousIndex) }

// fillChunk sets the data of a snapshot chunk. It returns false if the snapshot has
// been superseded.
func (s *storage) fillChunk(c *replication.SnapshotChunk) bool {
	data := s.latest.Data
	if c.Meta.Index != s.latest.Meta.Index || c.Offset > uint64(len(data)) {
		return false
	}
	c.Size = uint64(len(data))
	c.Data = data[c.Offset:min(c.Offset+replication.SnapshotChunkBytes, c.Size)]
	return true
}

// close waits for a save in progress and closes the log. The result of the save is
// ignored because recovery does not depend on it.
func (s *storage) close() error {
	if s.saveResult != nil {
		<-s.saveResult
	}
	return s.log.Close()
}

// recover opens the log and the snapshots, and restores the Raft node and the state
// machine from them.
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
	r.store = &storage{log: log, snapshots: snapshots, hardState: recovered.HardState}
	if recovered.TornBytes > 0 {
		klog.InfoS("discarded the unsynced tail of the log", "replica", o.ID, "bytes", recovered.TornBytes)
	}
	if err := r.recoverFrom(recovered); err != nil {
		_ = log.Close()
		return err
	}
	return nil
}

func (r *Replica) recoverFrom(recovered wal.Recovered) error {
	base, entries, err := r.store.selectBase(recovered)
	if err != nil {
		return err
	}
	if base.Meta.Index == 0 {
		if base, err = r.bootstrap(recovered.HasBatches); err != nil {
			return err
		}
	}
	if base.Meta.Index > 0 {
		if err := r.options.Machine.Restore(base.Data); err != nil {
			return eris.Wrap(err, "restore snapshot")
		}
	}
	r.store.latest = base
	r.snapshotIndex = base.Meta.Index
	o := r.options
	r.node, err = replication.New(replication.Config{
		ID: o.ID, ElectionTicks: o.ElectionTicks, HeartbeatTicks: o.HeartbeatTicks, FastInitialElection: o.FastInitialElection,
		Random:    rand.New(rand.NewPCG(o.Seed, o.ID)),
		HardState: r.store.hardState, Snapshot: base.Meta, Entries: entries, DisabledSafeguards: o.disabledSafeguards,
	})
	return err
}

// selectBase returns the latest snapshot that the log continues without a gap, and
// the entries after it. If the latest snapshot is corrupt, it returns the previous
// one, provided that the log still reaches back to it.
func (s *storage) selectBase(recovered wal.Recovered) (replication.Snapshot, []replication.Entry, error) {
	intact, loadErr := s.snapshots.Load()
	if loadErr != nil && (!eris.Is(loadErr, snapshot.ErrCorrupt) || len(intact) == 0) {
		return replication.Snapshot{}, nil, loadErr
	}
	if len(intact) == 0 {
		if len(recovered.Entries) > 0 {
			return replication.Snapshot{}, nil, eris.New("the log has entries but the snapshot that precedes them is missing")
		}
		return replication.Snapshot{}, nil, nil
	}
	if !recovered.HasBatches {
		return replication.Snapshot{}, nil, eris.New("a snapshot exists but the log is missing")
	}
	base := intact[0]
	entries, continuous := entriesAfter(base.Meta, recovered.Entries)
	if loadErr != nil {
		if !continuous || len(entries) == 0 {
			return replication.Snapshot{}, nil, loadErr
		}
		klog.ErrorS(loadErr, "latest snapshot is corrupt; recovering from the previous one", "index", base.Meta.Index)
	}
	if continuous {
		return base, entries, nil
	}
	if len(recovered.Entries) > 0 && recovered.Entries[0].Index > base.Meta.Index {
		return replication.Snapshot{}, nil, eris.Errorf("the log starts at entry %d but the snapshot ends at entry %d",
			recovered.Entries[0].Index, base.Meta.Index)
	}
	return base, nil, s.log.Append(wal.Batch{HardState: s.hardState, Reset: true})
}

// entriesAfter returns the entries after the snapshot; continuous is false if the
// log does not contain the snapshot's position, for example after a crash between
// the installation of a snapshot and the reset of the log.
func entriesAfter(meta replication.SnapshotMeta, entries []replication.Entry) (rest []replication.Entry, continuous bool) {
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
	position := meta.Index - first
	if entries[position].Term != meta.Term {
		return nil, false
	}
	return entries[position+1:], true
}

// bootstrap initializes an empty disk. Every replica of a new group starts from the
// same snapshot at index 1, so a replica that joins later always receives a snapshot.
// hasBatches reports whether the log contains any batch.
func (r *Replica) bootstrap(hasBatches bool) (replication.Snapshot, error) {
	o := r.options
	if len(o.Peers) == 0 {
		return replication.Snapshot{}, nil
	}
	if !o.Bootstrap {
		return replication.Snapshot{}, eris.Errorf("the data directory of replica %d is empty: "+
			"a replica that lost its disk must join under a new id (without bootstrap, peers must be empty)", o.ID)
	}
	if hasBatches && r.store.hardState.Term > 1 {
		return replication.Snapshot{}, eris.New("the log is not new but its snapshot is missing")
	}
	data, err := o.Machine.Snapshot()
	if err != nil {
		return replication.Snapshot{}, eris.Wrap(err, "take snapshot of the initial state")
	}
	first := replication.Snapshot{
		Meta: replication.SnapshotMeta{Index: 1, Term: 1, Membership: replication.NewMembership(o.Peers)},
		Data: data,
	}
	r.store.hardState = replication.HardState{Term: 1, Commit: 1}
	if err := r.store.log.Append(wal.Batch{HardState: r.store.hardState}); err != nil {
		return replication.Snapshot{}, err
	}
	return first, r.store.snapshots.Save(first)
}
