package replication

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
)

// DisabledSafeguards switches off individual safeguards of the protocol. Only
// tests set it, to show that each safeguard is needed.
type DisabledSafeguards struct {
	PreVote          bool
	CheckQuorum      bool
	ReadConfirmation bool
	SyncBeforeReply  bool
}

// initialShortTimeouts is the number of shortened election timeouts after a start
// with FastInitialElection. In a group with repeated split votes, more of them
// would only split the votes again.
const initialShortTimeouts = 3

// Config holds the settings of a Node and the state recovered from its disk.
type Config struct {
	ID uint64
	// ElectionTicks is the minimum election timeout in ticks. It must be greater
	// than HeartbeatTicks.
	ElectionTicks  int
	HeartbeatTicks int
	// FastInitialElection shortens the first election timeouts of a node that has
	// had no leader since its start, for a group whose replicas all start together.
	// An active leader is not disrupted, because the pre-vote fails.
	FastInitialElection bool
	// Random randomizes the election timeouts.
	Random *rand.Rand

	HardState HardState
	// Snapshot is the position at which the log begins; its index is 0 on a
	// joining replica.
	Snapshot SnapshotMeta
	// Entries are the log entries after Snapshot, without gaps.
	Entries []Entry

	DisabledSafeguards DisabledSafeguards
}

// Node is the Raft state machine of one replica. It is not safe for concurrent use.
type Node struct {
	id             uint64
	electionTicks  int
	heartbeatTicks int
	random         *rand.Rand
	disabled       DisabledSafeguards
	// shortTimeoutsLeft is the number of shortened election timeouts left; 0 once
	// the node has had a leader.
	shortTimeoutsLeft int

	term   uint64
	vote   uint64
	role   Role
	leader uint64
	log    entryLog

	snapshot    SnapshotMeta
	memberships []membershipEntry
	progress    map[uint64]*progress
	votes       map[uint64]bool

	ticks            uint64 // ticks since New
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int // in ticks, randomized again for each term

	transferee       uint64
	reads            readQueue
	incoming         *incomingSnapshot
	receivedSnapshot *Snapshot

	persisted         HardState
	messages          []Message // may be sent before the state is synced
	messagesAfterSync []Message // must not be sent before the state is synced
	selfVoteTerm      uint64    // term in which the vote for itself is not yet synced
	identityLost      bool
}

// ErrIdentityLost reports that this replica is a voter of the group, but its
// disk is empty. It must rejoin under a new id.
var ErrIdentityLost = eris.New("replica is a voter but its disk is empty: it must rejoin under a new id")

// New returns a follower with the recovered state of cfg.
func New(cfg Config) (*Node, error) {
	if cfg.ID == None || cfg.Random == nil || cfg.HeartbeatTicks < 1 || cfg.ElectionTicks <= cfg.HeartbeatTicks {
		return nil, eris.New("invalid replication settings: ID and Random are required, and 1 <= HeartbeatTicks < ElectionTicks")
	}
	n := &Node{
		id: cfg.ID, electionTicks: cfg.ElectionTicks, heartbeatTicks: cfg.HeartbeatTicks,
		random: cfg.Random, disabled: cfg.DisabledSafeguards,
		term: cfg.HardState.Term, vote: cfg.HardState.Vote, snapshot: cfg.Snapshot,
		memberships: []membershipEntry{{cfg.Snapshot.Index, cfg.Snapshot.Membership}},
	}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	if err := n.recoverEntries(cfg.Entries); err != nil {
		return nil, err
	}
	n.log.committed = max(n.log.compactedIndex, min(cfg.HardState.Commit, n.log.lastIndex()))
	n.persisted = n.hardState()
	if cfg.FastInitialElection {
		n.shortTimeoutsLeft = initialShortTimeouts
	}
	n.becomeFollower(n.term, None)
	return n, nil
}

func (n *Node) recoverEntries(entries []Entry) error {
	for i, e := range entries {
		if e.Index != n.log.compactedIndex+1+uint64(i) {
			return eris.Errorf("recovered log has entry %d where entry %d is expected", e.Index, n.log.compactedIndex+1+uint64(i))
		}
	}
	n.log.append(entries...)
	n.log.stable = n.log.lastIndex()
	if n.term < n.log.lastTerm() {
		return eris.Errorf("recovered term %d is older than the log's last term %d", n.term, n.log.lastTerm())
	}
	memberships, err := decodeMemberships(entries)
	n.memberships = append(n.memberships, memberships...)
	return err
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.ticks++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.electionElapsed = 0
		if n.isVoter(n.id) {
			n.startElection(false)
			return
		}
		n.leader = None
	}
}

// Step handles a message from another replica.
func (n *Node) Step(m Message) {
	if m.To != n.id || m.From == n.id || n.identityLost {
		return
	}
	switch {
	case m.Term > n.term:
		if !n.stepNewerTerm(m) {
			return
		}
	case m.Term < n.term:
		n.stepOlderTerm(m)
		return
	}
	n.stepCurrentTerm(m)
}

// stepNewerTerm adopts the term of m where the protocol requires it, and reports
// whether m is to be processed further.
func (n *Node) stepNewerTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote, KindVote:
		if !m.LeadershipTransfer && n.hasActiveLeader() {
			return false
		}
		if m.Kind == KindPreVote {
			return true
		}
	case KindPreVoteReply:
		if !m.Reject {
			return true
		}
	}
	leader := None
	if isLeaderMessage(m.Kind) {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// stepOlderTerm rejects messages of an outdated leader or pre-candidate, which
// would otherwise never learn of the newer term.
func (n *Node) stepOlderTerm(m Message) {
	switch {
	case isLeaderMessage(m.Kind):
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.log.lastIndex()})
	case m.Kind == KindPreVote:
		n.sendAfterSync(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

func isLeaderMessage(k MessageKind) bool {
	return k == KindAppend || k == KindHeartbeat || k == KindSnapshot
}

func (n *Node) stepCurrentTerm(m Message) {
	if isLeaderMessage(m.Kind) {
		n.becomeFollower(m.Term, m.From)
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		n.handleVoteRequest(m)
	case KindPreVoteReply, KindVoteReply:
		n.handleVoteReply(m)
	case KindAppend:
		n.handleAppend(m)
	case KindHeartbeat:
		n.handleHeartbeat(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindTimeoutNow:
		n.handleTimeoutNow()
	case KindAppendReply, KindHeartbeatReply, KindSnapshotReply:
		n.handlePeerReply(m)
	}
}

// hasActiveLeader reports whether there was contact with a leader within the
// minimum election timeout. While it returns true, vote requests are ignored
// unless they belong to a leadership transfer.
func (n *Node) hasActiveLeader() bool {
	if n.disabled.CheckQuorum || n.leader == None {
		return false
	}
	return n.role == Leader || n.electionElapsed < n.electionTicks
}

// send queues a message that does not depend on what this replica has synced.
func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.term
	n.messages = append(n.messages, m)
}

// sendAfterSync queues a message that must not be sent before the state is synced.
func (n *Node) sendAfterSync(m Message) {
	m.From = n.id
	m.EmptyLog = n.log.lastIndex() == 0
	if m.Term == 0 {
		m.Term = n.term
	}
	n.messagesAfterSync = append(n.messagesAfterSync, m)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}

// Err returns ErrIdentityLost if this replica must not take part in the group.
func (n *Node) Err() error {
	if n.identityLost {
		return ErrIdentityLost
	}
	return nil
}

// PeerStatus is the state of a peer as known to the leader.
type PeerStatus struct {
	Peer
	// Match is the match index: the last entry known to be synced on the peer.
	Match uint64
	// Active reports whether the peer sent a message within the election timeout, or the leader's
	// term has not lasted that long.
	Active bool
	// Heard reports whether the peer has sent a message in the leader's term, and SilentTicks the
	// number of ticks since its latest one.
	Heard       bool
	SilentTicks uint64
}

// Status is a snapshot of a node's state for monitoring.
type Status struct {
	ID, Term, Leader                           uint64
	Role                                       Role
	Commit, Applied, LastIndex, CompactedIndex uint64
	Peers                                      []PeerStatus
	// Committed is the latest membership that is known to be committed. Peers may be ahead of it.
	Committed []Peer
	// CanLose is the failure tolerance: the number of further voters that may fail
	// without loss of the quorum. It is known on the leader only, and -1 elsewhere.
	CanLose int
}

// Status returns the current state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.log.committed, Applied: n.log.applied, LastIndex: n.log.lastIndex(), CompactedIndex: n.log.compactedIndex,
		CanLose: -1, Committed: n.membershipAt(n.log.committed).Peers,
	}
	for _, p := range n.membership().Peers {
		s.Peers = append(s.Peers, n.peerStatus(p))
	}
	if n.role == Leader {
		s.CanLose = n.canLose()
	}
	return s
}

func (n *Node) peerStatus(p Peer) PeerStatus {
	s := PeerStatus{Peer: p}
	if pr := n.progress[p.ID]; n.role == Leader && pr != nil {
		s.Match = pr.match
		s.Active = n.isActive(p.ID)
		s.Heard, s.SilentTicks = pr.heard, n.ticks-pr.lastContact
	}
	return s
}

func (n *Node) canLose() int {
	voters := n.voters()
	usable := 0
	for _, id := range voters {
		if n.isActive(id) && n.progress[id].state != stateSnapshot {
			usable++
		}
	}
	return max(0, usable-len(voters)/2-1)
}

// voters returns the sorted ids of the voting members.
func (n *Node) voters() []uint64 {
	var ids []uint64
	for _, p := range n.membership().Peers {
		if !p.Learner {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

func (n *Node) isVoter(id uint64) bool { return slices.Contains(n.voters(), id) }

// Applied returns the index of the last entry returned in Ready.Committed.
func (n *Node) Applied() uint64 { return n.log.applied }

// Leadership returns the current term and the role in it.
func (n *Node) Leadership() (term uint64, role Role) { return n.term, n.role }
