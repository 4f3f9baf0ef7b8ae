// Package notice holds what upstreams say of themselves in the headers of their answers, and how
// the hosts share it. It makes no network calls.
package notice

import "time"

// Notice is what an upstream says of itself in the header of one answer.
type Notice struct {
	// Leaving reports that the upstream is about to end and wants nothing new. It is final for the
	// process.
	Leaving bool
	// Wait is the time for which the upstream wants nothing from this host; 0 if it may go on.
	Wait time.Duration
	// Limited reports that the upstream takes at most RequestRate requests per second from all
	// hosts together. An answer without a limit ends an earlier one.
	Limited     bool
	RequestRate float64
	// Brittle reports that the upstream falls over if it has to turn more than MaxRejections
	// requests away in a second for want of room.
	Brittle       bool
	MaxRejections float64
	// ColdStated reports that the upstream states for how long it remains cold, which is ColdLeft; 0
	// if it is not cold.
	ColdStated bool
	ColdLeft   time.Duration
	// Invalid is a value that could not be read; empty if there is none.
	Invalid string
}

// Report passes the notice of one process of an upstream on to other hosts.
type Report struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedMS is the start of the process in milliseconds since 1970.
	StartedMS   int64   `cbor:"2,keyasint,omitempty"`
	Limited     bool    `cbor:"3,keyasint,omitempty"`
	RequestRate float64 `cbor:"4,keyasint,omitempty"`
	// Generation selects the hosts that share the limit; see Users.
	Generation uint32 `cbor:"5,keyasint,omitempty"`
	// Age is the time since the latest answer.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
	// Leaving reports that an answer said so LeavingAge ago.
	Leaving    bool          `cbor:"7,keyasint,omitempty"`
	LeavingAge time.Duration `cbor:"8,keyasint,omitempty"`
}
