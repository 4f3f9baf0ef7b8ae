package replication

// TransferLeadership starts a leadership transfer to a voter. Proposals are
// rejected until the transfer completes or an election timeout has passed.
func (n *Node) TransferLeadership(to uint64) error {
	switch {
	case n.role != Leader:
		return ErrNotLeader
	case to == n.id:
		return nil
	case !n.isVoter(to):
		return ErrUnknownPeer
	}
	n.transferee = to
	n.electionElapsed = 0
	n.maybeSendTimeoutNow(to)
	if n.progress[to].match < n.log.lastIndex() {
		n.sendAppends(to)
	}
	return nil
}

// maybeSendTimeoutNow makes the transferee start an election once it has the
// whole log.
func (n *Node) maybeSendTimeoutNow(from uint64) {
	if n.transferee == from && n.progress[from].match == n.log.lastIndex() {
		n.send(Message{Kind: KindTimeoutNow, To: from})
	}
}

func (n *Node) handleTimeoutNow() {
	if n.role != Leader && n.isVoter(n.id) {
		n.startElection(true)
	}
}

// MostUpToDateVoter returns the active voter, other than this replica, with the
// largest match index, or None. Ties go to the voter with the most recent
// message, because the other may have just stopped.
func (n *Node) MostUpToDateVoter() uint64 {
	best := None
	if n.role != Leader {
		return best
	}
	for _, id := range n.voters() {
		if id == n.id || !n.isActive(id) {
			continue
		}
		if best == None || n.progress[id].isMoreUpToDateThan(n.progress[best]) {
			best = id
		}
	}
	return best
}
