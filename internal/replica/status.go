package replica

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// Status describes the state of a replica as of its last event loop iteration.
type Status struct {
	ID uint64
	// Leader is the ID of the leader, or 0 if it is unknown.
	Leader  uint64
	Term    uint64
	Role    replication.Role
	Applied uint64
	Commit  uint64
	// Snapshot is the index of the latest snapshot.
	Snapshot uint64
	// Peers is the membership. Match and Active are known on the leader only.
	Peers []replication.PeerStatus
	// Committed is the latest membership that is known to be committed. It must not be modified.
	Committed []replication.Peer
	// Failure is nil, or the *StorageError that took the replica out of service.
	Failure error
	// CanLose is the number of further voters that may fail without loss of the
	// quorum, as observed by the leader; -1 on other replicas.
	CanLose int
	// Syncs is the number of log batches synced since the replica started.
	Syncs uint64
}

// Status returns the status published by the last iteration of the event loop.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Peers = slices.Clone(s.Peers)
	return s
}

func (r *Replica) publishStatus() {
	n := r.node.Status()
	s := Status{
		ID: n.ID, Leader: n.Leader, Term: n.Term, Role: n.Role, Applied: n.Applied, Commit: n.Commit,
		Snapshot: r.snapshotIndex, Peers: n.Peers, Committed: n.Committed, Failure: r.failure, CanLose: n.CanLose, Syncs: r.store.log.Syncs(),
	}
	if r.failure != nil {
		s.Leader, s.Role, s.CanLose = replication.None, replication.Follower, -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}
