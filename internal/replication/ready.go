package replication

// Ready is what the caller carries out, in this order: send Messages; persist
// Snapshot, then HardState and Entries, synced if MustSync; send Replies;
// restore Snapshot into the state machine and apply Committed; call Advance.
//
// Invariant: nothing that another replica may count on (a vote, an
// acknowledgement) leaves before the state behind it is synced. Messages holds
// only a leader's appends, heartbeats, chunks and orders, which claim nothing
// about its own disk beyond the term, synced when it became a candidate.
type Ready struct {
	Messages  []Message
	Snapshot  *Snapshot
	HardState HardState
	Entries   []Entry
	MustSync  bool
	Replies   []Message
	// Committed are synced on this replica and committed by the group.
	Committed []Entry
	// Reads may be answered once their index is applied.
	Reads []ReadState
}

// Empty tells that there is nothing to carry out.
func (r Ready) Empty() bool {
	return !r.MustSync && len(r.Messages)+len(r.Replies)+len(r.Committed)+len(r.Reads) == 0
}

// Ready collects the work due. If it is not empty, Advance must follow before
// any other call.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.broadcastAppend()
	}
	n.startReadRound()
	hard := n.hardState()
	rd := Ready{
		Messages: n.messages, Replies: n.replies, HardState: hard,
		Snapshot: n.installed, Entries: n.log.slice(n.log.stable, n.log.last()),
		Committed: n.log.slice(n.log.applied, min(n.log.committed, n.log.stable)),
		Reads:     n.reads.confirmed,
	}
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 ||
		hard.Term != n.persisted.Term || hard.Vote != n.persisted.Vote
	if n.disabled.NoPersistFirst {
		rd.Messages, rd.Replies = append(rd.Messages, rd.Replies...), nil
	}
	return rd
}

// Advance records that rd has been carried out.
func (n *Node) Advance(rd Ready) {
	n.messages, n.replies, n.installed = nil, nil, nil
	n.reads.confirmed = nil
	if rd.MustSync {
		n.persisted = rd.HardState
		n.log.stable = n.log.last()
	}
	if len(rd.Committed) > 0 {
		n.log.applied = rd.Committed[len(rd.Committed)-1].Index
	}
	n.countOwnSync()
}

// countOwnSync lets the own vote and the own log count once they are synced.
func (n *Node) countOwnSync() {
	if n.role == Candidate && n.selfVoteTerm == n.term {
		n.selfVoteTerm = 0
		n.recordVote(n.id, true)
	}
	if n.role != Leader {
		return
	}
	if n.progress[n.id].acknowledge(n.log.stable) {
		n.maybeCommit()
	}
}
