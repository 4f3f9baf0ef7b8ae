package replication

import "slices"

// progressState tells how a leader sends entries to a peer.
type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to agree.
	stateProbe progressState = iota
	// stateReplicate sends appends ahead of their acknowledgements.
	stateReplicate
	// stateSnapshot sends chunks of a snapshot.
	stateSnapshot
)

const (
	// maxInflight bounds the appends under way to one peer.
	maxInflight = 64
	// maxAppendBytes bounds the payload of one append, in bytes.
	maxAppendBytes = 256 << 10
	// entryOverhead is the encoded size of an entry without its data, in bytes.
	entryOverhead = 24
)

// progress is what a leader knows of a peer.
type progress struct {
	match     uint64 // last entry that the peer has synced
	next      uint64 // next entry to send
	state     progressState
	paused    bool // probe sent, reply outstanding
	inflight  []uint64
	lastHeard uint64 // tick of the last message from the peer
	round     uint64 // last read round that the peer confirmed
	snapshot  uint64 // index of the snapshot under way
	offset    uint64 // next byte of the snapshot to send
}

func (p *progress) toProbe(next uint64) {
	p.state, p.next, p.paused = stateProbe, next, false
	p.inflight = nil
}

func (p *progress) toReplicate() {
	p.state, p.next, p.paused = stateReplicate, max(p.next, p.match+1), false
	p.inflight = nil
}

func (p *progress) toSnapshot(index uint64) {
	p.state, p.snapshot, p.offset = stateSnapshot, index, 0
	p.inflight = nil
}

// acknowledge records that the peer has synced up to index and tells whether
// that is news.
func (p *progress) acknowledge(index uint64) bool {
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	return news
}

// sent records an append that ends at index.
func (p *progress) sent(index uint64) {
	if p.state == stateProbe {
		p.paused = true
		return
	}
	p.next = index + 1
	p.inflight = append(p.inflight, index)
}

func (p *progress) blocked() bool {
	return p.state == stateProbe && p.paused || p.state == stateReplicate && len(p.inflight) >= maxInflight
}

// quorumValue returns the largest value that a majority of values reaches.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// moreCurrentThan tells whether the peer has synced more than another or, with as
// much, was heard of later.
func (p *progress) moreCurrentThan(other *progress) bool {
	if p.match != other.match {
		return p.match > other.match
	}
	return p.lastHeard > other.lastHeard
}
