package replication

// SnapshotChunkBytes is the maximum payload of one snapshot chunk, in bytes.
const SnapshotChunkBytes = 256 << 10

// maxSnapshotBytes limits the memory that a received snapshot may occupy.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	meta SnapshotMeta
	from uint64
	data []byte
}

func (n *Node) sendSnapshotChunk(to uint64) {
	pr := n.progress[to]
	if pr.pendingSnapshot != n.snapshot.Index {
		pr.becomeSnapshot(n.snapshot.Index)
	}
	n.send(Message{
		Kind: KindSnapshot, To: to,
		Chunk: &SnapshotChunk{Meta: n.snapshot, Offset: pr.snapshotOffset},
	})
}

// handleSnapshot assembles the chunks in order. Ready returns the complete
// snapshot, and the acknowledgement is sent after it has been persisted.
func (n *Node) handleSnapshot(m Message) {
	c := m.Chunk
	if c == nil || c.Size > maxSnapshotBytes {
		return
	}
	if n.log.matchTerm(c.Meta.Index, c.Meta.Term) {
		// The entries after it may already be acknowledged, so the log must not be
		// replaced.
		n.commitTo(c.Meta.Index)
	}
	if c.Meta.Index <= n.log.committed {
		n.incoming = nil
		n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if n.isVoterWithoutLog(c.Meta) {
		n.identityLost = true
		return
	}
	have := n.receiveChunk(m.From, c)
	if have < c.Size {
		n.sendAfterSync(Message{Kind: KindSnapshotReply, To: m.From, Index: c.Meta.Index, Hint: have})
		return
	}
	n.installSnapshot(Snapshot{Meta: c.Meta, Data: n.incoming.data})
	n.sendAfterSync(Message{Kind: KindAppendReply, To: m.From, Index: c.Meta.Index})
}

// isVoterWithoutLog reports whether this replica has an empty log but is a voter.
// That means a lost disk: a new replica becomes a voter only after it has
// acknowledged the log as a learner.
func (n *Node) isVoterWithoutLog(meta SnapshotMeta) bool {
	if n.log.lastIndex() > 0 {
		return false
	}
	at := meta.Membership.indexOf(n.id)
	return at >= 0 && !meta.Membership.Peers[at].Learner
}

// receiveChunk appends a chunk if it is the next one, and returns the number of
// bytes received so far.
func (n *Node) receiveChunk(from uint64, c *SnapshotChunk) uint64 {
	in := n.incoming
	if in == nil || in.from != from || in.meta.Index != c.Meta.Index || in.meta.Term != c.Meta.Term {
		in = &incomingSnapshot{meta: c.Meta, from: from}
		n.incoming = in
	}
	have := uint64(len(in.data))
	if c.Offset == have && have+uint64(len(c.Data)) <= c.Size {
		in.data = append(in.data, c.Data...)
	}
	return uint64(len(in.data))
}

// installSnapshot replaces the log by the snapshot.
func (n *Node) installSnapshot(s Snapshot) {
	n.incoming = nil
	n.receivedSnapshot = &s
	n.snapshot = s.Meta
	n.log.reset(s.Meta.Index, s.Meta.Term)
	n.memberships = []membershipEntry{{s.Meta.Index, s.Meta.Membership}}
}

// handleSnapshotReply sends the next chunk. A reply that does not advance the
// offset is a duplicate; lost chunks are resent after a heartbeat reply.
func (n *Node) handleSnapshotReply(m Message, pr *progress) {
	if pr.state != stateSnapshot || m.Index != pr.pendingSnapshot || m.Hint == pr.snapshotOffset {
		return
	}
	pr.snapshotOffset = m.Hint
	n.sendSnapshotChunk(m.From)
}

// SnapshotMeta returns the metadata for a snapshot of the state machine after
// the entry at index, which must be applied and not compacted.
func (n *Node) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: n.membershipAt(index)}
}

// Compact discards log entries covered by a snapshot that the caller has
// persisted, except for the last keep entries before its index. These let slow
// followers catch up without a snapshot transfer.
func (n *Node) Compact(meta SnapshotMeta, keep uint64) {
	if meta.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = meta
	if meta.Index > keep {
		n.log.compact(meta.Index - keep)
	}
	n.compactMemberships(n.log.compactedIndex)
}
