package replication

// ReadState is a confirmed read: the state machine answers it once it has
// applied the entry at Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id, index, round uint64
}

// readQueue holds reads until a quorum confirms the leader in a round of
// heartbeats begun after the read arrived.
type readQueue struct {
	waiting   []uint64 // ids without a round
	pending   []pendingRead
	round     uint64
	confirmed []ReadState
}

func (q *readQueue) clear() { *q = readQueue{} }

// Read asks for a confirmed read. The id returns in Ready.Reads, or never if
// leadership is lost; the caller watches for that.
func (n *Node) Read(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// startReadRound gives the reads that wait one common round. A leader that has
// not yet committed an entry of its term may not know the latest commit index,
// so its reads wait on.
func (n *Node) startReadRound() {
	q := &n.reads
	if n.role != Leader || len(q.waiting) == 0 || !n.committedOwnTerm() {
		return
	}
	q.round++
	for _, id := range q.waiting {
		q.pending = append(q.pending, pendingRead{id, n.log.committed, q.round})
	}
	q.waiting = nil
	if n.disabled.NoReadConfirmation {
		n.finishReads(q.round)
		return
	}
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) committedOwnTerm() bool { return n.log.matches(n.log.committed, n.term) }

// confirmReads releases the reads whose round a quorum has answered.
func (n *Node) confirmReads() {
	var rounds []uint64
	for _, id := range n.voters() {
		if id == n.id {
			rounds = append(rounds, n.reads.round)
			continue
		}
		rounds = append(rounds, n.progress[id].round)
	}
	n.finishReads(quorumValue(rounds))
}

func (n *Node) finishReads(round uint64) {
	q := &n.reads
	for len(q.pending) > 0 && q.pending[0].round <= round {
		q.confirmed = append(q.confirmed, ReadState{q.pending[0].id, q.pending[0].index})
		q.pending = q.pending[1:]
	}
}

func (n *Node) broadcastHeartbeat() {
	n.heartbeatElapsed = 0
	for _, p := range n.membership().Peers {
		if p.ID == n.id {
			continue
		}
		n.send(Message{
			Kind: KindHeartbeat, To: p.ID, Round: n.reads.round,
			Commit: min(n.log.committed, n.progress[p.ID].match),
		})
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.reply(Message{Kind: KindHeartbeatReply, To: m.From, Round: m.Round})
}

// handleHeartbeatReply also repairs lost appends: it sends on from the next
// entry, and the peer refuses that if one before it is missing.
func (n *Node) handleHeartbeatReply(m Message, pr *progress) {
	n.confirmReads()
	pr.paused = false
	if pr.state == stateReplicate && len(pr.inflight) >= maxInflight {
		pr.inflight = pr.inflight[1:]
	}
	if pr.match < n.log.last() {
		n.sendAppend(m.From)
	}
}
