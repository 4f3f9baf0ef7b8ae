// Package catalog defines the configuration of a gateway fleet as one document: routes,
// services, limits and organisations. Each document replaces the previous one as a whole;
// the one with the highest version is in force.
package catalog

import "time"

// Kind determines how often a request of a route may run.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events. They run at most once unless
	// the route is resumable.
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the weights of the route's other targets.
	Weight int
}

// Route directs the requests for a host name and path prefix to services.
type Route struct {
	Name string
	// Host is the host name without a port.
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the maximum time that a caller waits for the answer.
	Timeout time.Duration
	// LatencyObjective is the time to first byte within which an answer is worth most.
	LatencyObjective time.Duration
	// GapObjective is the longest pause between two events of a stream that still counts as
	// on time; 0 for none.
	GapObjective time.Duration
	// Rank orders requests when capacity is short; 0 is served first.
	Rank int
	// MaxAttempts is the maximum number of upstreams to which one request is sent.
	MaxAttempts int
	// Anonymous reports whether callers need no key.
	Anonymous bool
	// SessionAffinity reports whether requests name the segments of their prompts.
	SessionAffinity bool
	// Resumable reports whether another upstream may resume a stream after its last event.
	Resumable bool
}

// Repeatable reports whether a request that may have run may be run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// KVCapacity is the size of an engine's KV cache in tokens.
	KVCapacity int64
	// MaxTokensPerEvent is the maximum number of output tokens in one event of a stream.
	MaxTokensPerEvent int64
	// PrefixTransfer reports whether engines can fetch cached prompt prefixes from each other.
	PrefixTransfer bool
	// RunTransfer reports whether engines can move runs to each other.
	RunTransfer bool
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the maximum number of connections that an upstream accepts from all
	// hosts together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// WarmUp is the zero value if the upstreams take requests at the full rate from their start.
	WarmUp WarmUp
}

// WarmUp describes what an upstream accepts while it is cold.
type WarmUp struct {
	// Rate is the number of requests per second that a cold upstream takes from all hosts together.
	Rate float64
	// Duration is the time for which a process is cold after its start.
	Duration time.Duration
}

// Limits holds the size limits and timeouts for requests from callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer with its API keys and its prepaid budget.
type Organisation struct {
	Name string
	Keys []string
	// Rank overrides the rank of the route if it is set.
	Rank *int
	// Prepaid is the total number of tokens paid in, or nil if the organisation has no budget.
	Prepaid *int64
}

// Document is a complete configuration.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
