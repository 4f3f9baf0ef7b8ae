package controlapi

import "github.com/godwitbend/godwitbend/internal/config"

// ConfigureRequest writes configuration records atomically.
type ConfigureRequest struct {
	// OperationID identifies the operation. A resend with the same id gets the first result.
	OperationID string        `cbor:"1,keyasint"`
	Writes      []ConfigWrite `cbor:"2,keyasint"`
	Operator    string        `cbor:"3,keyasint,omitempty"`
}

// ConfigWrite is one record of a ConfigureRequest.
type ConfigWrite struct {
	// Record is the new state. If Record.Deleted is set, the record is removed.
	Record config.Record `cbor:"1,keyasint"`
	// IfRevision must equal the record's current revision. 0 means that the record must not
	// exist.
	IfRevision uint64 `cbor:"2,keyasint"`
	// Force skips the check of IfRevision.
	Force bool `cbor:"3,keyasint,omitempty"`
}

// ConfigureReply returns the revision of a change and whether the change is in force on
// every live host.
type ConfigureReply struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	// Accepted is false while a live host may still serve under an older revision.
	Accepted bool            `json:"accepted" cbor:"2,keyasint"`
	Records  []config.Record `json:"records,omitempty" cbor:"3,keyasint,omitempty"`
	// Winner is the current record if the error is Conflict.
	Winner *config.Record `json:"winner,omitempty" cbor:"4,keyasint,omitempty"`
}

// TopUpRequest adds tokens to a budget, once per operation id.
type TopUpRequest struct {
	OperationID string `cbor:"1,keyasint"`
	Budget      string `cbor:"2,keyasint"`
	Tokens      int64  `cbor:"3,keyasint"`
	Operator    string `cbor:"4,keyasint,omitempty"`
}
