// Package announce holds the messages that pass between upstreams and the
// system: announcements of upstreams, orders to them, and the names of the
// headers and paths that both sides use.
package announce

// Headers of requests that an entry host sends to an upstream.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderAttempt   = "X-Attempt"
	// HeaderIncarnation is the incarnation that a request is meant for. Another
	// incarnation of the upstream answers 409 with its own incarnation in this
	// header, and does not run the request.
	HeaderIncarnation = "X-Upstream-Incarnation"
)

// Paths. An entry host serves PathAnnounce; an upstream serves the others.
const (
	// PathAnnounce takes a POST of an Announcement on an entry host.
	PathAnnounce = "/upstreams/announce"
	// PathRequests, followed by a request id: GET returns a RequestState; DELETE cancels
	// the request, and an id that was cancelled before it arrived is refused with 409.
	// GET with "/stream?from=N" behind the id resumes a stream at event N.
	PathRequests = "/godwitbend/requests/"
	// PathOrders takes a POST of an Order.
	PathOrders = "/godwitbend/orders"
	// PathTokenize takes the body of a chat request and returns a TokenCount.
	PathTokenize = "/godwitbend/tokenize"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is an upstream's own word on whether it takes new work.
type State string

// The states of an upstream.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving"
)

// Announcement is an upstream's report of itself, sent every second and at each change.
type Announcement struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// Incarnation rises at each start of the upstream; Sequence rises with each announcement.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	Sequence    uint64 `json:"sequence" cbor:"3,keyasint"`
	Zone        string `json:"zone" cbor:"4,keyasint"`
	// Address is the base URL of the upstream, by IP number.
	Address string `json:"address" cbor:"5,keyasint"`
	Kind    Kind   `json:"kind" cbor:"6,keyasint"`
	// Services are the models or plain services that it serves.
	Services []ServiceOffer `json:"services" cbor:"7,keyasint"`
	Role     string         `json:"role,omitempty" cbor:"8,keyasint,omitempty"`
	// Capacity is the number of requests that it runs at once.
	Capacity int `json:"capacity" cbor:"9,keyasint"`
	// InFlight and Queued are its load when the announcement was made.
	InFlight int   `json:"in_flight" cbor:"10,keyasint"`
	Queued   int   `json:"queued" cbor:"11,keyasint"`
	State    State `json:"state" cbor:"12,keyasint"`
	// ChecksFencing tells that it refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" cbor:"13,keyasint,omitempty"`
	// KnowsRequests tells that it serves PathRequests.
	KnowsRequests bool `json:"knows_requests,omitempty" cbor:"14,keyasint,omitempty"`
	// CacheEvents are changes of its prefix cache, in order, with gaps.
	CacheEvents []CacheEvent `json:"cache_events,omitempty" cbor:"15,keyasint,omitempty"`
}

// ServiceOffer is one model or plain service of an upstream.
type ServiceOffer struct {
	Name     string   `json:"name" cbor:"1,keyasint"`
	Version  string   `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
}

// CacheEvent tells that a prompt prefix was stored in or evicted from the cache.
// Number rises by one per event of an incarnation; a jump shows a gap.
type CacheEvent struct {
	Number uint64 `json:"number" cbor:"1,keyasint"`
	// Prefix is the hash of the prompt's first blocks (see routing).
	Prefix  uint64 `json:"prefix" cbor:"2,keyasint"`
	Evicted bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// RequestState is an upstream's word on one request.
type RequestState struct {
	// State is "unknown", "running", "done", "failed" or "cancelled".
	State string `json:"state"`
	// Incarnation is that of the upstream that answers. Only the incarnation that
	// a request was sent to can tell that it does not know the request.
	Incarnation uint64 `json:"incarnation"`
	// Status, ContentType and Body are the answer of a plain service's finished call.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Tokens is the number of tokens that the request has used so far.
	Tokens int64 `json:"tokens,omitempty"`
}

// TokenCount is the exact number of prompt tokens of a chat request.
type TokenCount struct {
	Tokens int64 `json:"tokens"`
}

// The actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// Order asks an upstream to load or unload something or to change its role.
type Order struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// FencingNumber is the term of the leader that gave the order.
	FencingNumber uint64 `json:"fencing_number" cbor:"2,keyasint"`
	// Action is ActionLoad, ActionUnload or ActionRole.
	Action  string `json:"action" cbor:"3,keyasint"`
	Model   string `json:"model,omitempty" cbor:"4,keyasint,omitempty"`
	Version string `json:"version,omitempty" cbor:"5,keyasint,omitempty"`
	Adapter string `json:"adapter,omitempty" cbor:"6,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"7,keyasint,omitempty"`
}
