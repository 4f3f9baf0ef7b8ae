// Package announce defines the protocol between upstreams and entry hosts: the
// announcements of upstreams, the orders sent to them, and the headers and paths
// that both sides use.
package announce

// Headers of the requests that an entry host sends to an upstream.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderAttempt   = "X-Attempt"
	// HeaderIncarnation is the incarnation that a request is addressed to. Another
	// incarnation of the upstream does not run the request, and answers 409 with its
	// own incarnation in this header.
	HeaderIncarnation = "X-Upstream-Incarnation"
)

// Paths of the protocol. An entry host serves PathAnnounce; an upstream serves the others.
const (
	// PathAnnounce accepts a POST of an Announcement.
	PathAnnounce = "/upstreams/announce"
	// PathRequests is followed by a request id. GET returns a RequestState; DELETE cancels
	// the request, and a request cancelled before its arrival is refused with 409.
	// GET with "/stream?from=N" after the id resumes a stream at event N.
	PathRequests = "/godwitbend/requests/"
	// PathOrders accepts a POST of an Order.
	PathOrders = "/godwitbend/orders"
	// PathTokenize accepts the body of a chat request and returns a TokenCount.
	PathTokenize = "/godwitbend/tokenize"
)

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// State is the announced state of an upstream, which tells whether it accepts new
// requests.
type State string

// The states of an upstream.
const (
	StateServing State = "serving"
	StateLeaving State = "leaving"
)

// Announcement describes an upstream. The upstream sends it every second and at each
// change.
type Announcement struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// Incarnation increases with each start of the upstream, Sequence with each
	// announcement.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	Sequence    uint64 `json:"sequence" cbor:"3,keyasint"`
	Zone        string `json:"zone" cbor:"4,keyasint"`
	// Address is the base URL of the upstream, with an IP address as host.
	Address string `json:"address" cbor:"5,keyasint"`
	Kind    Kind   `json:"kind" cbor:"6,keyasint"`
	// Services lists the models or plain services that the upstream serves.
	Services []ServiceOffer `json:"services" cbor:"7,keyasint"`
	Role     string         `json:"role,omitempty" cbor:"8,keyasint,omitempty"`
	// Capacity is the number of requests that the upstream runs concurrently.
	Capacity int `json:"capacity" cbor:"9,keyasint"`
	// InFlight and Queued are the load at the time of the announcement.
	InFlight int   `json:"in_flight" cbor:"10,keyasint"`
	Queued   int   `json:"queued" cbor:"11,keyasint"`
	State    State `json:"state" cbor:"12,keyasint"`
	// ChecksFencing reports whether the upstream refuses orders with an outdated fencing
	// number.
	ChecksFencing bool `json:"checks_fencing,omitempty" cbor:"13,keyasint,omitempty"`
	// ServesRequestState reports whether the upstream serves PathRequests.
	ServesRequestState bool `json:"knows_requests,omitempty" cbor:"14,keyasint,omitempty"`
	// CacheEvents lists changes of the prefix cache, in order and possibly with gaps.
	CacheEvents []CacheEvent `json:"cache_events,omitempty" cbor:"15,keyasint,omitempty"`
}

// ServiceOffer is one model or plain service that an upstream serves.
type ServiceOffer struct {
	Name     string   `json:"name" cbor:"1,keyasint"`
	Version  string   `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
}

// CacheEvent reports that a prompt prefix was stored in or evicted from the prefix
// cache. Number increases by one per event of an incarnation; a jump indicates
// missed events.
type CacheEvent struct {
	Number uint64 `json:"number" cbor:"1,keyasint"`
	// Prefix is the hash of the leading blocks of a prompt, as returned by PrefixHashes.
	Prefix  uint64 `json:"prefix" cbor:"2,keyasint"`
	Evicted bool   `json:"evicted,omitempty" cbor:"3,keyasint,omitempty"`
}

// RequestState is the state of one request as the upstream reports it.
type RequestState struct {
	// State is "unknown", "running", "done", "failed" or "cancelled".
	State string `json:"state"`
	// Incarnation is that of the answering upstream. State "unknown" is conclusive only
	// from the incarnation that the request was sent to.
	Incarnation uint64 `json:"incarnation"`
	// Status, ContentType and Body are the answer of a finished call of a plain service.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Tokens is the number of tokens that the request has consumed so far.
	Tokens int64 `json:"tokens,omitempty"`
}

// TokenCount holds the exact number of prompt tokens of a chat request.
type TokenCount struct {
	Tokens int64 `json:"tokens"`
}

// The actions of an order.
const (
	ActionLoad   = "load"
	ActionUnload = "unload"
	ActionRole   = "role"
)

// Order instructs an upstream to load or unload a model or adapter, or to change its
// role.
type Order struct {
	ID string `json:"id" cbor:"1,keyasint"`
	// FencingNumber is the term of the leader that issued the order.
	FencingNumber uint64 `json:"fencing_number" cbor:"2,keyasint"`
	// Action is ActionLoad, ActionUnload or ActionRole.
	Action  string `json:"action" cbor:"3,keyasint"`
	Model   string `json:"model,omitempty" cbor:"4,keyasint,omitempty"`
	Version string `json:"version,omitempty" cbor:"5,keyasint,omitempty"`
	Adapter string `json:"adapter,omitempty" cbor:"6,keyasint,omitempty"`
	Role    string `json:"role,omitempty" cbor:"7,keyasint,omitempty"`
}
