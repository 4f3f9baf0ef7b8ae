package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/godwitbend/godwitbend/internal/admission"
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// call is a checked request of a caller.
type call struct {
	service string
	kind    callKind
	// method, path and contentType are those of the request to the upstream.
	method      string
	path        string
	contentType string
	// below is the decoded path below /services/{service} of a plain call.
	below string
	// body is what is sent to the upstream.
	body       []byte
	bodyHash   string
	repeatable bool
	// worst is the largest charge of the call, in tokens.
	worst int64
	// output is the output limit of a chat call, in tokens over all choices.
	output int64
	// keepUsage tells that the caller asked for the usage event of a stream.
	keepUsage bool
	prefix    []uint64
}

// callKind tells how an answer is passed on.
type callKind int

const (
	callChatStream callKind = iota
	callChatWhole
	callPlain
)

// exchange is one call on its way through the host. One goroutine owns it.
type exchange struct {
	h  *Handler
	w  http.ResponseWriter
	id *identity
	call
	filter config.Filter
	// ctx ends when the caller has gone.
	ctx context.Context
	// work ends with ctx, except for a call that may not be repeated.
	work context.Context
	// requestID is the id of the record.
	requestID string
	// key is the caller's idempotency key, or "".
	key      string
	deadline time.Time
	// session is the host's session that owns the record.
	session string
	// attempt fences the commands of the record.
	attempt uint32
	// consulted tells that Begin told the state of the record, so that the outcome is known.
	consulted bool
	// journalsAwaited tells that another host may have served the request from a
	// standby grant that the control group does not know of yet.
	journalsAwaited bool
	// begun tells that the record is open and owned by this exchange.
	begun bool
	// dispatched is the upstream that the record names as the next one to be tried.
	dispatched target
	// mayHaveRun tells that some dispatch of the record may have run.
	mayHaveRun bool
	// ranEarlier tells that an earlier attempt of the record may have run.
	ranEarlier bool
	// suspect tells that the call must run alone on its upstream.
	suspect bool
	// generation counts the records that were opened to complete the call, and
	// paid is what the earlier ones charged, in tokens.
	generation int
	// completes is the id of the request that the present record completes.
	completes string
	paid      int64
	// ranBefore tells that the call ran and was charged under an earlier record.
	ranBefore bool
	// isRerun tells that the call is charged already, under another record.
	isRerun bool
	// ran are the instances that may have run the call in this attempt, and notRun
	// those that were recorded for it and provably did not.
	ran, notRun []controlapi.Instance
	// dispatches counts the Dispatch commands of the call.
	dispatches uint32
	// runOn are the only upstreams that containment lets the call run on, if any.
	runOn []string
	// tried is the time at which the present try began.
	tried time.Time
	// firstByte is the time from there to the first byte of the answer.
	firstByte time.Duration
	// brokenOff tells that the answer was ended before it was whole.
	brokenOff bool
	// started tells that a byte of the answer has reached the caller.
	started bool
	// failed holds the upstreams that failed in this exchange.
	failed map[string]bool
	// fenced holds the upstreams that were told never to run this call.
	fenced map[string]bool
}

// target is the incarnation of an upstream that is tried. Its zero value names
// none: with an idempotency key the record may have the answer nevertheless.
type target struct {
	entry       *registry.Entry
	incarnation uint64
	address     string
	// asks tells that the upstream can be asked about a request.
	asks bool
	// alone tells that the place was claimed for this call alone.
	alone bool
}

func newTarget(e *registry.Entry, alone bool) target {
	s := e.State()
	return target{entry: e, incarnation: s.Incarnation, address: s.Address, asks: s.ServesRequestState, alone: alone}
}

// gone tells whether the incarnation has surely ended.
func (t target) gone() bool { return t.entry.State().Incarnation > t.incarnation }

// leave gives up the place at the upstream.
func (t target) leave() {
	if t.entry != nil {
		t.entry.Release(t.alone)
	}
}

// id returns the upstream's id, or "" without an upstream.
func (t target) id() string {
	if t.entry == nil {
		return ""
	}
	return t.entry.ID
}

// Times after which a caller is told to come back.
const (
	concurrencyRetry = 100 * time.Millisecond
	inProgressRetry  = 500 * time.Millisecond
)

const (
	// choicePoll is the time between two looks for an upstream.
	choicePoll = 20 * time.Millisecond
	// choiceTime bounds the wait for a first upstream.
	choiceTime = 2 * time.Second
)

// serveCall runs a checked call. The error, if any, has not been answered yet.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, in *incoming, c call) error {
	leave, ok := h.callers.enter(in.caller.Name, h.callerLimit(in.identity))
	if !ok {
		err := errkind.New(errkind.TooManyRequests, "the caller has too many open requests").WithRetryAfter(concurrencyRetry)
		return h.truthful(r.Context(), w, in.key, c.repeatable, err)
	}
	defer leave()
	x := h.newExchange(w, r, in, c)
	leaveOpen, ok := h.open.enter(x.requestID)
	if !ok {
		return errkind.New(errkind.InProgress, "the request is being served").WithRetryAfter(inProgressRetry)
	}
	defer leaveOpen()
	err := x.serve()
	if err == nil {
		return nil
	}
	x.releaseSoon()
	return x.truthful(errkind.From(err))
}

func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, in *incoming, c call) *exchange {
	x := &exchange{
		h: h, w: w, id: in.identity, call: c, session: h.Session(), ctx: r.Context(), work: r.Context(), key: in.key,
		requestID: w.Header().Get(announce.HeaderRequestID),
		deadline:  h.Now().Add(in.deadline()), failed: map[string]bool{}, fenced: map[string]bool{},
	}
	x.filter, _ = in.allowed(c.service)
	if !c.repeatable {
		x.work = context.WithoutCancel(r.Context())
	}
	return x
}

func (h *Handler) callerLimit(id *identity) int {
	if id.caller.MaxConcurrent > 0 {
		return id.caller.MaxConcurrent
	}
	return h.Limits.CallerConcurrent
}

// serve admits the call, opens its record and runs it.
func (x *exchange) serve() error {
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	release, err := x.h.Admission.Acquire(ctx, x.ticket())
	if err != nil && x.giveStoredAnswer() {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	t, err := x.chooseFirst()
	if err != nil && !(x.key != "" && errkind.Is(err, errkind.NoUpstream)) {
		return err
	}
	reply, t, err := x.begin(ctx, t)
	if err != nil {
		return err
	}
	return x.proceed(ctx, reply, t)
}

func (x *exchange) ticket() admission.Ticket {
	return admission.Ticket{
		Service:      x.service,
		Organisation: x.id.caller.Organisation,
		Class:        x.id.caller.Class,
		Worth:        x.id.class.Worth,
		QueueLimit:   x.id.class.QueueLimit,
		Arrived:      x.h.Now(),
		Deadline:     x.deadline,
	}
}

// chooseFirst claims a place for the first dispatch. While upstreams of the
// service are known but none is usable it waits, though not for long.
func (x *exchange) chooseFirst() (target, error) {
	ctx, cancel := context.WithTimeout(x.work, min(x.untilDeadline(), choiceTime))
	defer cancel()
	for {
		t, err := x.choose()
		if err == nil || !errkind.Is(err, errkind.NoUpstream) {
			return t, err
		}
		known := len(x.h.Registry.Snapshot().Pool(x.service).All) > 0
		if !known || !timing.Sleep(ctx, choicePoll) {
			return target{}, err
		}
	}
}

// choose claims a place at an upstream that has not failed in this exchange.
func (x *exchange) choose() (target, error) {
	req := &routing.Request{
		Service:      x.service,
		Organisation: x.id.caller.Organisation,
		Revision:     x.id.view.Revision(),
		Allowed:      x.filter.Allows,
		Only:         x.runOn,
		Exclude:      x.failed,
		Exclusive:    x.suspect,
		Prefix:       x.prefix,
	}
	for {
		e, err := x.h.Router.Choose(req, x.h.Registry.Snapshot(), x.h.Now(), x.h.Random)
		if err != nil {
			return target{}, err
		}
		if e.Claim(x.suspect) {
			return newTarget(e, x.suspect), nil
		}
	}
}

// chooseAgain claims a place after a failure. It waits for one, a suspect until
// the deadline, and comes back to upstreams that failed before if no other is left.
func (x *exchange) chooseAgain() (target, error) {
	limit := x.untilDeadline()
	if !x.suspect {
		limit = min(limit, choiceTime)
	}
	ctx, cancel := context.WithTimeout(x.work, limit)
	defer cancel()
	for {
		t, err := x.choose()
		if err == nil {
			return t, nil
		}
		clear(x.failed)
		maps.Copy(x.failed, x.fenced)
		if !timing.Sleep(ctx, choicePoll) {
			return target{}, err
		}
	}
}
