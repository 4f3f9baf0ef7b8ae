package controlapi

import "github.com/godwitbend/godwitbend/internal/config"

// BudgetStatus is the state of a budget in whole tokens.
// Charged + Reserved + Granted never exceeds PaidIn.
type BudgetStatus struct {
	Budget       string `json:"budget" cbor:"1,keyasint"`
	Organisation string `json:"organisation" cbor:"2,keyasint"`
	PaidIn       int64  `json:"paid_in" cbor:"3,keyasint"`
	Charged      int64  `json:"charged" cbor:"4,keyasint"`
	Reserved     int64  `json:"reserved" cbor:"5,keyasint"`
	Granted      int64  `json:"granted" cbor:"6,keyasint"`
}

// RequestStatus is the state of one request record.
type RequestStatus struct {
	RequestID    string `json:"request_id" cbor:"1,keyasint"`
	Organisation string `json:"organisation" cbor:"2,keyasint"`
	Caller       string `json:"caller" cbor:"3,keyasint"`
	Service      string `json:"service" cbor:"4,keyasint"`
	State        string `json:"state" cbor:"5,keyasint"`
	Attempt      uint32 `json:"attempt" cbor:"6,keyasint"`
	Reserved     int64  `json:"reserved" cbor:"7,keyasint"`
	Charged      int64  `json:"charged" cbor:"8,keyasint"`
	// ChargedByCompletions is the number of tokens charged for later runs that complete this
	// partial one.
	ChargedByCompletions int64  `json:"completed,omitempty" cbor:"30,keyasint,omitempty"`
	Session              string `json:"session,omitempty" cbor:"9,keyasint,omitempty"`
}

// QueryRequest reads control state from the confirmed leader. Only one of the fields that
// select what is listed may be set.
type QueryRequest struct {
	// Records lists the configuration records of a kind; "*" means all kinds.
	Records config.Kind `cbor:"1,keyasint,omitempty"`
	// Name restricts Records to one name.
	Name string `cbor:"2,keyasint,omitempty"`
	// Budgets lists the state of all budgets, or of those of Organisation if it is set.
	Budgets      bool   `cbor:"3,keyasint,omitempty"`
	Organisation string `cbor:"4,keyasint,omitempty"`
	// Request returns one request record by id.
	Request string `cbor:"5,keyasint,omitempty"`
	// Requests lists all request records, or those of Organisation if it is set.
	Requests bool `cbor:"6,keyasint,omitempty"`
	// History lists the configuration changes with a revision above HistoryAfter.
	History      bool   `cbor:"7,keyasint,omitempty"`
	HistoryAfter uint64 `cbor:"8,keyasint,omitempty"`
	// Hosts lists the sessions of entry hosts.
	Hosts bool `cbor:"9,keyasint,omitempty"`
	// Replicas lists the state of the control replicas.
	Replicas bool `cbor:"10,keyasint,omitempty"`
	// Grants lists the outstanding grants, including those of ended sessions.
	Grants bool `cbor:"11,keyasint,omitempty"`
	// Orders lists the orders to upstreams, oldest first.
	Orders bool `cbor:"12,keyasint,omitempty"`
	// Suspects lists the bodies that were in flight when an upstream crashed.
	Suspects bool `cbor:"13,keyasint,omitempty"`
	// Only restricts Budgets to these names and Grants to these sessions. If empty, all are
	// listed.
	Only []string `cbor:"20,keyasint,omitempty"`
}

// QueryReply answers a QueryRequest.
type QueryReply struct {
	Records  []config.Record `json:"records,omitempty" cbor:"1,keyasint,omitempty"`
	Budgets  []BudgetStatus  `json:"budgets,omitempty" cbor:"2,keyasint,omitempty"`
	Requests []RequestStatus `json:"requests,omitempty" cbor:"3,keyasint,omitempty"`
	History  []HistoryEntry  `json:"history,omitempty" cbor:"4,keyasint,omitempty"`
	Hosts    []HostInfo      `json:"hosts,omitempty" cbor:"5,keyasint,omitempty"`
	Replicas []ReplicaStatus `json:"replicas,omitempty" cbor:"6,keyasint,omitempty"`
	Revision uint64          `json:"revision" cbor:"7,keyasint"`
	Schema   int             `json:"active_schema" cbor:"8,keyasint"`
	Grants   []GrantStatus   `json:"grants,omitempty" cbor:"9,keyasint,omitempty"`
	// CanLose is returned with Replicas. It is the number of further voters that the group
	// can lose and still have a quorum, or nil if the leader does not know it.
	CanLose  *int            `json:"can_lose,omitempty" cbor:"10,keyasint,omitempty"`
	Orders   []OrderStatus   `json:"orders,omitempty" cbor:"11,keyasint,omitempty"`
	Suspects []SuspectStatus `json:"suspects,omitempty" cbor:"12,keyasint,omitempty"`
	// Truncated reports that there are more request records than Requests holds.
	Truncated bool `json:"truncated,omitempty" cbor:"13,keyasint,omitempty"`
	// JournalsAwaited is returned with Request and has the same meaning as in Result.
	JournalsAwaited bool `json:"journals_awaited,omitempty" cbor:"14,keyasint,omitempty"`
}

// ReplicaAction is a kind of change to the membership or leadership of the control group.
type ReplicaAction string

// The kinds of changes. The leader makes one change at a time.
const (
	// ReplicaAdd adds a replica as a learner, with an id greater than every earlier one.
	ReplicaAdd ReplicaAction = "add"
	// ReplicaPromote makes a learner a voter once it has caught up.
	ReplicaPromote ReplicaAction = "promote"
	// ReplicaRemove removes a replica that is not the leader.
	ReplicaRemove ReplicaAction = "remove"
	// ReplicaLead transfers the leadership to a voter.
	ReplicaLead ReplicaAction = "lead"
)

// ReplicaChange changes the membership or the leader of the control group.
type ReplicaChange struct {
	Action ReplicaAction `json:"action" cbor:"1,keyasint"`
	ID     uint64        `json:"id" cbor:"2,keyasint"`
	// Address is set for ReplicaAdd. It is the IP:port at which other hosts reach the replica.
	Address string `json:"address,omitempty" cbor:"3,keyasint,omitempty"`
}

// Roles of replicas in ReplicaStatus.
const (
	RoleLeader   = "leader"
	RoleFollower = "follower"
	RoleLearner  = "learner"
)

// HistoryEntry is one change to a configuration record.
type HistoryEntry struct {
	Revision    uint64      `json:"revision" cbor:"1,keyasint"`
	OperationID string      `json:"operation_id" cbor:"2,keyasint"`
	Operator    string      `json:"operator,omitempty" cbor:"3,keyasint,omitempty"`
	Kind        config.Kind `json:"kind" cbor:"4,keyasint"`
	Name        string      `json:"name" cbor:"5,keyasint"`
	Deleted     bool        `json:"deleted,omitempty" cbor:"6,keyasint,omitempty"`
	TimeMS      int64       `json:"time_ms" cbor:"7,keyasint"`
}

// ReplicaStatus is the state of one control replica, as reported by the leader.
type ReplicaStatus struct {
	ID      uint64 `json:"id" cbor:"1,keyasint"`
	Address string `json:"address" cbor:"2,keyasint"`
	Role    string `json:"role" cbor:"3,keyasint"`
	Term    uint64 `json:"term" cbor:"4,keyasint"`
	Applied uint64 `json:"applied" cbor:"5,keyasint"`
	Match   uint64 `json:"match" cbor:"6,keyasint"`
}
