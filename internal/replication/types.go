// Package replication implements the Raft consensus protocol for the replicated
// log of the control group: leader election with pre-vote and check quorum, log
// replication, linearizable reads (read index), single-step membership changes,
// leadership transfer and snapshot transfer.
//
// It is a deterministic state machine without goroutines, clocks, files or
// sockets. The caller supplies messages, ticks, proposals and read requests, and
// carries out the work that Ready returns.
package replication

// None is the id 0, which no replica has. As a leader, vote or transferee it means
// that there is none.
const None uint64 = 0

// EntryKind determines how a committed entry is handled.
type EntryKind uint8

// The entry kinds.
const (
	// EntryCommand is applied to the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the empty entry that a new leader appends at the start of its term.
	EntryNoop
	// EntryMembership holds an encoded Membership, which takes effect when it is appended.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState must be synced before the replica sends a vote or any message of
// that term. Commit may lag behind the actual commit index and is only a hint
// for recovery.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Peer describes one replica of the group.
type Peer struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint,omitempty" json:"address,omitempty"`
	// Learner marks a replica that receives the log but neither votes nor counts
	// towards a quorum.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// Membership is the set of replicas of the group.
type Membership struct {
	// Peers is sorted by id.
	Peers []Peer `cbor:"1,keyasint"`
	// LargestID is the largest id ever used. A new replica needs a larger one,
	// so that the id of a replica that lost its disk is never reused.
	LargestID uint64 `cbor:"2,keyasint"`
}

// SnapshotMeta describes the log position that a snapshot covers.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is the state of the state machine after it applied the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// SnapshotChunk is one piece of a snapshot that is being sent to a follower.
// Node leaves Data and Size empty; the caller fills them in before it sends.
type SnapshotChunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint,omitempty"`
	// Size is the length of the whole snapshot in bytes.
	Size uint64 `cbor:"3,keyasint,omitempty"`
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// The message kinds. KindTimeoutNow asks the receiver to start an election at once.
const (
	KindPreVote MessageKind = iota + 1
	KindPreVoteReply
	KindVote
	KindVoteReply
	KindAppend
	KindAppendReply
	KindHeartbeat
	KindHeartbeatReply
	KindSnapshot
	KindSnapshotReply
	KindTimeoutNow
)

// Message is sent from one replica to another. Fields that a kind does not use are zero.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index is the entry preceding Entries in an append, the candidate's last
	// entry in a vote request, and the acknowledged or rejected entry in a reply.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is, in a rejection, the largest index at which the logs may agree. In
	// a snapshot reply it is the number of snapshot bytes received so far.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// ReadRound is the read round that a heartbeat and its reply confirm.
	ReadRound uint64 `cbor:"11,keyasint,omitempty"`
	// LeadershipTransfer marks a vote request of an election that the leader
	// started itself. Voters consider it even while they have an active leader.
	LeadershipTransfer bool `cbor:"12,keyasint,omitempty"`
	// EmptyLog reports, in a reply, that the sender's log is empty: it is joining
	// or has lost its disk, and with it any record of votes it may have cast.
	EmptyLog bool `cbor:"14,keyasint,omitempty"`
	// Chunk is the payload of KindSnapshot.
	Chunk *SnapshotChunk `cbor:"13,keyasint,omitempty"`
}

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}
