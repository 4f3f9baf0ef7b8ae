package replica

import (
	"slices"

	"github.com/godwitbend/godwitbend/internal/replication"
)

// Status describes a replica at a recent moment.
type Status struct {
	ID uint64
	// Leader is the id of the leader as far as known, or 0.
	Leader  uint64
	Term    uint64
	Role    replication.Role
	Applied uint64
	Commit  uint64
	// Snapshot is the index of the latest snapshot.
	Snapshot uint64
	// Peers is the membership. Match and Active are known on the leader only.
	Peers []replication.PeerStatus
	// Healthy is nil, or the *StorageError that took the replica out of service.
	Healthy error
	// CanLose is the number of further voters whose loss the group survives, as
	// the leader knows it, and -1 on other replicas.
	CanLose int
	// Syncs is the number of log batches synced since the start.
	Syncs uint64
}

// Status returns the state after the last step of the control goroutine.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.status
	s.Peers = slices.Clone(s.Peers)
	return s
}

func (r *Replica) publish() {
	n := r.node.Status()
	s := Status{
		ID: n.ID, Leader: n.Leader, Term: n.Term, Role: n.Role, Applied: n.Applied, Commit: n.Commit,
		Snapshot: r.snapshot, Peers: n.Peers, Healthy: r.failure, CanLose: n.CanLose, Syncs: r.store.log.Syncs(),
	}
	if r.failure != nil {
		s.Leader, s.Role, s.CanLose = replication.None, replication.Follower, -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
}
