package replication

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func threePeers() Membership { return NewMembership([]Peer{{ID: 1}, {ID: 2}, {ID: 3}}) }

// newTestNode returns replica 1 of three with the given hard state, and with
// entries of the given terms from index 2 on.
func newTestNode(g Gomega, hard HardState, terms ...uint64) *Node {
	cfg := Config{
		ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Random: rand.New(rand.NewPCG(1, 1)),
		HardState: hard, Snapshot: SnapshotMeta{Index: 1, Term: 1, Membership: threePeers()},
	}
	for i, term := range terms {
		cfg.Entries = append(cfg.Entries, Entry{Index: uint64(i) + 2, Term: term})
	}
	n, err := New(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	return n
}

// newTestLeader returns replica 1 as the leader of term hard.Term+1.
func newTestLeader(g Gomega, hard HardState, terms ...uint64) *Node {
	n := newTestNode(g, hard, terms...)
	n.startElection(true)
	n.Advance(n.Ready())
	n.Step(Message{Kind: KindVoteReply, From: 2, To: 1, Term: n.term})
	g.Expect(n.role).To(Equal(Leader))
	n.Advance(n.Ready())
	return n
}

func singleEntry(index, term uint64) []Entry { return []Entry{{Index: index, Term: term}} }

// TestFollowerReplies sends one message to replica 1, which is in term 5 with
// entries 2 and 3 of term 4 and entry 4 of term 5; entry 2 is committed.
func TestFollowerReplies(t *testing.T) {
	for _, test := range []struct {
		name      string
		vote      uint64 // earlier vote in term 5
		hasLeader bool   // the follower has an active leader
		message   Message
		want      []Message
		term      uint64 // expected term after the message
	}{
		{"vote for an equal log", 0, false, Message{Kind: KindVote, Term: 6, Index: 4, LogTerm: 5},
			[]Message{{Kind: KindVoteReply, Term: 6}}, 6},
		{"vote for a longer log of an older term", 0, false, Message{Kind: KindVote, Term: 6, Index: 9, LogTerm: 4},
			[]Message{{Kind: KindVoteReply, Term: 6, Reject: true}}, 6},
		{"vote for a shorter log", 0, false, Message{Kind: KindVote, Term: 6, Index: 3, LogTerm: 5},
			[]Message{{Kind: KindVoteReply, Term: 6, Reject: true}}, 6},
		{"second vote in a term", 3, false, Message{Kind: KindVote, Term: 5, Index: 9, LogTerm: 5},
			[]Message{{Kind: KindVoteReply, Term: 5, Reject: true}}, 5},
		{"same vote asked for again", 2, false, Message{Kind: KindVote, Term: 5, Index: 9, LogTerm: 5},
			[]Message{{Kind: KindVoteReply, Term: 5}}, 5},
		{"vote while a leader is heard", 0, true, Message{Kind: KindVote, Term: 9, Index: 9, LogTerm: 5}, nil, 5},
		{"vote that the leader asked for", 0, true, Message{Kind: KindVote, Term: 6, Index: 9, LogTerm: 5, LeadershipTransfer: true},
			[]Message{{Kind: KindVoteReply, Term: 6}}, 6},
		{"vote of an older term", 0, false, Message{Kind: KindVote, Term: 4, Index: 9, LogTerm: 4}, nil, 5},
		{"pre-vote leaves the term", 0, false, Message{Kind: KindPreVote, Term: 6, Index: 4, LogTerm: 5},
			[]Message{{Kind: KindPreVoteReply, Term: 6}}, 5},
		{"pre-vote while a leader is heard", 0, true, Message{Kind: KindPreVote, Term: 6, Index: 4, LogTerm: 5}, nil, 5},
		{"pre-vote of the same term", 0, false, Message{Kind: KindPreVote, Term: 5, Index: 9, LogTerm: 5},
			[]Message{{Kind: KindPreVoteReply, Term: 5, Reject: true}}, 5},
		{"pre-vote of an older term", 0, false, Message{Kind: KindPreVote, Term: 3, Index: 9, LogTerm: 5},
			[]Message{{Kind: KindPreVoteReply, Term: 5, Reject: true}}, 5},
		{"append of an old leader", 0, false, Message{Kind: KindAppend, Term: 4, Index: 4, LogTerm: 5},
			[]Message{{Kind: KindAppendReply, Term: 5, Index: 4, Reject: true, Hint: 4}}, 5},
		{"append after a gap", 0, false, Message{Kind: KindAppend, Term: 5, Index: 7, LogTerm: 5, Entries: singleEntry(8, 5)},
			[]Message{{Kind: KindAppendReply, Term: 5, Index: 7, Reject: true, Hint: 4}}, 5},
		{"append after another entry", 0, false, Message{Kind: KindAppend, Term: 6, Index: 4, LogTerm: 4, Entries: singleEntry(5, 6)},
			[]Message{{Kind: KindAppendReply, Term: 6, Index: 4, Reject: true, Hint: 3}}, 6},
		{"append that replaces", 0, false, Message{Kind: KindAppend, Term: 6, Index: 3, LogTerm: 4, Entries: singleEntry(4, 6)},
			[]Message{{Kind: KindAppendReply, Term: 6, Index: 4}}, 6},
		{"append again", 0, false, Message{Kind: KindAppend, Term: 5, Index: 2, LogTerm: 4, Entries: singleEntry(3, 4)},
			[]Message{{Kind: KindAppendReply, Term: 5, Index: 3}}, 5},
		{"append before the commit index", 0, false, Message{Kind: KindAppend, Term: 5, Index: 1, LogTerm: 1, Entries: singleEntry(2, 4)},
			[]Message{{Kind: KindAppendReply, Term: 5, Index: 2}}, 5},
		{"heartbeat", 0, false, Message{Kind: KindHeartbeat, Term: 5, ReadRound: 7, Commit: 3},
			[]Message{{Kind: KindHeartbeatReply, Term: 5, ReadRound: 7}}, 5},
		{"reply to a leader that it is not", 0, false, Message{Kind: KindAppendReply, Term: 5, Index: 4}, nil, 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newTestNode(g, HardState{Term: 5, Vote: test.vote, Commit: 2}, 4, 4, 5)
			if test.hasLeader {
				n.leader = 3
			}
			test.message.From, test.message.To = 2, 1
			n.Step(test.message)
			for i := range test.want {
				test.want[i].From, test.want[i].To = 1, 2
			}
			rd := n.Ready()
			g.Expect(rd.Messages).To(BeEmpty())
			g.Expect(rd.MessagesAfterSync).To(Equal(test.want))
			g.Expect(n.term).To(Equal(test.term))
			g.Expect(rd.MustSync).To(Equal(test.term > 5 || len(rd.Entries) > 0 || n.vote != test.vote))
		})
	}
}

// TestEarlierTermEntriesCommitIndirectly guards against committing an entry of an
// earlier term by counting replicas. A later leader could still replace such an
// entry even though a quorum has acknowledged it.
func TestEarlierTermEntriesCommitIndirectly(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1}, 2)
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	g.Expect(n.log.committed).To(Equal(uint64(1)))
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 3})
	g.Expect(n.log.committed).To(Equal(uint64(3)))
}

func TestMembershipChangesAreSerialized(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1})
	_, err := n.AddLearner(Peer{ID: 4})
	g.Expect(err).To(Equal(ErrChangePending), "no entry of the current term is committed")
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	index, err := n.AddLearner(Peer{ID: 4})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = n.Remove(3)
	g.Expect(err).To(Equal(ErrChangePending))
	n.Advance(n.Ready())
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: index})
	_, err = n.Promote(4)
	g.Expect(err).To(Equal(ErrNotCaughtUp))
	_, err = n.Remove(1)
	g.Expect(err).To(Equal(ErrRemoveLeader))
	_, err = n.AddLearner(Peer{ID: 4})
	g.Expect(err).To(Equal(ErrIDUsed))
	_, err = n.Remove(3)
	g.Expect(err).NotTo(HaveOccurred())
}

// TestStatusNamesTheCommittedMembership guards against hosts that delete their disk for a removal that may be undone.
func TestStatusNamesTheCommittedMembership(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1})
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	index, err := n.Remove(3)
	g.Expect(err).NotTo(HaveOccurred())
	n.Advance(n.Ready())
	g.Expect(n.Status().Peers).To(HaveLen(2))
	g.Expect(n.Status().Committed).To(HaveLen(3))
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: index})
	g.Expect(n.Status().Committed).To(HaveLen(2))
}

// TestTruncationRestoresMembership truncates an uncommitted membership change. The
// preceding membership must be in effect again.
func TestTruncationRestoresMembership(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1})
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	index, err := n.Remove(3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(n.voters()).To(Equal([]uint64{1, 2}))
	n.Advance(n.Ready())
	n.Step(Message{Kind: KindAppend, From: 2, To: 1, Term: 5, Index: index - 1, LogTerm: 4, Entries: singleEntry(index, 5)})
	g.Expect(n.voters()).To(Equal([]uint64{1, 2, 3}))
}

func TestRemoveRejectsQuorumLoss(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3, 1, DisabledSafeguards{})
	c.elect(1)
	c.isolate(3, true)
	c.tick(30)
	_, err := c.hosts[1].node.Remove(2)
	g.Expect(err).To(Equal(ErrTooFewVoters))
	_, err = c.hosts[1].node.Remove(3)
	g.Expect(err).NotTo(HaveOccurred())
}

// TestEmptyLogReplyDoesNotConfirmReads guards against stale reads: a sender with an
// empty log may have lost a disk that held its vote for a newer leader.
func TestEmptyLogReplyDoesNotConfirmReads(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1})
	n.Step(Message{Kind: KindAppendReply, From: 2, To: 1, Term: 4, Index: 2})
	n.Advance(n.Ready())
	g.Expect(n.ReadIndex(7)).To(Succeed())
	n.Advance(n.Ready())
	n.Step(Message{Kind: KindHeartbeatReply, From: 3, To: 1, Term: 4, ReadRound: 1, EmptyLog: true})
	g.Expect(n.Ready().Reads).To(BeEmpty())
	n.Step(Message{Kind: KindHeartbeatReply, From: 2, To: 1, Term: 4, ReadRound: 1})
	g.Expect(n.Ready().Reads).To(Equal([]ReadState{{ID: 7, Index: 2}}))
}

// TestLateSnapshotKeepsLaterEntries delivers a delayed snapshot of a position that
// the log already holds. The acknowledged entries after it must not be discarded.
func TestLateSnapshotKeepsLaterEntries(t *testing.T) {
	g := NewWithT(t)
	n := newTestNode(g, HardState{Term: 4, Commit: 1}, 4, 4, 4)
	meta := SnapshotMeta{Index: 3, Term: 4, Membership: threePeers()}
	n.Step(Message{Kind: KindSnapshot, From: 2, To: 1, Term: 4, Chunk: &SnapshotChunk{Meta: meta}})
	g.Expect(n.log.lastIndex()).To(Equal(uint64(4)))
	rd := n.Ready()
	g.Expect(rd.Snapshot).To(BeNil())
	g.Expect(rd.Committed).To(HaveLen(2))
}

// TestDuplicateSnapshotReplyIsIgnored guards against one more concurrent snapshot
// transfer for every duplicated reply.
func TestDuplicateSnapshotReplyIsIgnored(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 3, Commit: 1})
	n.progress[3].becomeSnapshot(n.snapshot.Index)
	reply := Message{Kind: KindSnapshotReply, From: 3, To: 1, Term: 4, Index: 1, Hint: 8}
	n.Step(reply)
	g.Expect(n.messages).To(HaveLen(1))
	n.Step(reply)
	g.Expect(n.messages).To(HaveLen(1))
}

// TestMostUpToDateVoterPrefersLatestContact has two voters with the whole log. The
// one whose last message is older may have just stopped.
func TestMostUpToDateVoterPrefersLatestContact(t *testing.T) {
	g := NewWithT(t)
	n := newTestLeader(g, HardState{Term: 1, Commit: 1})
	for _, from := range []uint64{2, 3} {
		n.Step(Message{Kind: KindAppendReply, From: from, To: 1, Term: n.term, Index: n.log.lastIndex()})
	}
	n.Tick()
	n.Step(Message{Kind: KindHeartbeatReply, From: 3, To: 1, Term: n.term})
	g.Expect(n.MostUpToDateVoter()).To(Equal(uint64(3)))
	n.Tick()
	n.Step(Message{Kind: KindHeartbeatReply, From: 2, To: 1, Term: n.term})
	g.Expect(n.MostUpToDateVoter()).To(Equal(uint64(2)))
}

// Guards against a learner that takes a silent leader for its own for ever and so never finds out that it was removed.
func TestLearnerForgetsSilentLeader(t *testing.T) {
	g := NewWithT(t)
	n, err := New(Config{
		ID: 4, ElectionTicks: 10, HeartbeatTicks: 2, Random: rand.New(rand.NewPCG(1, 1)), HardState: HardState{Term: 5},
		Snapshot: SnapshotMeta{Index: 1, Term: 1, Membership: NewMembership([]Peer{{ID: 1}, {ID: 2}, {ID: 3}, {ID: 4, Learner: true}})},
	})
	g.Expect(err).NotTo(HaveOccurred())
	n.Step(Message{Kind: KindHeartbeat, From: 1, To: 4, Term: 5})
	for range 9 {
		n.Tick()
	}
	g.Expect(n.Status().Leader).To(Equal(uint64(1)))
	for range 11 {
		n.Tick()
	}
	g.Expect(n.Status().Leader).To(Equal(None))
	g.Expect(n.Status().Role).To(Equal(Follower))
	n.Step(Message{Kind: KindHeartbeat, From: 2, To: 4, Term: 5})
	g.Expect(n.Status().Leader).To(Equal(uint64(2)))
}
