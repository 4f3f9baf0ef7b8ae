package controlapi

// Instance is one incarnation of an upstream.
type Instance struct {
	Upstream    string `json:"upstream" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"2,keyasint,omitempty"`
}

// CrashReport tells that an upstream was lost with requests in flight.
type CrashReport struct {
	Upstream            string `cbor:"1,keyasint"`
	UpstreamIncarnation uint64 `cbor:"2,keyasint"`
	// BodyHashes are the bodies that the reporting host had in flight there.
	BodyHashes []string `cbor:"3,keyasint"`
}

// ClearBodyRequest is an operator's word that a body is harmless to upstreams. It ends a
// quarantine and what else is remembered of the body's crashes.
type ClearBodyRequest struct {
	BodyHash string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint,omitempty"`
}

// SuspectStatus is what is known of a body that was in flight when an upstream was lost.
type SuspectStatus struct {
	BodyHash string `json:"body_hash" cbor:"1,keyasint"`
	// Lost are the upstreams that were lost with it since it last ran to its end.
	Lost []Instance `json:"lost" cbor:"2,keyasint"`
	// QuarantinedUntilMS ends its quarantine, in milliseconds since 1970; 0 if there is none.
	QuarantinedUntilMS int64 `json:"quarantined_until_ms,omitempty" cbor:"3,keyasint,omitempty"`
}
