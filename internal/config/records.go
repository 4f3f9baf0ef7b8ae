// Package config holds the configuration records that operators write, their
// schema versions and checks, and the immutable view that hosts serve under.
package config

import "encoding/json"

// Kind names a type of configuration record.
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

// Record is one configuration record as it is stored and sent. Fields of Spec
// that this version does not know are kept.
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
	// Disabled refuses all work of the organisation's callers.
	Disabled bool `json:"disabled,omitempty"`
}

// CallerSpec is the spec of a caller, which belongs to one organisation.
type CallerSpec struct {
	Organisation string `json:"organisation"`
	// KeyHash is the SHA-256 of the caller's bearer key, in lower-case hex.
	KeyHash string `json:"key_hash"`
	// Class names the priority class of the caller's requests.
	Class string `json:"class"`
	// Budget names the budget that the caller's requests are charged to.
	Budget string `json:"budget"`
	// MaxConcurrent bounds the caller's open requests on one host; 0 means the host's default.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
}

// BudgetSpec is the spec of a prepaid budget. Tokens are paid in by top-ups only.
type BudgetSpec struct {
	Organisation string `json:"organisation"`
}

// ClassSpec is the spec of a priority class.
type ClassSpec struct {
	// Worth orders the classes; work of higher worth goes first.
	Worth int `json:"worth"`
	// DeadlineMS bounds the time from arrival to the first byte of the answer, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
	// QueueLimit bounds the requests of the class that wait on one host; 0 means the host's default.
	QueueLimit int `json:"queue_limit"`
}

// PolicySpec allows callers of an organisation to use services on upstreams.
// What no policy allows is refused.
type PolicySpec struct {
	// Organisation is a name, or "*" for all.
	Organisation string `json:"organisation"`
	// Services are service names; "*" stands for all.
	Services []string `json:"services"`
	// Upstreams are path.Match patterns of upstream ids.
	Upstreams []string `json:"upstreams"`
	// Zones restricts the availability zones of the upstreams; empty means any.
	Zones []string `json:"zones,omitempty"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// ServiceSpec is the spec of a service: a model, or a plain service.
type ServiceSpec struct {
	Kind ServiceKind `json:"kind"`
	// MaxOutputTokens is the output limit of a model request that states none.
	MaxOutputTokens int64 `json:"max_output_tokens,omitempty"`
	// Methods lists the calls of a plain service. A call not listed is refused.
	Methods []MethodSpec `json:"methods,omitempty"`
}

// MethodSpec describes one call of a plain service.
type MethodSpec struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is a path.Match pattern of the path below /services/{service}.
	Path string `json:"path"`
	// Repeatable tells that running the call twice does no harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// Tokens is the fixed charge of the call.
	Tokens int64 `json:"tokens,omitempty"`
}
