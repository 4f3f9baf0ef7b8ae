package replication

import "github.com/rotisserie/eris"

// Errors of proposals and requests that the node refuses without a trace.
var (
	ErrNotLeader    = eris.New("not the leader")
	ErrTransferring = eris.New("leadership is being transferred")
)

// Propose appends a command on the leader and returns its log position. The
// caller broadcasts by taking the next Ready.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != None {
		return 0, 0, ErrTransferring
	}
	return n.appendOwn(EntryCommand, command), n.term, nil
}

func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	index := n.log.last() + 1
	n.log.append(Entry{Index: index, Term: n.term, Kind: kind, Data: data})
	return index
}

func (n *Node) broadcastAppend() {
	for _, p := range n.membership().Peers {
		if p.ID != n.id {
			n.sendNews(p.ID)
		}
	}
}

// sendNews sends what the peer lacks, as far as its window allows.
func (n *Node) sendNews(to uint64) {
	pr := n.progress[to]
	for !pr.blocked() && pr.state != stateSnapshot && pr.next <= n.log.last() {
		n.sendAppend(to)
	}
}

// sendAppend sends one append, which may be empty.
func (n *Node) sendAppend(to uint64) {
	pr := n.progress[to]
	if pr.state == stateSnapshot {
		n.sendSnapshotChunk(to)
		return
	}
	previous := pr.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		pr.toSnapshot(n.snapshot.Index)
		n.sendSnapshotChunk(to)
		return
	}
	entries := n.log.limited(previous, maxAppendBytes)
	n.send(Message{
		Kind: KindAppend, To: to, Index: previous, LogTerm: term,
		Entries: entries, Commit: n.log.committed,
	})
	if len(entries) > 0 || pr.state == stateProbe {
		pr.sent(previous + uint64(len(entries)))
	}
}

func (n *Node) handleAppend(m Message) {
	if m.Index < n.log.committed {
		n.reply(Message{Kind: KindAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if !n.log.matches(m.Index, m.LogTerm) {
		hint := n.log.hint(m.Index, m.LogTerm)
		n.reply(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	n.merge(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.reply(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// merge takes in the leader's entries and drops own ones that conflict.
func (n *Node) merge(entries []Entry) {
	first := n.log.conflict(entries)
	if first == len(entries) {
		return
	}
	fresh := entries[first:]
	if fresh[0].Index <= n.log.last() {
		n.log.truncate(fresh[0].Index - 1)
		n.forgetMemberships(fresh[0].Index)
	}
	n.log.append(fresh...)
	if err := n.noteMemberships(fresh); err != nil {
		panic(err) // the leader encoded it; memory or program is faulty
	}
}

func (n *Node) handlePeerReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	switch {
	case !m.Empty:
		pr.lastHeard = n.now
		pr.round = max(pr.round, m.Round)
	case pr.match > 0:
		// The peer has lost its disk. It learns so from a snapshot.
		pr.match = 0
		pr.toProbe(1)
	}
	switch m.Kind {
	case KindHeartbeatReply:
		n.handleHeartbeatReply(m, pr)
	case KindSnapshotReply:
		n.handleSnapshotReply(m, pr)
	case KindAppendReply:
		if m.Reject {
			n.handleRefusal(m, pr)
		} else {
			n.handleAcknowledgement(m, pr)
		}
	}
}

func (n *Node) handleRefusal(m Message, pr *progress) {
	stale := m.Index <= pr.match || pr.state == stateProbe && m.Index != pr.next-1
	if stale || pr.state == stateSnapshot {
		return
	}
	pr.toProbe(max(pr.match+1, min(m.Hint+1, m.Index)))
	n.sendAppend(m.From)
}

func (n *Node) handleAcknowledgement(m Message, pr *progress) {
	if m.Index > n.log.last() {
		return
	}
	news := pr.acknowledge(m.Index)
	switch {
	case pr.state == stateProbe:
		pr.toReplicate()
	case pr.state == stateSnapshot && pr.match >= n.log.base:
		pr.toProbe(pr.match + 1)
	}
	if news {
		n.maybeCommit()
	}
	n.sendNews(m.From)
	n.continueTransfer(m.From)
}

// maybeCommit advances the commit index to what a quorum has synced. Only an
// entry of the present term commits by counting.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, id := range n.voters() {
		matches = append(matches, n.progress[id].match)
	}
	index := quorumValue(matches)
	if index > n.log.committed && n.log.matches(index, n.term) {
		n.commitTo(index)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, min(index, n.log.last()))
}
