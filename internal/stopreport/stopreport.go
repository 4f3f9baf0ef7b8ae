// Package stopreport describes the streams that a stopping gateway host has open, and those that ended early while it stopped. The
// control hosts log them, as the log of a host that is gone may be gone too.
package stopreport

import (
	"math"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
)

const (
	// MaxStreams is the number of streams that a report describes. Others are only counted.
	MaxStreams = 16
	// MaxBytes bounds an encoded report.
	MaxBytes = 32 << 10
	// maxTextBytes bounds each text, and maxEndBytes the name of an end.
	maxTextBytes = 128
	maxEndBytes  = 32
	// maxEnds bounds the ends that a report counts, and maxCount the streams of one.
	maxEnds  = 16
	maxCount = 1 << 20
)

// EndNone is the end of a stream that is open, and EndOther that of one whose end is not understood.
const (
	EndNone  = "open"
	EndOther = "other"
)

// Report is what a stopping gateway host tells of its streams. Times are counted from the beginning of the stop, negative before it.
type Report struct {
	// Gateway is the name of the host.
	Gateway string `cbor:"1,keyasint"`
	// At is when the report was made.
	At time.Duration `cbor:"2,keyasint"`
	// Stalled is the time for which the process may not have run before it learned of the stop, and SignalDelay the longest time
	// that the signal may have taken by the plan of the stop.
	Stalled     time.Duration `cbor:"3,keyasint,omitempty"`
	SignalDelay time.Duration `cbor:"4,keyasint,omitempty"`
	// SyncAge is the time since the host's latest call to the control group that succeeded; negative if there was none.
	SyncAge time.Duration `cbor:"5,keyasint,omitempty"`
	// Open is the number of open streams.
	Open int `cbor:"6,keyasint,omitempty"`
	// Ends counts the streams that no earlier report of the stop has counted with the same end, by their end.
	Ends map[string]int `cbor:"7,keyasint,omitempty"`
	// Streams are MaxStreams of them at most, those that ended before their deadline first and expired ones last.
	Streams []Stream `cbor:"8,keyasint,omitempty"`
}

// Stream is a stream whose caller has got the beginning, but not yet the end.
type Stream struct {
	RequestID string `cbor:"1,keyasint"`
	Route     string `cbor:"2,keyasint,omitempty"`
	// EndedBy tells who ended the stream early; EndNone if it is open.
	EndedBy string `cbor:"3,keyasint,omitempty"`
	// Sent is when the request was sent to Upstream, Deadline the deadline of the stream, and At when it ended or, if it is open,
	// the time of the report.
	Sent     time.Duration `cbor:"4,keyasint,omitempty"`
	Deadline time.Duration `cbor:"5,keyasint,omitempty"`
	At       time.Duration `cbor:"6,keyasint,omitempty"`
	// Silent is the time from the last event to At.
	Silent time.Duration `cbor:"7,keyasint,omitempty"`
	// Upstream is the id of the upstream, and Via the address of the host through which it was reached; empty if directly.
	Upstream string `cbor:"8,keyasint,omitempty"`
	Via      string `cbor:"9,keyasint,omitempty"`
	// Full reports that the upstream took no further request, as far as the host knows. InFlight, KVTokens and KVCapacity are the
	// requests there, their tokens in the KV cache and the capacity of that; 0 if unknown.
	Full       bool  `cbor:"10,keyasint,omitempty"`
	InFlight   int   `cbor:"11,keyasint,omitempty"`
	KVTokens   int64 `cbor:"12,keyasint,omitempty"`
	KVCapacity int64 `cbor:"13,keyasint,omitempty"`
	// Unacked is the time since the upstream of an open stream last sent data or an acknowledgement; 0 if it is not known.
	Unacked time.Duration `cbor:"14,keyasint,omitempty"`
}

// IsOpen reports whether the stream is open.
func (s *Stream) IsOpen() bool { return s.EndedBy == EndNone }

// IsExpired reports whether the stream ended at its deadline or later, when its caller waits no longer.
func (s *Stream) IsExpired() bool { return !s.IsOpen() && s.At >= s.Deadline }

// KVPercent returns the occupied part of the KV cache of the upstream; 0 if it is unknown.
func (s *Stream) KVPercent() int64 {
	if s.KVCapacity <= 0 || s.KVTokens <= 0 {
		return 0
	}
	return int64(min(float64(s.KVTokens)/float64(s.KVCapacity)*100, math.MaxInt32))
}

// Bounded returns the report with its texts, counts and numbers of streams and ends within their limits.
func (r *Report) Bounded() *Report {
	b := *r
	b.Gateway, b.Open = boundedText(r.Gateway), boundedCount(r.Open)
	b.Ends = map[string]int{}
	for end, n := range r.Ends {
		end = boundedEnd(end)
		if _, counted := b.Ends[end]; !counted && len(b.Ends) >= maxEnds {
			end = EndOther
		}
		b.Ends[end] = boundedCount(b.Ends[end] + boundedCount(n))
	}
	b.Streams = nil
	for _, s := range r.Streams[:min(len(r.Streams), MaxStreams)] {
		s.RequestID, s.Route, s.Upstream, s.Via = boundedText(s.RequestID), boundedText(s.Route), boundedText(s.Upstream), boundedText(s.Via)
		s.EndedBy, s.InFlight = boundedEnd(s.EndedBy), boundedCount(s.InFlight)
		b.Streams = append(b.Streams, s)
	}
	return &b
}

func boundedText(s string) string {
	return strings.ToValidUTF8(s[:min(len(s), maxTextBytes)], "")
}

func boundedCount(n int) int { return min(max(n, 0), maxCount) }

// boundedEnd returns the name of an end, or EndOther if it can't be one.
func boundedEnd(end string) string {
	invalid := func(r rune) bool { return r != '_' && (r < 'a' || r > 'z') }
	if end == "" || len(end) > maxEndBytes || strings.ContainsFunc(end, invalid) {
		return EndOther
	}
	return end
}

// UnmarshalCBOR implements cbor.Unmarshaler. It rejects a report of more than MaxBytes before it is decoded.
func (r *Report) UnmarshalCBOR(data []byte) error {
	if len(data) > MaxBytes {
		return eris.Errorf("a report of a stop has %d bytes, more than %d", len(data), MaxBytes)
	}
	type fields Report // without this method
	return codec.Unmarshal(data, (*fields)(r))
}
