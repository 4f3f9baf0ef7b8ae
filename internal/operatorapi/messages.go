// Package operatorapi serves the operators' HTTP API: configuration records,
// top-ups, usage and the state of hosts, replicas and upstreams, as JSON. Most of
// it is read from and written to the control group.
package operatorapi

import (
	"encoding/json"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// Paths of the API. The records of a kind are listed under PathPrefix followed by the
// plural of the kind.
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
	// PathChanges is followed by the operation id of a change to records.
	PathChanges   = PathPrefix + "changes"
	PathUpstreams = PathPrefix + "upstreams"
	PathOrders    = PathPrefix + "orders"
	PathGrants    = PathPrefix + "grants"
	// PathTopUps is appended to the path of a budget.
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

// RecordsPath returns the path under which the records of kind are listed.
func RecordsPath(kind config.Kind) string { return PathPrefix + plurals[kind] }

// PutRequest writes one record.
type PutRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// IfRevision must equal the record's current revision, 0 for a new record. If nil,
	// the record is overwritten at any revision.
	IfRevision    *uint64         `json:"if_revision,omitempty"`
	SchemaVersion int             `json:"schema_version"`
	Spec          json.RawMessage `json:"spec"`
}

// ApplyRequest writes several records atomically.
type ApplyRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string  `json:"operation_id"`
	Writes      []Write `json:"writes"`
}

// Write is one record of an ApplyRequest.
type Write struct {
	// Record is the new state. If Record.Deleted is set, the record is removed.
	Record config.Record `json:"record"`
	// IfRevision is the expected revision, as in PutRequest.
	IfRevision *uint64 `json:"if_revision,omitempty"`
}

// TopUpRequest adds tokens to a budget.
type TopUpRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// Tokens is the number of tokens to add, at least 1.
	Tokens int64 `json:"tokens"`
}

// ChangeState is the progress of a committed change.
type ChangeState string

// The states of a change.
const (
	// StateAccepted means that the change is in force on every live host.
	StateAccepted ChangeState = "accepted"
	// StatePending means that the change is committed, but a live host may still serve
	// under an older revision. Resending the request returns the current state.
	StatePending ChangeState = "pending"
)

// ChangeReply is the reply to a change of records.
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

// GrantsReply lists the outstanding grants.
type GrantsReply struct {
	Grants []controlapi.GrantStatus `json:"grants"`
}

// WriteOffRequest charges the outstanding grants of an ended session whose journal
// cannot be recovered.
type WriteOffRequest struct {
	// OperationID makes a resend safe. Required.
	OperationID string `json:"operation_id"`
	// Session is the id of the ended session.
	Session string `json:"session"`
}

// WriteOffReply is the reply to a WriteOffRequest.
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
	// CanLose is the failure tolerance: the number of further voters that may fail
	// without loss of the quorum; nil if unknown.
	CanLose *int `json:"can_lose,omitempty"`
}

// HistoryReply lists configuration changes, oldest first.
type HistoryReply struct {
	History []controlapi.HistoryEntry `json:"history"`
}

// UpstreamsReply lists the upstreams as seen by the host that serves the reply.
type UpstreamsReply struct {
	Upstreams []Upstream `json:"upstreams"`
}

// StatusReply summarises the state of hosts and control replicas.
type StatusReply struct {
	// Host is the name of the host that serves the reply.
	Host string `json:"host"`
	// NotReady is the reason why Host accepts no new requests, empty if it does.
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
	// Order must have an id, which makes a resend safe, and no fencing number.
	Order announce.Order `json:"order"`
}

// OrderReply is the state of an order. Resending the request with the same order id
// returns the current state.
type OrderReply struct {
	OrderID       string `json:"order_id"`
	FencingNumber uint64 `json:"fencing_number"`
	// State is the text of a controlapi.OrderState.
	State string `json:"state"`
	// Detail is the upstream's reason if it refused the order.
	Detail string `json:"detail,omitempty"`
}

// OrdersReply lists orders, oldest first.
type OrdersReply struct {
	Orders []controlapi.OrderStatus `json:"orders"`
}

// ErrorReply is the body of every error response.
type ErrorReply struct {
	Error errkind.Body `json:"error"`
	// Winner is the current record if the error kind is conflict.
	Winner *config.Record `json:"winner,omitempty"`
}
