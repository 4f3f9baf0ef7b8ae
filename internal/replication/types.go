// Package replication is the deterministic core of the replicated log of the
// control group: leader election, log replication, confirmed reads, membership
// changes and snapshot transfer. It holds no goroutine, clock, file or socket.
// The caller feeds it messages, ticks, proposals and read requests, and carries
// out what Ready returns.
package replication

// None is the id of no replica.
const None uint64 = 0

// EntryKind tells how a committed entry is handled.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand is handed to the state machine.
	EntryCommand EntryKind = iota
	// EntryEmpty is the first entry of a leader's term.
	EntryEmpty
	// EntryMembership holds an encoded Membership, in force from its append on.
	EntryMembership
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must have synced before it sends a message of
// that term, or a vote. Commit may lag behind and is only a hint for recovery.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   uint64 `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
}

// Peer is one replica of the group.
type Peer struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint,omitempty" json:"address,omitempty"`
	// Learner receives the log but neither votes nor counts towards a quorum.
	Learner bool `cbor:"3,keyasint,omitempty" json:"learner,omitempty"`
}

// Membership is the set of replicas of the group.
type Membership struct {
	// Peers is sorted by id.
	Peers []Peer `cbor:"1,keyasint"`
	// LargestID is the largest id ever used. A new replica needs a larger one,
	// so that the id of a replica that lost its disk never returns.
	LargestID uint64 `cbor:"2,keyasint"`
}

// SnapshotMeta names the log position that a snapshot stands for.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is the state of the state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot on its way to a follower. The core
// leaves Data and Size empty; the caller fills them in before it sends.
type SnapshotChunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset uint64       `cbor:"2,keyasint,omitempty"`
	// Size is the length of the whole snapshot in bytes.
	Size uint64 `cbor:"3,keyasint,omitempty"`
	Data []byte `cbor:"4,keyasint,omitempty"`
}

// MessageKind names a message between replicas.
type MessageKind uint8

// The messages between replicas.
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

// Message passes between two replicas. Fields that a kind does not use are zero.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index is the entry before Entries in an append, the last entry of the
	// candidate in a vote, and the acknowledged or refused entry in a reply.
	Index uint64 `cbor:"5,keyasint,omitempty"`
	// LogTerm is the term of the entry at Index.
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint is the largest index at which the logs may agree, in a refusal.
	Hint uint64 `cbor:"10,keyasint,omitempty"`
	// Round is the read round that a heartbeat and its reply confirm.
	Round uint64 `cbor:"11,keyasint,omitempty"`
	// Forced votes are counted in spite of a live leader, which asked for them.
	Forced bool `cbor:"12,keyasint,omitempty"`
	// Empty tells, in a reply, that the sender's log is empty: it joins or has
	// lost its disk, so it can't speak for the votes it may have given.
	Empty bool `cbor:"14,keyasint,omitempty"`
	// Chunk is the payload of KindSnapshot.
	Chunk *SnapshotChunk `cbor:"13,keyasint,omitempty"`
}

// Role is the part that a replica plays in its term.
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
