package replication

import "github.com/rotisserie/eris"

// Errors of proposals and requests that are rejected without any effect.
var (
	ErrNotLeader    = eris.New("not the leader")
	ErrTransferring = eris.New("leadership is being transferred")
)

// Propose appends a command on the leader and returns its log position. The
// next Ready returns the append messages to the followers.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != None {
		return 0, 0, ErrTransferring
	}
	return n.appendEntry(EntryCommand, command), n.term, nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	index := n.log.lastIndex() + 1
	n.log.append(Entry{Index: index, Term: n.term, Kind: kind, Data: data})
	return index
}

func (n *Node) broadcastAppend() {
	for _, p := range n.membership().Peers {
		if p.ID != n.id {
			n.sendAppends(p.ID)
		}
	}
}

// sendAppends sends the entries that the peer lacks, up to the limit of in-flight
// appends.
func (n *Node) sendAppends(to uint64) {
	pr := n.progress[to]
	for !pr.isPaused() && pr.state != stateSnapshot && pr.next <= n.log.lastIndex() {
		n.sendAppend(to)
	}
}

// sendAppend sends one append, possibly without entries, or a snapshot chunk if
// the entries are compacted.
func (n *Node) sendAppend(to uint64) {
	pr := n.progress[to]
	if pr.state == stateSnapshot {
		n.sendSnapshotChunk(to)
		return
	}
	previous := pr.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		pr.becomeSnapshot(n.snapshot.Index)
		n.sendSnapshotChunk(to)
		return
	}
	entries := n.log.entriesAfter(previous, maxAppendBytes)
	n.send(Message{
		Kind: KindAppend, To: to, Index: previous, LogTerm: term,
		Entries: entries, Commit: n.log.committed,
	})
	if len(entries) > 0 || pr.state == stateProbe {
		pr.sentAppend(previous + uint64(len(entries)))
	}
}

// handleAppend ignores an append that no leader of this group can have sent.
func (n *Node) handleAppend(m Message) {
	if !m.appendsInOrder() {
		return
	}
	if m.Index < n.log.committed {
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if !n.log.matchTerm(m.Index, m.LogTerm) {
		hint := n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return
	}
	if !n.mergeEntries(m.Entries) {
		return
	}
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// appendsInOrder reports whether the entries follow the one at Index without a gap.
func (m *Message) appendsInOrder() bool {
	for i, e := range m.Entries {
		if e.Index == 0 || e.Index-1 != m.Index+uint64(i) {
			return false
		}
	}
	return true
}

// mergeEntries appends the leader's entries and truncates conflicting local ones. It returns false,
// and changes nothing, if they hold a membership that can't be decoded.
func (n *Node) mergeEntries(entries []Entry) bool {
	first := n.log.findConflict(entries)
	if first == len(entries) {
		return true
	}
	added := entries[first:]
	memberships, err := decodeMemberships(added)
	if err != nil {
		return false
	}
	if added[0].Index <= n.log.lastIndex() {
		n.log.truncate(added[0].Index - 1)
		n.truncateMemberships(added[0].Index)
	}
	n.log.append(added...)
	n.memberships = append(n.memberships, memberships...)
	return true
}

func (n *Node) handlePeerReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	switch {
	case !m.EmptyLog:
		pr.lastContact, pr.heard = n.ticks, true
		pr.readRound = max(pr.readRound, m.ReadRound)
	case pr.match > 0:
		// The peer has lost its disk. It detects this itself from the membership
		// in the snapshot that it receives.
		pr.match = 0
		pr.becomeProbe(1)
	}
	switch m.Kind {
	case KindHeartbeatReply:
		n.handleHeartbeatReply(m, pr)
	case KindSnapshotReply:
		n.handleSnapshotReply(m, pr)
	case KindAppendReply:
		if m.Reject {
			n.handleAppendRejection(m, pr)
		} else {
			n.handleAppendAck(m, pr)
		}
	}
}

func (n *Node) handleAppendRejection(m Message, pr *progress) {
	stale := m.Index <= pr.match || pr.state == stateProbe && m.Index != pr.next-1
	if stale || pr.state == stateSnapshot {
		return
	}
	pr.becomeProbe(max(pr.match+1, min(m.Hint+1, m.Index)))
	n.sendAppend(m.From)
}

func (n *Node) handleAppendAck(m Message, pr *progress) {
	if m.Index > n.log.lastIndex() {
		return
	}
	updated := pr.maybeUpdate(m.Index)
	switch {
	case pr.state == stateProbe:
		pr.becomeReplicate()
	case pr.state == stateSnapshot && pr.match >= n.log.compactedIndex:
		pr.becomeProbe(pr.match + 1)
	}
	if updated {
		n.maybeCommit()
	}
	n.sendAppends(m.From)
	n.maybeSendTimeoutNow(m.From)
}

// maybeCommit advances the commit index to what a quorum has synced. Only an
// entry of the current term is committed by counting replicas.
func (n *Node) maybeCommit() {
	var matches []uint64
	for _, id := range n.voters() {
		matches = append(matches, n.progress[id].match)
	}
	index := quorumValue(matches)
	if index > n.log.committed && n.log.matchTerm(index, n.term) {
		n.commitTo(index)
	}
}

func (n *Node) commitTo(index uint64) {
	n.log.committed = max(n.log.committed, min(index, n.log.lastIndex()))
}
