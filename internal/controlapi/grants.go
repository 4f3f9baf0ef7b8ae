package controlapi

// GrantRequest sets tokens of a budget aside for a session, which may spend
// them while it is cut off from the control group.
type GrantRequest struct {
	Session string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	// Total is the sum of all tokens ever granted to the session for the budget, this grant
	// included, so that a resend grants nothing more.
	Total int64 `cbor:"3,keyasint"`
}

// ReturnGrantRequest gives tokens of a grant back that were not spent.
type ReturnGrantRequest struct {
	Session string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	// Total is the sum of all tokens ever returned, these included.
	Total int64 `cbor:"3,keyasint"`
}

// GrantStatus is the state of one session's grant of one budget, in whole tokens.
type GrantStatus struct {
	Session     string `json:"session" cbor:"1,keyasint"`
	Budget      string `json:"budget" cbor:"2,keyasint"`
	Granted     int64  `json:"granted" cbor:"3,keyasint"`
	Returned    int64  `json:"returned" cbor:"4,keyasint"`
	Charged     int64  `json:"charged" cbor:"5,keyasint"`
	Outstanding int64  `json:"outstanding" cbor:"6,keyasint"`
	// Ended tells that the session has ended and its journal is awaited.
	Ended bool `json:"ended,omitempty" cbor:"7,keyasint,omitempty"`
}

// JournalEntry is a request that a host served from its grants while it was cut off.
type JournalEntry struct {
	// Sequence counts the entries of a session from 1, without gaps.
	Sequence     uint64 `cbor:"1,keyasint"`
	RequestID    string `cbor:"2,keyasint"`
	Organisation string `cbor:"3,keyasint"`
	Caller       string `cbor:"4,keyasint"`
	Budget       string `cbor:"5,keyasint"`
	Service      string `cbor:"6,keyasint"`
	BodyHash     string `cbor:"7,keyasint"`
	// Tokens is what the request used.
	Tokens int64 `cbor:"8,keyasint"`
	// Unkeyed tells that RequestID was generated.
	Unkeyed bool `cbor:"9,keyasint,omitempty"`
	// Partial tells that the run was cut off before its end.
	Partial bool `cbor:"10,keyasint,omitempty"`
	// Completes is as in BeginRequest.
	Completes string `cbor:"11,keyasint,omitempty"`
}

// MergeJournalRequest brings the journal of a session into the ledger. It may
// be sent by any host, in parts and again; entries merged before are skipped.
type MergeJournalRequest struct {
	Session string         `cbor:"1,keyasint"`
	Entries []JournalEntry `cbor:"2,keyasint"`
}

// MergeReply tells what a merge has changed.
type MergeReply struct {
	// Merged is the sequence of the last entry that has been merged.
	Merged uint64 `cbor:"1,keyasint"`
	// Charged is what this merge charged, in tokens.
	Charged int64 `cbor:"2,keyasint,omitempty"`
	// AlreadyBilled counts the entries whose request was already billed.
	AlreadyCharged int `cbor:"3,keyasint,omitempty"`
	// Overrun is what entries used beyond the grant, in tokens. It is not charged.
	Overrun int64 `cbor:"4,keyasint,omitempty"`
}

// WriteOffGrantRequest is an operator's word that the journal of an ended
// session cannot be recovered. Its outstanding grants are charged in full.
type WriteOffGrantRequest struct {
	OperationID string `cbor:"1,keyasint"`
	Session     string `cbor:"2,keyasint"`
	Operator    string `cbor:"3,keyasint,omitempty"`
}
