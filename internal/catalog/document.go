// Package catalog holds the configuration of a gateway fleet as one document:
// routes, services, limits and organisations. A document replaces the one
// before it as a whole; the highest version is in force.
package catalog

import "time"

// Kind tells how often a request of a route may run.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run once at most.
	NonIdempotent
	// Streaming requests are answered by a series of events. They run once at
	// most, unless the route is resumable.
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

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share, relative to the other targets of the route.
	Weight int
}

// Route sends requests of a host name and a path prefix to services.
type Route struct {
	Name string
	// Host is the host name without a port.
	Host string
	// Prefix is the start of the path; it begins and ends with a slash.
	Prefix  string
	Kind    Kind
	Targets []Target
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the first byte of the answer within which it is worth most.
	LatencyObjective time.Duration
	// MaxGap is the longest pause between events of a stream that is on time; 0 if none is set.
	GapObjective time.Duration
	// Rank orders routes when capacity is short; 0 goes first.
	Rank int
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Affinity tells that requests name the parts of their prompt.
	SessionAffinity bool
	// Resumable streams may go on at another upstream after their last event.
	Resumable bool
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the size of an engine's KV cache in tokens.
	KVCapacity int64
	// EventTokens is the largest number of output tokens in one event of a stream.
	MaxTokensPerEvent int64
	// Transfers tells that engines can fetch parts of prompts from each other.
	PrefixTransfer bool
}

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the number of connections that an upstream takes from all hosts.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a customer with its keys and its prepaid budget.
type Organisation struct {
	Name string
	Keys []string
	// Rank goes before the rank of the route if it is set.
	Rank *int
	// Prepaid is the total number of tokens paid in; nil means that no budget is kept.
	Prepaid *int64
}

// Document is a whole configuration.
type Document struct {
	Version       uint64
	Routes        []Route
	Services      []Service
	Limits        Limits
	Organisations []Organisation
}
