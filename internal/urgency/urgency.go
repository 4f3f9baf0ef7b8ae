// Package urgency values requests where there is too little capacity for all: which of two goes first,
// up to which share of a capacity one is still admitted, and when a refused one should come back. It has
// no clock and no state of its own but History, to which the time is passed in, and depends on no other
// package of the tree.
package urgency

import (
	"cmp"
	"time"
)

const (
	// prefillPerMS, decodePerMS and bytesPerMS convert work to time: an engine prefills about 50 tokens
	// in a millisecond and generates about 10 for all its streams together, and a link of 10 Mbit/s
	// carries 1,250 bytes.
	prefillPerMS = 50
	decodePerMS  = 10
	bytesPerMS   = 1250
	// rankStep is the share of a capacity that each rank has less than the one before, and minShare the
	// smallest share of any request.
	rankStep = 0.10
	minShare = 0.4
	// typicalCost is the work for which a request's share is in the middle of the range of its rank.
	typicalCost = 100 * time.Millisecond
)

// Work describes a request as far as its value and its need of capacity are concerned.
type Work struct {
	// Rank is the priority; 0 is served first.
	Rank int
	// Objective is the time from the arrival within which the answer should begin; 0 for none.
	Objective time.Duration
	// Waited is the time since the arrival, and Left the time to the deadline.
	Waited, Left time.Duration
	// Prefill and Decode are the tokens to prefill and to generate; 0 for plain services.
	Prefill, Decode int64
	// Service is the time for which the request occupies a place at a plain upstream, if known.
	Service time.Duration
	// Bytes is the number of bytes to carry.
	Bytes int64
	// Resumes reports that the caller has part of the answer already: the work spent on it is lost if
	// the request is refused.
	Resumes bool
	// Organisation is used only by History; it may be empty.
	Organisation string
}

// Cost returns the work of the request as the time for which it keeps an engine, a place or a link busy.
func (w Work) Cost() time.Duration {
	ms := float64(w.Prefill)/prefillPerMS + float64(w.Decode)/decodePerMS + float64(w.Bytes)/bytesPerMS
	return w.Service + time.Duration(ms*float64(time.Millisecond))
}

// Slack returns the time that is left until the answer must begin to be on time. Without an objective it
// is the time to the deadline.
func (w Work) Slack() time.Duration {
	if w.Objective <= 0 {
		return w.Left
	}
	return min(w.Objective-w.Waited, w.Left)
}

// Outlook is what can be expected of a request whose answer begins at a predicted time.
type Outlook uint8

// The values of Outlook.
const (
	// OnTime: within the latency objective.
	OnTime Outlook = iota
	// Late: after the latency objective but before the deadline.
	Late
	// Hopeless: after the deadline.
	Hopeless
)

// Outlook returns what can be expected if the answer begins after the given time.
func (w Work) Outlook(first time.Duration) Outlook {
	switch {
	case first > w.Left:
		return Hopeless
	case first > w.Slack():
		return Late
	}
	return OnTime
}

// Compare orders two requests that compete for the next free place, the answer of which begins after
// first; the more urgent one is less. Rank goes first and, within a rank, resumed streams; then requests
// that can still be on time, as a late one loses little by waiting longer; then the one with less work and
// slack together.
func (w Work) Compare(other Work, first time.Duration) int {
	return cmp.Or(
		cmp.Compare(w.Rank, other.Rank),
		compareBool(other.Resumes, w.Resumes),
		cmp.Compare(w.Outlook(first), other.Outlook(first)),
		cmp.Compare(w.Cost()+w.Slack(), other.Cost()+other.Slack()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Share returns the share, from minShare to 1, of a capacity up to which the request may still be admitted
// while more urgent ones are refused. Any work of one rank has a larger share than that of the next;
// within a rank the share falls with the work. Resumed streams may use all of it.
func (w Work) Share() float64 {
	if w.Resumes {
		return 1
	}
	cost := w.Cost()
	inRank := float64(cost) / float64(cost+typicalCost)
	return max(1-rankStep*(float64(w.Rank)+inRank), minShare)
}

const (
	// minRetryAfter and maxRetryAfter bound the retry delay.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// RetryAfter returns the time after which a refused request should come back, if capacity is expected
// after wait: requests of a smaller share come later. The caller adds a random time, so that requests that
// were refused together do not return together.
func (w Work) RetryAfter(wait time.Duration) time.Duration {
	return min(max(time.Duration(float64(wait)*(2-w.Share())), minRetryAfter), maxRetryAfter)
}
