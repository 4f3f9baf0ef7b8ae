// Package config defines the configuration records that operators write, their schema
// versions and validation, the store of the control group, and the immutable view from
// which hosts serve requests.
package config

import "encoding/json"

// Kind is a kind of configuration record.
type Kind string

// The kinds of configuration record.
const (
	KindOrganisation Kind = "organisation"
	KindCaller       Kind = "caller"
	KindBudget       Kind = "budget"
	KindClass        Kind = "class"
	KindPolicy       Kind = "policy"
	KindService      Kind = "service"
)

// Record is a configuration record as stored and sent. Fields of Spec that are unknown
// to this version are preserved.
type Record struct {
	Kind          Kind            `json:"kind" cbor:"1,keyasint"`
	Name          string          `json:"name" cbor:"2,keyasint"`
	SchemaVersion int             `json:"schema_version" cbor:"3,keyasint"`
	Revision      uint64          `json:"revision,omitempty" cbor:"4,keyasint,omitempty"`
	Deleted       bool            `json:"deleted,omitempty" cbor:"5,keyasint,omitempty"`
	Spec          json.RawMessage `json:"spec" cbor:"6,keyasint"`
}

// OrganisationSpec is the spec of an organisation.
type OrganisationSpec struct {
	DisplayName string `json:"display_name,omitempty"`
	// Disabled refuses all requests of the organisation's callers.
	Disabled bool `json:"disabled,omitempty"`
}

// CallerSpec is the spec of a caller, which belongs to one organisation.
type CallerSpec struct {
	Organisation string `json:"organisation"`
	// KeyHash is the SHA-256 hash of the caller's bearer key, in lower-case hex.
	KeyHash string `json:"key_hash"`
	// Class is the name of the priority class of the caller's requests.
	Class string `json:"class"`
	// Budget is the name of the budget to which the caller's requests are charged.
	Budget string `json:"budget"`
	// MaxConcurrent is the maximum number of the caller's in-flight requests on one
	// host; 0 means the host's default.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// BudgetSpec is the spec of a prepaid budget. Only top-ups pay tokens into it.
type BudgetSpec struct {
	Organisation string `json:"organisation"`
}

// ClassSpec is the spec of a priority class.
type ClassSpec struct {
	// Worth orders the classes; requests of higher worth are served first.
	Worth int `json:"worth"`
	// DeadlineMS is the maximum time from the arrival of a request to the first byte of
	// its answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// QueueLimit is the maximum number of queued requests of the class on one host; 0
	// means the host's default.
	QueueLimit int `json:"queue_limit"`
}

// PolicySpec allows callers of an organisation to use services on upstreams. Requests
// that no policy allows are refused.
type PolicySpec struct {
	// Organisation is the name of an organisation, or "*" for all.
	Organisation string `json:"organisation"`
	// Services lists names of services; "*" means all.
	Services []string `json:"services"`
	// Upstreams lists path.Match patterns of upstream ids.
	Upstreams []string `json:"upstreams"`
	// Zones lists the availability zones of the upstreams; empty means any.
	Zones []string `json:"zones,omitempty"`
}

// ServiceKind distinguishes model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// ServiceSpec is the spec of a service: a model, or a plain service.
type ServiceSpec struct {
	Kind ServiceKind `json:"kind"`
	// MaxOutputTokens is the output limit of a model request that specifies none.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty"`
	// Methods lists the calls of a plain service. Other calls are refused.
	Methods []MethodSpec `json:"methods,omitempty"`
}

// MethodSpec is the spec of a call of a plain service.
type MethodSpec struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is a path.Match pattern of the URL path below /services/{service}.
	Path string `json:"path"`
	// Repeatable means that the call may safely run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Tokens is the fixed charge of the call, in tokens.
	Tokens int64 `json:"tokens,omitempty"`
}
