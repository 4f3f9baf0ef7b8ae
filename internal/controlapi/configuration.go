package controlapi

import "github.com/godwitbend/godwitbend/internal/config"

// ConfigureRequest writes configuration records, all or none.
type ConfigureRequest struct {
	// OperationID makes a resend safe: it gets the first result.
	OperationID string        `cbor:"1,keyasint"`
	Writes      []ConfigWrite `cbor:"2,keyasint"`
	Operator    string        `cbor:"3,keyasint,omitempty"`
}

// ConfigWrite is one record of a ConfigureRequest.
type ConfigWrite struct {
	// Record is the new state; with Record.Deleted set the record is removed.
	Record config.Record `cbor:"1,keyasint"`
	// IfRevision must equal the record's present revision; 0 means that it must not exist.
	IfRevision uint64 `cbor:"2,keyasint"`
	// Force skips the comparison.
	Force bool `cbor:"3,keyasint,omitempty"`
}

// ConfigureReply tells the revision of a change and whether it is in force on every live host.
type ConfigureReply struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// Accepted is false while some live host may still serve under an older revision.
	Accepted bool            `json:"accepted" cbor:"2,keyasint"`
	Records  []config.Record `json:"records,omitempty" cbor:"3,keyasint,omitempty"`
	// Winner is the present record if the error is Conflict.
	Winner *config.Record `json:"winner,omitempty" cbor:"4,keyasint,omitempty"`
}

// TopUpRequest pays tokens into a budget once per operation id.
type TopUpRequest struct {
	OperationID string `cbor:"1,keyasint"`
	Budget      string `cbor:"2,keyasint"`
	Tokens      int64  `cbor:"3,keyasint"`
	Operator    string `cbor:"4,keyasint,omitempty"`
}
