package replication

import (
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"
)

// Mechanisms switches off parts of the protocol. Only tests set it, to show
// that each part is needed.
type Mechanisms struct {
	NoPreVote          bool
	NoCheckQuorum      bool
	NoReadConfirmation bool
	NoPersistFirst     bool
}

// eagerTimeouts is the number of short election timeouts of an eager start. In a
// group whose votes keep being split, more would only split them again.
const eagerTimeouts = 3

// Config holds the settings of a node and the state recovered from its disk.
type Config struct {
	ID uint64
	// ElectionTicks is the least number of ticks without a leader before an
	// election. It must be more than HeartbeatTicks.
	ElectionTicks  int
	HeartbeatTicks int
	// EagerStart shortens the first election timeouts of a node that has not heard of
	// a leader since its start, for a group that starts as a whole. A live leader is
	// not disturbed: the pre-vote fails.
	EagerStart bool
	// Random spreads the election timeouts.
	Random *rand.Rand

	HardState HardState
	// Snapshot is the base of the log; its index is 0 on a joining replica.
	Snapshot SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []Entry

	Disabled Mechanisms
}

// Node is one replica of the group. It is not safe for concurrent use.
type Node struct {
	id             uint64
	electionTicks  int
	heartbeatTicks int
	random         *rand.Rand
	disabled       Mechanisms
	// eager is the number of election timeouts that are still short; 0 once the node
	// has heard of a leader.
	eager int

	term   uint64
	vote   uint64
	role   Role
	leader uint64
	log    entryLog

	snapshot    SnapshotMeta
	memberships []membershipAt
	progress    map[uint64]*progress
	votes       map[uint64]bool

	now              uint64 // ticks since the start
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int // ticks, drawn anew for each term

	transferee uint64
	reads      readQueue
	incoming   *incomingSnapshot
	installed  *Snapshot

	persisted    HardState
	messages     []Message // may leave before the state is synced
	replies      []Message // must wait for the sync
	selfVoteTerm uint64    // term in which the own vote awaits the sync
	identityLost bool
}

// ErrIdentityLost reports that the group counts this replica as a voter, but
// its disk is empty. It must return under a new id.
var ErrIdentityLost = eris.New("replica is a voter but its disk is empty: return under a new id")

// New returns a follower with the recovered state of cfg.
func New(cfg Config) (*Node, error) {
	if cfg.ID == None || cfg.Random == nil || cfg.HeartbeatTicks < 1 || cfg.ElectionTicks <= cfg.HeartbeatTicks {
		return nil, eris.New("invalid replication settings")
	}
	n := &Node{
		id: cfg.ID, electionTicks: cfg.ElectionTicks, heartbeatTicks: cfg.HeartbeatTicks,
		random: cfg.Random, disabled: cfg.Disabled,
		term: cfg.HardState.Term, vote: cfg.HardState.Vote, snapshot: cfg.Snapshot,
		memberships: []membershipAt{{cfg.Snapshot.Index, cfg.Snapshot.Membership}},
	}
	n.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	if err := n.recoverEntries(cfg.Entries); err != nil {
		return nil, err
	}
	n.log.committed = max(n.log.base, min(cfg.HardState.Commit, n.log.last()))
	n.persisted = n.hardState()
	if cfg.EagerStart {
		n.eager = eagerTimeouts
	}
	n.becomeFollower(n.term, None)
	return n, nil
}

func (n *Node) recoverEntries(entries []Entry) error {
	for i, e := range entries {
		if e.Index != n.log.base+1+uint64(i) {
			return eris.Errorf("recovered log has entry %d in place of %d", e.Index, n.log.base+1+uint64(i))
		}
	}
	n.log.append(entries...)
	n.log.stable = n.log.last()
	if n.term < n.log.lastTerm() {
		return eris.Errorf("recovered term %d is older than the log's last term %d", n.term, n.log.lastTerm())
	}
	return n.noteMemberships(entries)
}

// Tick advances the logical clock by one tick.
func (n *Node) Tick() {
	n.now++
	n.electionElapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.electionElapsed >= n.electionTimeout {
		n.electionElapsed = 0
		if n.isVoter(n.id) {
			n.startElection(false)
		}
	}
}

// Step feeds a message from another replica.
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

// stepNewerTerm adopts the term of m where the protocol asks for it, and tells
// whether m is to be handled further.
func (n *Node) stepNewerTerm(m Message) bool {
	switch m.Kind {
	case KindPreVote, KindVote:
		if !m.Forced && n.hearsLeader() {
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
	if fromLeader(m.Kind) {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// stepOlderTerm answers senders that would otherwise never learn of the newer
// term: a leader or a pre-candidate that lags behind.
func (n *Node) stepOlderTerm(m Message) {
	switch {
	case fromLeader(m.Kind):
		n.reply(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: n.log.last()})
	case m.Kind == KindPreVote:
		n.reply(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
	}
}

func fromLeader(k MessageKind) bool {
	return k == KindAppend || k == KindHeartbeat || k == KindSnapshot
}

func (n *Node) stepCurrentTerm(m Message) {
	if fromLeader(m.Kind) {
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

// hearsLeader tells whether a leader has been heard of within the least
// election timeout. While it holds, votes for others are ignored.
func (n *Node) hearsLeader() bool {
	if n.disabled.NoCheckQuorum || n.leader == None {
		return false
	}
	return n.role == Leader || n.electionElapsed < n.electionTicks
}

// send queues a message that claims nothing about this replica's own disk.
func (n *Node) send(m Message) {
	m.From, m.Term = n.id, n.term
	n.messages = append(n.messages, m)
}

// reply queues a message that must not leave before the state is synced.
func (n *Node) reply(m Message) {
	m.From = n.id
	m.Empty = n.log.last() == 0
	if m.Term == 0 {
		m.Term = n.term
	}
	n.replies = append(n.replies, m)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
}

// Err returns ErrIdentityLost if this replica must not take part.
func (n *Node) Err() error {
	if n.identityLost {
		return ErrIdentityLost
	}
	return nil
}

// PeerStatus is the state of a peer as its leader knows it.
type PeerStatus struct {
	Peer
	// Match is the last entry that the peer has synced.
	Match uint64
	// Active tells that the peer was heard of within the election timeout.
	Active bool
}

// Status describes a node.
type Status struct {
	ID, Term, Leader                 uint64
	Role                             Role
	Commit, Applied, LastIndex, Base uint64
	Peers                            []PeerStatus
	// CanLose is the number of further voters whose loss leaves a quorum. It is
	// meaningful on a leader, and -1 elsewhere.
	CanLose int
}

// Status returns the present state.
func (n *Node) Status() Status {
	s := Status{
		ID: n.id, Term: n.term, Leader: n.leader, Role: n.role,
		Commit: n.log.committed, Applied: n.log.applied, LastIndex: n.log.last(), Base: n.log.base,
		CanLose: -1,
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
		s.Active = n.active(p.ID)
	}
	return s
}

func (n *Node) canLose() int {
	voters := n.voters()
	usable := 0
	for _, id := range voters {
		if n.active(id) && n.progress[id].state != stateSnapshot {
			usable++
		}
	}
	return max(0, usable-len(voters)/2-1)
}

// voters returns the ids of the voting members, sorted.
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

// Applied returns the last entry handed out for applying.
func (n *Node) Applied() uint64 { return n.log.applied }

// Leadership returns the present term and the role in it.
func (n *Node) Leadership() (term uint64, role Role) { return n.term, n.role }
