package replication

// TransferLeadership asks a voter to take over. Proposals are refused until it
// does, or until an election timeout has passed.
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
	n.continueTransfer(to)
	if n.progress[to].match < n.log.last() {
		n.sendNews(to)
	}
	return nil
}

// continueTransfer orders the election once the transferee has the whole log.
func (n *Node) continueTransfer(from uint64) {
	if n.transferee == from && n.progress[from].match == n.log.last() {
		n.send(Message{Kind: KindTimeoutNow, To: from})
	}
}

func (n *Node) handleTimeoutNow() {
	if n.role != Leader && n.isVoter(n.id) {
		n.startElection(true)
	}
}

// MostCurrentVoter returns the active voter other than this one that has synced
// the most of the log, or None. Of several it is the one heard of last: another
// may have just stopped.
func (n *Node) MostCurrentVoter() uint64 {
	best := None
	if n.role != Leader {
		return best
	}
	for _, id := range n.voters() {
		if id == n.id || !n.active(id) {
			continue
		}
		if best == None || n.progress[id].moreCurrentThan(n.progress[best]) {
			best = id
		}
	}
	return best
}
