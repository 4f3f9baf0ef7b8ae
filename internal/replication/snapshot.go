package replication

// ChunkBytes is the largest payload of one snapshot chunk, in bytes.
const ChunkBytes = 256 << 10

// maxSnapshotBytes bounds the memory that a received snapshot may take.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a snapshot of which some chunks have arrived.
type incomingSnapshot struct {
	meta SnapshotMeta
	from uint64
	data []byte
}

func (n *Node) sendSnapshotChunk(to uint64) {
	pr := n.progress[to]
	if pr.snapshot != n.snapshot.Index {
		pr.toSnapshot(n.snapshot.Index)
	}
	n.send(Message{
		Kind: KindSnapshot, To: to,
		Chunk: &SnapshotChunk{Meta: n.snapshot, Offset: pr.offset},
	})
}

// handleSnapshot collects the chunks in order. The whole snapshot goes out in
// Ready, and the acknowledgement after it has been persisted.
func (n *Node) handleSnapshot(m Message) {
	c := m.Chunk
	if c == nil || c.Size > maxSnapshotBytes {
		return
	}
	if n.log.matches(c.Meta.Index, c.Meta.Term) {
		// The entries after it may be acknowledged and must stay.
		n.commitTo(c.Meta.Index)
	}
	if c.Meta.Index <= n.log.committed {
		n.incoming = nil
		n.reply(Message{Kind: KindAppendReply, To: m.From, Index: n.log.committed})
		return
	}
	if n.lostIdentity(c.Meta) {
		n.identityLost = true
		return
	}
	have := n.receiveChunk(m.From, c)
	if have < c.Size {
		n.reply(Message{Kind: KindSnapshotReply, To: m.From, Index: c.Meta.Index, Hint: have})
		return
	}
	n.install(Snapshot{Meta: c.Meta, Data: n.incoming.data})
	n.reply(Message{Kind: KindAppendReply, To: m.From, Index: c.Meta.Index})
}

// lostIdentity tells that a replica without a log is counted as a voter. A new
// replica becomes one only after it has acknowledged the log as a learner.
func (n *Node) lostIdentity(meta SnapshotMeta) bool {
	if n.log.last() > 0 {
		return false
	}
	at := meta.Membership.find(n.id)
	return at >= 0 && !meta.Membership.Peers[at].Learner
}

// receiveChunk returns the number of bytes received so far.
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

// install replaces the log by the snapshot.
func (n *Node) install(s Snapshot) {
	n.incoming = nil
	n.installed = &s
	n.snapshot = s.Meta
	n.log.reset(s.Meta.Index, s.Meta.Term)
	n.memberships = []membershipAt{{s.Meta.Index, s.Meta.Membership}}
}

// handleSnapshotReply sends the next chunk. A reply that brings no news is a
// duplicate; lost chunks are sent again after a heartbeat.
func (n *Node) handleSnapshotReply(m Message, pr *progress) {
	if pr.state != stateSnapshot || m.Index != pr.snapshot || m.Hint == pr.offset {
		return
	}
	pr.offset = m.Hint
	n.sendSnapshotChunk(m.From)
}

// SnapshotMeta returns what belongs to a snapshot of the state machine after
// the entry at index, which must be applied and not compacted.
func (n *Node) SnapshotMeta(index uint64) SnapshotMeta {
	term, _ := n.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: n.membershipAt(index)}
}

// Compact drops the log up to the entry `keep` before the snapshot, which the
// caller has persisted. The kept entries let slow peers catch up without it.
func (n *Node) Compact(meta SnapshotMeta, keep uint64) {
	if meta.Index <= n.snapshot.Index {
		return
	}
	n.snapshot = meta
	if meta.Index > keep {
		n.log.compact(meta.Index - keep)
	}
	n.compactMemberships(n.log.base)
}
