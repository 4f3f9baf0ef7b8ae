// Package operatorapi serves the operators' HTTP API: configuration records,
// top-ups, usage and the state of the fleet, as JSON over the control group.
package operatorapi

import (
	"encoding/json"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Paths of the API. A list of records is under PathPrefix and the plural of its kind.
const (
	PathPrefix   = "/v1/"
	PathRecords  = PathPrefix + "records"
	PathApply    = PathPrefix + "apply"
	PathUsage    = PathPrefix + "usage"
	PathRequests = PathPrefix + "requests"
	PathHosts    = PathPrefix + "hosts"
	PathReplicas = PathPrefix + "replicas"
	PathHistory  = PathPrefix + "history"
	PathStatus   = PathPrefix + "status"
	// PathChanges is followed by the operation id of a change of records.
	PathChanges  = PathPrefix + "changes"
	PathUpstream = PathPrefix + "upstreams"
	PathOrders   = PathPrefix + "orders"
	PathGrants   = PathPrefix + "grants"
	// PathTopUps follows the path of a budget.
	PathTopUps = "/top-ups"
)

var plurals = map[config.Kind]string{
	config.KindOrganisation: "organisations",
	config.KindCaller:       "callers",
	config.KindBudget:       "budgets",
	config.KindClass:        "classes",
	config.KindPolicy:       "policies",
	config.KindService:      "services",
}

// RecordsPath returns the path of the list of records of kind.
func RecordsPath(kind config.Kind) string { return PathPrefix + plurals[kind] }

// PutRequest writes one record.
type PutRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// IfRevision must equal the present revision, 0 for a new record. Without it the
	// record is written over any revision.
	IfRevision    *uint64         `json:"if_revision,omitempty"`
	SchemaVersion int             `json:"schema_version"`
	Spec          json.RawMessage `json:"spec"`
}

// ApplyRequest writes several records, all or none.
type ApplyRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string  `json:"operation_id"`
	Writes      []Write `json:"writes"`
}

// Write is one record of an ApplyRequest.
type Write struct {
	// Record is the new state; with Record.Deleted set the record is removed.
	Record config.Record `json:"record"`
	// IfRevision is as in PutRequest.
	IfRevision *uint64 `json:"if_revision,omitempty"`
}

// TopUpRequest pays tokens into a budget.
type TopUpRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// Tokens is the number of tokens paid in, 1 or more.
	Tokens int64 `json:"tokens"`
}

// ChangeState tells how far a change has come.
type ChangeState string

// The states of a change.
const (
	// StateAccepted: the change is in force on every live host.
	StateAccepted ChangeState = "accepted"
	// StatePending: the change is made, and some live host may still serve under an
	// older revision. The same request sent again tells whether it is accepted.
	StatePending ChangeState = "pending"
)

// ChangeReply answers a change of records.
type ChangeReply struct {
	State       ChangeState     `json:"state"`
	OperationID string          `json:"operation_id"`
	Revision    uint64          `json:"revision"`
	Records     []config.Record `json:"records,omitempty"`
}

// RecordsReply lists records.
type RecordsReply struct {
	Revision uint64          `json:"revision"`
	Records  []config.Record `json:"records"`
}

// UsageReply lists the state of budgets.
type UsageReply struct {
	Budgets []controlapi.BudgetStatus `json:"budgets"`
}

// RequestsReply lists request records.
type RequestsReply struct {
	Requests []controlapi.RequestStatus `json:"requests"`
}

// GrantsReply lists the grants that are outstanding.
type GrantsReply struct {
	Grants []controlapi.GrantStatus `json:"grants"`
}

// WriteOffRequest charges the outstanding grants of an ended session, whose journal
// can't be recovered.
type WriteOffRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// Session is the session that ended.
	Session string `json:"session"`
}

// WriteOffReply tells what was charged.
type WriteOffReply struct {
	Session string `json:"session"`
	// Charged is the sum of the outstanding grants, in tokens.
	Charged int64 `json:"charged"`
}

// HostsReply lists the entry hosts with a live session.
type HostsReply struct {
	Hosts []controlapi.HostInfo `json:"hosts"`
}

// ReplicasReply lists the control replicas.
type ReplicasReply struct {
	Replicas []controlapi.ReplicaStatus `json:"replicas"`
	// CanLose is the number of further voters whose loss the group survives; nil if unknown.
	CanLose *int `json:"can_lose,omitempty"`
}

// HistoryReply lists configuration changes, oldest first.
type HistoryReply struct {
	History []controlapi.HistoryEntry `json:"history"`
}

// UpstreamsReply lists what the answering host knows of upstreams.
type UpstreamsReply struct {
	Upstreams []Upstream `json:"upstreams"`
}

// StatusReply sums up the fleet.
type StatusReply struct {
	// Host is the host that answered.
	Host string `json:"host"`
	// NotReady is empty if Host takes new work, else the reason.
	NotReady     string                `json:"not_ready,omitempty"`
	Revision     uint64                `json:"revision"`
	ActiveSchema int                   `json:"active_schema"`
	Hosts        []controlapi.HostInfo `json:"hosts"`
	ReplicasReply
}

// OrderRequest sends an order to one upstream. The control group sets the fencing number.
type OrderRequest struct {
	// Upstream is the id of the upstream.
	Upstream string `json:"upstream"`
	// Order has an id, which makes a resend safe, and no fencing number.
	Order announce.Order `json:"order"`
}

// OrderReply tells how far an order has come. The same request sent again, with the
// same order id, tells more of a pending one.
type OrderReply struct {
	OrderID       string `json:"order_id"`
	FencingNumber uint64 `json:"fencing_number"`
	// State is a controlapi.OrderState.
	State string `json:"state"`
	// Detail is the upstream's reason if it refused the order.
	Detail string `json:"detail,omitempty"`
}

// OrdersReply lists orders, oldest first.
type OrdersReply struct {
	Orders []controlapi.OrderStatus `json:"orders"`
}

// ErrorReply is the body of every answer that is not a success.
type ErrorReply struct {
	Error errkind.Body `json:"error"`
	// Winner is the present record if the kind is conflict.
	Winner *config.Record `json:"winner,omitempty"`
}
