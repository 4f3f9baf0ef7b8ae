package controlapi

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/crashcause"
)

// OpenSession opens the session of an entry host.
type OpenSession struct {
	Session string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Address is the IP:port at which other hosts reach this one.
	Address string `cbor:"4,keyasint"`
	// SchemaMin and SchemaMax are the range of schema versions that the host supports.
	SchemaMin int `cbor:"5,keyasint"`
	SchemaMax int `cbor:"6,keyasint"`
}

// EndSession ends a session that has drained or whose lease has expired. Open request
// records of the session may be taken over afterwards.
type EndSession struct {
	Session string `cbor:"1,keyasint"`
	// Drained reports that the host itself ended the session, with no requests in flight.
	Drained bool `cbor:"2,keyasint,omitempty"`
}

// Heartbeat renews a session and its configuration lease. Only the confirmed leader answers
// it. It is not a command of the log.
type Heartbeat struct {
	Session string `cbor:"1,keyasint"`
	// Revision is the configuration revision under which the host serves.
	Revision uint64 `cbor:"2,keyasint"`
	// HoldMS is the maximum time, in milliseconds, for which the leader may delay the reply
	// to wait for a newer revision (long polling).
	HoldMS int64 `cbor:"3,keyasint,omitempty"`
	// HostsVersion identifies the host's copy of the list of hosts.
	HostsVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Unmerged reports that the host serves from standby grants, or has charges in its journal
	// that are not merged yet.
	Unmerged bool `cbor:"5,keyasint,omitempty"`
	// Crashes is what the host knows of the requests that crash upstreams.
	Crashes crashcause.Report `cbor:"6,keyasint,omitempty"`
}

// HeartbeatReply returns the lease and the configuration changes after the host's revision.
type HeartbeatReply struct {
	// LeaseMS is the duration of the lease in milliseconds, from the time at which the
	// heartbeat was sent.
	LeaseMS int64 `cbor:"1,keyasint"`
	// Full reports that Records replaces the host's whole configuration.
	Full    bool            `cbor:"2,keyasint,omitempty"`
	Records []config.Record `cbor:"3,keyasint,omitempty"`
	// Revision is the revision after Records are applied.
	Revision     uint64 `cbor:"4,keyasint"`
	ActiveSchema int    `cbor:"5,keyasint"`
	// Hosts lists the entry hosts with a live session. It is omitted if the host already has
	// HostsVersion.
	Hosts []HostInfo `cbor:"6,keyasint,omitempty"`
	// FencingNumber is the term of the leader that replied.
	FencingNumber uint64 `cbor:"7,keyasint"`
	// Replicas are the addresses of the voters of the control group.
	Replicas []string `cbor:"8,keyasint,omitempty"`
	// HostsVersion identifies the current list of hosts.
	HostsVersion uint64 `cbor:"9,keyasint,omitempty"`
	// Crashes is the leader's decision on the requests that crash upstreams.
	Crashes crashcause.Decision `cbor:"10,keyasint,omitempty"`
}

// HostInfo describes an entry host with a live session.
type HostInfo struct {
	Session  string `json:"session" cbor:"1,keyasint"`
	Host     string `json:"host" cbor:"2,keyasint"`
	Zone     string `json:"zone" cbor:"3,keyasint"`
	Address  string `json:"address" cbor:"4,keyasint"`
	Revision uint64 `json:"revision" cbor:"5,keyasint"`
}
