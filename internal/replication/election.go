package replication

func (n *Node) becomeFollower(term, leader uint64) {
	if n.role == Leader || term != n.term {
		n.reads.clear()
		n.transferee = None
		n.progress = nil
	}
	if term != n.term {
		n.term, n.vote = term, None
	}
	n.role, n.leader = Follower, leader
	n.votes = nil
	n.resetElectionTimeout()
}

func (n *Node) resetElectionTimeout() {
	n.electionElapsed = 0
	if n.leader != None {
		n.eager = 0
	}
	if n.eager > 0 {
		n.eager--
		n.electionTimeout = n.heartbeatTicks + n.random.IntN(n.electionTicks)/2
		return
	}
	n.electionTimeout = n.electionTicks + n.random.IntN(n.electionTicks)
}

// startElection asks for votes. Unless the leader ordered the election, a
// pre-vote comes first: it raises no term, so a replica that can't win does
// not disturb the others.
func (n *Node) startElection(forced bool) {
	n.leader = None
	n.votes = map[uint64]bool{}
	n.resetElectionTimeout()
	if !forced && !n.disabled.NoPreVote {
		n.role = PreCandidate
		n.requestVotes(KindPreVote, n.term+1, false)
		n.recordVote(n.id, true)
		return
	}
	n.becomeCandidate(forced)
}

func (n *Node) becomeCandidate(forced bool) {
	n.role, n.leader = Candidate, None
	n.term++
	n.vote = n.id
	n.votes = map[uint64]bool{}
	n.reads.clear()
	n.resetElectionTimeout()
	n.selfVoteTerm = n.term
	n.requestVotes(KindVote, n.term, forced)
}

func (n *Node) requestVotes(kind MessageKind, term uint64, forced bool) {
	for _, id := range n.voters() {
		if id == n.id {
			continue
		}
		n.reply(Message{
			Kind: kind, To: id, Term: term, Forced: forced,
			Index: n.log.last(), LogTerm: n.log.lastTerm(),
		})
	}
}

// handleVoteRequest answers a pre-vote of a newer term or a vote of the
// present one. A replica without any log has no claim to a vote: either it
// joins, or it has lost its disk.
func (n *Node) handleVoteRequest(m Message) {
	grant := n.log.last() > 0 && n.log.upToDate(m.Index, m.LogTerm)
	if m.Kind == KindPreVote {
		grant = grant && m.Term > n.term
		n.replyVote(KindPreVoteReply, m, grant)
		return
	}
	grant = grant && (n.vote == m.From || n.vote == None && n.leader == None)
	if grant {
		n.vote = m.From
		n.electionElapsed = 0
	}
	n.replyVote(KindVoteReply, m, grant)
}

// replyVote grants with the term of the request, and refuses with its own.
func (n *Node) replyVote(kind MessageKind, m Message, grant bool) {
	answer := Message{Kind: kind, To: m.From, Reject: !grant}
	if grant {
		answer.Term = m.Term
	}
	n.reply(answer)
}

func (n *Node) handleVoteReply(m Message) {
	switch {
	case n.role == PreCandidate && m.Kind == KindPreVoteReply && (m.Reject || m.Term == n.term+1):
	case n.role == Candidate && m.Kind == KindVoteReply && m.Term == n.term:
	default:
		return
	}
	n.recordVote(m.From, !m.Reject)
}

func (n *Node) recordVote(from uint64, granted bool) {
	if _, voted := n.votes[from]; !voted {
		n.votes[from] = granted
	}
	yes, no := 0, 0
	voters := n.voters()
	for _, id := range voters {
		if granted, voted := n.votes[id]; voted && granted {
			yes++
		} else if voted {
			no++
		}
	}
	quorum := len(voters)/2 + 1
	switch {
	case yes >= quorum && n.role == PreCandidate:
		n.becomeCandidate(false)
	case yes >= quorum:
		n.becomeLeader()
	case no >= quorum:
		n.becomeFollower(n.term, None)
	}
}

// becomeLeader starts the term with an empty entry: entries of earlier terms
// commit only together with one of the leader's own, and reads wait for it.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.votes = nil
	n.transferee = None
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.reads.clear()
	n.progress = map[uint64]*progress{}
	n.followMembership()
	n.progress[n.id].match = n.log.stable
	n.appendOwn(EntryEmpty, nil)
	n.broadcastAppend()
}

func (n *Node) tickLeader() {
	if !n.disabled.NoCheckQuorum && !n.quorumActive() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.electionElapsed >= n.electionTicks {
		n.electionElapsed = 0
		n.transferee = None
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.heartbeatTicks {
		n.broadcastHeartbeat()
	}
}

// active tells whether a peer was heard of within the election timeout.
func (n *Node) active(id uint64) bool {
	if id == n.id {
		return true
	}
	return n.now-n.progress[id].lastHeard <= uint64(n.electionTicks)
}

func (n *Node) quorumActive() bool {
	voters := n.voters()
	count := 0
	for _, id := range voters {
		if n.active(id) {
			count++
		}
	}
	return count >= len(voters)/2+1
}
