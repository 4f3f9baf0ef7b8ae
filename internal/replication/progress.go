package replication

import "slices"

// progressState determines how a leader sends entries to a peer.
type progressState uint8

const (
	// stateProbe sends one append at a time until the match index is known.
	stateProbe progressState = iota
	// stateReplicate pipelines appends without waiting for acknowledgements.
	stateReplicate
	// stateSnapshot sends chunks of a snapshot.
	stateSnapshot
)

const (
	// maxInflightAppends limits the unacknowledged appends to one peer.
	maxInflightAppends = 64
	// maxAppendBytes limits the payload of one append, in bytes. An append holds at
	// least one entry even if that is larger.
	maxAppendBytes = 256 << 10
	// entryOverheadBytes is the encoded size of an entry without its data.
	entryOverheadBytes = 24
)

// progress is the leader's view of a peer's log.
type progress struct {
	match           uint64 // match index: last entry known to be synced on the peer
	next            uint64 // next index: next entry to send
	state           progressState
	probeSent       bool     // probe sent, reply pending
	inflight        []uint64 // last entry of each unacknowledged append
	lastContact     uint64   // tick of the last message from the peer, or of the start of the term
	heard           bool     // the peer has sent a message in this term
	readRound       uint64   // latest read round that the peer confirmed
	pendingSnapshot uint64   // index of the snapshot being transferred
	snapshotOffset  uint64   // offset of the next snapshot byte to send
}

func (p *progress) becomeProbe(next uint64) {
	p.state, p.next, p.probeSent = stateProbe, next, false
	p.inflight = nil
}

func (p *progress) becomeReplicate() {
	p.state, p.next, p.probeSent = stateReplicate, max(p.next, p.match+1), false
	p.inflight = nil
}

func (p *progress) becomeSnapshot(index uint64) {
	p.state, p.pendingSnapshot, p.snapshotOffset = stateSnapshot, index, 0
	p.inflight = nil
}

// maybeUpdate records that the peer has synced its log up to index, and reports
// whether the match index advanced.
func (p *progress) maybeUpdate(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	return advanced
}

// sentAppend records that an append whose last entry is at index was sent.
func (p *progress) sentAppend(index uint64) {
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

func (p *progress) isPaused() bool {
	return p.state == stateProbe && p.probeSent || p.state == stateReplicate && len(p.inflight) >= maxInflightAppends
}

// quorumValue returns the largest value that a majority of values reaches or exceeds.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// isMoreUpToDateThan reports whether the peer has a larger match index than
// another or, if both are equal, sent a message more recently.
func (p *progress) isMoreUpToDateThan(other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	return p.lastContact > other.lastContact
}
