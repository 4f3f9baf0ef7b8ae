package controlapi

// GrantRequest reserves tokens of a budget for a session, which may spend them while the
// control group is unreachable.
type GrantRequest struct {
	Session string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	// Total is the number of tokens granted to the session for the budget since the session
	// began, including this grant. A resend thus grants nothing more.
	Total int64 `cbor:"3,keyasint"`
}

// ReturnGrantRequest returns unspent tokens of a grant.
type ReturnGrantRequest struct {
	Session string `cbor:"1,keyasint"`
	Budget  string `cbor:"2,keyasint"`
	// Total is the number of tokens returned since the session began, including these.
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
	// Ended reports that the session has ended and its journal has yet to be merged.
	Ended bool `json:"ended,omitempty" cbor:"7,keyasint,omitempty"`
}

// JournalEntry is a request that a host served from its grants while the control group was
// unreachable.
type JournalEntry struct {
	// Sequence numbers the entries of a session from 1 without gaps.
	Sequence     uint64 `cbor:"1,keyasint"`
	RequestID    string `cbor:"2,keyasint"`
	Organisation string `cbor:"3,keyasint"`
	Caller       string `cbor:"4,keyasint"`
	Budget       string `cbor:"5,keyasint"`
	Service      string `cbor:"6,keyasint"`
	BodyHash     string `cbor:"7,keyasint"`
	// Tokens is the number of tokens that the request used.
	Tokens int64 `cbor:"8,keyasint"`
	// Unkeyed reports that RequestID was generated, as in BeginRequest.
	Unkeyed bool `cbor:"9,keyasint,omitempty"`
	// Partial reports that the run was aborted before its end.
	Partial bool `cbor:"10,keyasint,omitempty"`
	// Completes has the same meaning as in BeginRequest.
	Completes string `cbor:"11,keyasint,omitempty"`
}

// MergeJournalRequest merges the journal of a session into the ledger. Any host may send it,
// also in parts and repeatedly; entries that are already merged are skipped.
type MergeJournalRequest struct {
	Session string         `cbor:"1,keyasint"`
	Entries []JournalEntry `cbor:"2,keyasint"`
}

// MergeReply describes the effect of a merge.
type MergeReply struct {
	// Merged is the sequence number of the last merged entry.
	Merged uint64 `cbor:"1,keyasint"`
	// Charged is the number of tokens charged by this merge.
	Charged int64 `cbor:"2,keyasint,omitempty"`
	// AlreadyCharged is the number of entries whose request was charged before.
	AlreadyCharged int `cbor:"3,keyasint,omitempty"`
	// Overrun is the number of tokens that entries used beyond the grant. They are not charged.
	Overrun int64 `cbor:"4,keyasint,omitempty"`
}

// WriteOffGrantRequest is an operator's assertion that the journal of an ended session
// cannot be recovered. The outstanding grants of the session are charged in full.
type WriteOffGrantRequest struct {
	OperationID string `cbor:"1,keyasint"`
	Session     string `cbor:"2,keyasint"`
	Operator    string `cbor:"3,keyasint,omitempty"`
}
