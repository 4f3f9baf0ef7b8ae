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
		n.shortTimeoutsLeft = 0
	}
	if n.shortTimeoutsLeft > 0 {
		n.shortTimeoutsLeft--
		n.electionTimeout = n.heartbeatTicks + n.random.IntN(n.electionTicks)/2
		return
	}
	n.electionTimeout = n.electionTicks + n.random.IntN(n.electionTicks)
}

// startElection requests votes. A pre-vote comes first, except in a leadership
// transfer: it does not increment the term, so a replica that can't win the
// election does not disrupt the others.
func (n *Node) startElection(leadershipTransfer bool) {
	n.leader = None
	n.votes = map[uint64]bool{}
	n.resetElectionTimeout()
	if !leadershipTransfer && !n.disabled.PreVote {
		n.role = PreCandidate
		n.requestVotes(KindPreVote, n.term+1, false)
		n.recordVote(n.id, true)
		return
	}
	n.becomeCandidate(leadershipTransfer)
}

func (n *Node) becomeCandidate(leadershipTransfer bool) {
	n.role, n.leader = Candidate, None
	n.term++
	n.vote = n.id
	n.votes = map[uint64]bool{}
	n.reads.clear()
	n.resetElectionTimeout()
	n.selfVoteTerm = n.term
	n.requestVotes(KindVote, n.term, leadershipTransfer)
}

func (n *Node) requestVotes(kind MessageKind, term uint64, leadershipTransfer bool) {
	for _, id := range n.voters() {
		if id == n.id {
			continue
		}
		n.sendAfterSync(Message{
			Kind: kind, To: id, Term: term, LeadershipTransfer: leadershipTransfer,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
		})
	}
}

// handleVoteRequest handles a pre-vote of a newer term or a vote of the current
// one. A replica with an empty log grants no vote: either it is joining, or it
// has lost its disk and with it the record of its earlier votes.
func (n *Node) handleVoteRequest(m Message) {
	grant := n.log.lastIndex() > 0 && n.log.isUpToDate(m.Index, m.LogTerm)
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

// replyVote replies with the term of the request if the vote is granted, and with
// the local term if it is rejected.
func (n *Node) replyVote(kind MessageKind, m Message, grant bool) {
	reply := Message{Kind: kind, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.sendAfterSync(reply)
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
	votesGranted, votesRejected := 0, 0
	voters := n.voters()
	for _, id := range voters {
		if granted, voted := n.votes[id]; voted && granted {
			votesGranted++
		} else if voted {
			votesRejected++
		}
	}
	quorum := len(voters)/2 + 1
	switch {
	case votesGranted >= quorum && n.role == PreCandidate:
		n.becomeCandidate(false)
	case votesGranted >= quorum:
		n.becomeLeader()
	case votesRejected >= quorum:
		n.becomeFollower(n.term, None)
	}
}

// becomeLeader starts the term with a no-op entry: entries of earlier terms are
// committed only together with an entry of the current term, and reads wait for
// that commit.
func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.id
	n.votes = nil
	n.transferee = None
	n.electionElapsed, n.heartbeatElapsed = 0, 0
	n.reads.clear()
	n.progress = map[uint64]*progress{}
	n.reconcileProgress()
	n.progress[n.id].match = n.log.stable
	n.appendEntry(EntryNoop, nil)
	n.broadcastAppend()
}

func (n *Node) tickLeader() {
	if !n.disabled.CheckQuorum && !n.quorumActive() {
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

// isActive reports whether a peer sent a message within the election timeout.
func (n *Node) isActive(id uint64) bool {
	if id == n.id {
		return true
	}
	return n.ticks-n.progress[id].lastContact <= uint64(n.electionTicks)
}

func (n *Node) quorumActive() bool {
	voters := n.voters()
	count := 0
	for _, id := range voters {
		if n.isActive(id) {
			count++
		}
	}
	return count >= len(voters)/2+1
}
