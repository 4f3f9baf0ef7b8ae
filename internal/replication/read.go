package replication

// ReadState is a confirmed read request: the state machine may serve it once it
// has applied the entry at Index.
type ReadState struct {
	ID    uint64
	Index uint64
}

type pendingRead struct {
	id, index, round uint64
}

// readQueue holds read requests until a quorum confirms the leader in a round of
// heartbeats that started after the request arrived.
type readQueue struct {
	waiting   []uint64 // ids of requests not yet assigned to a round
	pending   []pendingRead
	round     uint64
	confirmed []ReadState
}

func (q *readQueue) clear() { *q = readQueue{} }

// ReadIndex requests a linearizable read. The id is returned in Ready.Reads, or
// never if leadership is lost; the caller must watch for that.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// startReadRound assigns all waiting reads to one round. A leader that has not
// yet committed an entry of its term may not know the latest commit index, so
// its reads keep waiting.
func (n *Node) startReadRound() {
	q := &n.reads
	if n.role != Leader || len(q.waiting) == 0 || !n.committedEntryInCurrentTerm() {
		return
	}
	q.round++
	for _, id := range q.waiting {
		q.pending = append(q.pending, pendingRead{id, n.log.committed, q.round})
	}
	q.waiting = nil
	if n.disabled.ReadConfirmation {
		n.releaseReads(q.round)
		return
	}
	n.broadcastHeartbeat()
	n.confirmReads()
}

func (n *Node) committedEntryInCurrentTerm() bool { return n.log.matchTerm(n.log.committed, n.term) }

// confirmReads releases the reads whose round a quorum has confirmed.
func (n *Node) confirmReads() {
	var rounds []uint64
	for _, id := range n.voters() {
		if id == n.id {
			rounds = append(rounds, n.reads.round)
			continue
		}
		rounds = append(rounds, n.progress[id].readRound)
	}
	n.releaseReads(quorumValue(rounds))
}

func (n *Node) releaseReads(round uint64) {
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
			Kind: KindHeartbeat, To: p.ID, ReadRound: n.reads.round,
			Commit: min(n.log.committed, n.progress[p.ID].match),
		})
	}
}

func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.sendAfterSync(Message{Kind: KindHeartbeatReply, To: m.From, ReadRound: m.ReadRound})
}

// handleHeartbeatReply also recovers from lost appends: it sends the entries from
// the next index on, and the peer rejects them if an earlier one is missing.
func (n *Node) handleHeartbeatReply(m Message, pr *progress) {
	n.confirmReads()
	pr.probeSent = false
	if pr.state == stateReplicate && len(pr.inflight) >= maxInflightAppends {
		pr.inflight = pr.inflight[1:]
	}
	if pr.match < n.log.lastIndex() {
		n.sendAppend(m.From)
	}
}
