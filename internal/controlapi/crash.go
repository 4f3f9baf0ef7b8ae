package controlapi

// Instance is one incarnation of an upstream.
type Instance struct {
	Upstream    string `json:"upstream" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation,omitempty" cbor:"2,keyasint,omitempty"`
}

// CrashReport reports that an upstream crashed with requests in flight.
type CrashReport struct {
	Upstream            string `cbor:"1,keyasint"`
	UpstreamIncarnation uint64 `cbor:"2,keyasint"`
	// BodyHashes are the hashes of the bodies that the reporting host had in flight there.
	BodyHashes []string `cbor:"3,keyasint"`
}

// ClearBodyRequest is an operator's assertion that a body does not crash upstreams. It ends
// a quarantine and removes all other state about crashes with the body.
type ClearBodyRequest struct {
	BodyHash string `cbor:"1,keyasint"`
	Operator string `cbor:"2,keyasint,omitempty"`
}

// SuspectStatus is the state of a body that was in flight when an upstream crashed.
type SuspectStatus struct {
	BodyHash string `json:"body_hash" cbor:"1,keyasint"`
	// Lost lists the upstreams that crashed with the body in flight since it last completed.
	Lost []Instance `json:"lost" cbor:"2,keyasint"`
	// QuarantinedUntilMS is the end of the quarantine in milliseconds since 1970, or 0 if the
	// body is not quarantined.
	QuarantinedUntilMS int64 `json:"quarantined_until_ms,omitempty" cbor:"3,keyasint,omitempty"`
}
