package controlapi

import "github.com/godwitbend/godwitbend/internal/config"

// OpenSession opens the session of an entry host.
type OpenSession struct {
	Session string `cbor:"1,keyasint"`
	Host    string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint"`
	// Address is the host's address for other hosts, as IP:port.
	Address string `cbor:"4,keyasint"`
	// SchemaMin and SchemaMax bound the schema versions that the host can serve under.
	SchemaMin int `cbor:"5,keyasint"`
	SchemaMax int `cbor:"6,keyasint"`
}

// EndSession ends a session, by drain or because its lease lapsed. Open
// requests of the session may be taken over afterwards.
type EndSession struct {
	Session string `cbor:"1,keyasint"`
	// Drained tells that the host ended it itself, with no request open.
	Drained bool `cbor:"2,keyasint,omitempty"`
}

// Heartbeat renews a session and its configuration lease. It is answered by the
// confirmed leader only, and is not a command of the log.
type Heartbeat struct {
	Session string `cbor:"1,keyasint"`
	// Revision is the configuration revision that the host serves under.
	Revision uint64 `cbor:"2,keyasint"`
	// HoldMS is the time for which the answer may be held until there is a newer
	// revision, in milliseconds.
	HoldMS int64 `cbor:"3,keyasint,omitempty"`
	// HostsVersion is that of the list of hosts that the host knows.
	HostsVersion uint64 `cbor:"4,keyasint,omitempty"`
	// Unmerged tells that the host serves from standby grants, or has charges in its
	// journal that the control group does not know yet.
	Unmerged bool `cbor:"5,keyasint,omitempty"`
}

// HeartbeatReply carries the lease and the configuration changes after the host's revision.
type HeartbeatReply struct {
	// LeaseMS is the length of the lease, counted from the sending of the heartbeat, in milliseconds.
	LeaseMS int64 `cbor:"1,keyasint"`
	// Full tells that Records replaces the host's whole configuration.
	Full    bool            `cbor:"2,keyasint,omitempty"`
	Records []config.Record `cbor:"3,keyasint,omitempty"`
	// Revision is the revision after Records are applied.
	Revision     uint64 `cbor:"4,keyasint"`
	ActiveSchema int    `cbor:"5,keyasint"`
	// Hosts are the entry hosts with a live session; absent if the host knows HostsVersion.
	Hosts []HostInfo `cbor:"6,keyasint,omitempty"`
	// FencingNumber is the term of the leader that answered.
	FencingNumber uint64 `cbor:"7,keyasint"`
	// Replicas are the addresses of the voters of the control group.
	Replicas []string `cbor:"8,keyasint,omitempty"`
	// HostsVersion identifies the present list of hosts.
	HostsVersion uint64 `cbor:"9,keyasint,omitempty"`
}

// HostInfo describes an entry host with a live session.
type HostInfo struct {
	Session  string `json:"session" cbor:"1,keyasint"`
	Host     string `json:"host" cbor:"2,keyasint"`
	Zone     string `json:"zone" cbor:"3,keyasint"`
	Address  string `json:"address" cbor:"4,keyasint"`
	Revision uint64 `json:"revision" cbor:"5,keyasint"`
}
