package replication

// Ready is the work that the caller carries out, in this order: send Messages;
// persist Snapshot, then HardState and Entries, synced if MustSync; send
// MessagesAfterSync; restore Snapshot into the state machine and apply
// Committed; call Advance.
//
// Invariant: a message on which another replica may rely (a vote, an
// acknowledgement) is not sent before the state behind it is synced. Messages
// holds only a leader's appends, heartbeats, snapshot chunks and KindTimeoutNow
// requests. They imply nothing about the leader's disk beyond the term, which it
// synced as a candidate.
type Ready struct {
	Messages          []Message
	Snapshot          *Snapshot
	HardState         HardState
	Entries           []Entry
	MustSync          bool
	MessagesAfterSync []Message
	// Committed are the entries to apply: synced on this replica and committed by
	// the group.
	Committed []Entry
	// Reads are the confirmed reads. Each may be served once its index is applied.
	Reads []ReadState
}

// Empty reports whether there is no work.
func (r Ready) Empty() bool {
	return !r.MustSync && len(r.Messages)+len(r.MessagesAfterSync)+len(r.Committed)+len(r.Reads) == 0
}

// Ready returns the pending work. If it is not empty, Advance must be called
// before any other method.
func (n *Node) Ready() Ready {
	if n.role == Leader {
		n.broadcastAppend()
	}
	n.startReadRound()
	hard := n.hardState()
	rd := Ready{
		Messages: n.messages, MessagesAfterSync: n.messagesAfterSync, HardState: hard,
		Snapshot: n.receivedSnapshot, Entries: n.log.slice(n.log.stable, n.log.lastIndex()),
		Committed: n.log.slice(n.log.applied, min(n.log.committed, n.log.stable)),
		Reads:     n.reads.confirmed,
	}
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 ||
		hard.Term != n.persisted.Term || hard.Vote != n.persisted.Vote
	if n.disabled.SyncBeforeReply {
		rd.Messages, rd.MessagesAfterSync = append(rd.Messages, rd.MessagesAfterSync...), nil
	}
	return rd
}

// Advance records that the work in rd, the result of the last Ready, is done.
func (n *Node) Advance(rd Ready) {
	n.messages, n.messagesAfterSync, n.receivedSnapshot = nil, nil, nil
	n.reads.confirmed = nil
	if rd.MustSync {
		n.persisted = rd.HardState
		n.log.stable = n.log.lastIndex()
	}
	if len(rd.Committed) > 0 {
		n.log.applied = rd.Committed[len(rd.Committed)-1].Index
	}
	n.recordLocalSync()
}

// recordLocalSync counts this replica's vote for itself and its own log entries
// towards the quorum once they are synced.
func (n *Node) recordLocalSync() {
	if n.role == Candidate && n.selfVoteTerm == n.term {
		n.selfVoteTerm = 0
		n.recordVote(n.id, true)
	}
	if n.role != Leader {
		return
	}
	if n.progress[n.id].maybeUpdate(n.log.stable) {
		n.maybeCommit()
	}
}
