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
	"github.com/godwitbend/godwitbend/internal/membudget"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
	"github.com/godwitbend/godwitbend/internal/timing"
)

// call is a validated request of a caller.
type call struct {
	service string
	kind    callKind
	// method, path and contentType describe the request to the upstream.
	method      string
	path        string
	contentType string
	// subpath is the decoded path below /services/{service} of a plain call.
	subpath string
	// body is the request body sent to the upstream.
	body       []byte
	bodyHash   string
	repeatable bool
	// maxCharge is the largest possible charge of the call, in tokens.
	maxCharge int64
	// outputLimit is the output limit of a chat call, in tokens over all choices.
	outputLimit int64
	// includeUsage is set if the caller asked for the usage event of a stream.
	includeUsage bool
	prefix       []uint64
}

// callKind determines how an answer is relayed.
type callKind int

const (
	callChatStream callKind = iota
	callChatNonStreaming
	callPlain
)

// exchange is the state of one call while the host serves it. It is owned by one goroutine.
type exchange struct {
	h        *Handler
	w        http.ResponseWriter
	identity *identity
	call
	filter config.Filter
	// ctx is cancelled when the caller disconnects.
	ctx context.Context
	// workCtx is ctx, but for a non-repeatable call it outlives the caller. Both end with the handler's requests.
	workCtx context.Context
	// requestID is the id of the current record.
	requestID string
	// idempotencyKey is the caller's idempotency key, or "".
	idempotencyKey string
	deadline       time.Time
	// session is the host's session that owns the record.
	session string
	// attempt is the fencing number of the commands for the record.
	attempt uint32
	// recordKnown is set once Begin has returned the state of the record.
	recordKnown bool
	// journalsAwaited is set if another host may have served the request from a
	// standby grant that it has not reported to the control group yet.
	journalsAwaited bool
	// ownsRecord is set while the record is open and owned by this exchange.
	ownsRecord bool
	// recordedTarget is the upstream that the record names for the next dispatch.
	recordedTarget target
	// mayHaveRun is set if some dispatch of the record may have run.
	mayHaveRun bool
	// earlierAttemptMayHaveRun is set if an earlier attempt of the record may have run.
	earlierAttemptMayHaveRun bool
	// suspect is set if the body may crash upstreams; the call then needs an exclusive upstream.
	suspect bool
	// generation counts the further records opened to complete a partial run;
	// alreadyCharged is the sum charged under earlier records, in tokens.
	generation int
	// completes is the id of the first request that the current record completes, or "".
	completes      string
	alreadyCharged int64
	// ranUnderEarlierRecord is set if the call ran and was charged under an earlier record.
	ranUnderEarlierRecord bool
	// isRerun is set if the call was fully charged under an earlier record.
	isRerun bool
	// mayHaveRunOn are the instances that may have run the call in this attempt;
	// notRunOn are those recorded for it that provably did not run it.
	mayHaveRunOn, notRunOn []controlapi.Instance
	// dispatchCount counts the Dispatch commands of the call.
	dispatchCount uint32
	// containedTo, if not empty, restricts a suspect call to these upstreams.
	containedTo []string
	// dispatchedAt is the start time of the current dispatch.
	dispatchedAt time.Time
	// begun is set once the upstream of the current dispatch has begun to answer.
	begun bool
	// timeToFirstEvent is the time from dispatchedAt to the first relayed event, or
	// to the complete answer if it is not streamed.
	timeToFirstEvent time.Duration
	// aborted is set if the answer was ended before it was complete.
	aborted bool
	// responseStarted is set once the response to the caller has begun.
	responseStarted bool
	// failedUpstreams holds the ids of upstreams that failed in this exchange.
	failedUpstreams map[string]bool
	// memory is the memory in use for the answer to the current dispatch, or nil.
	memory *membudget.Hold
	// fencedUpstreams holds the ids of upstreams that cancelled the call in advance and must not get it again.
	fencedUpstreams map[string]bool
}

// target is the upstream incarnation of a dispatch. Its zero value means no upstream;
// a call with an idempotency key can then still be answered from its record.
type target struct {
	entry       *registry.Entry
	incarnation uint64
	address     string
	// servesRequestState is set if the upstream answers queries about requests.
	servesRequestState bool
	// exclusive is set if the upstream was claimed exclusively for this call.
	exclusive bool
}

func newTarget(e *registry.Entry, exclusive bool) target {
	s := e.State()
	return target{entry: e, incarnation: s.Incarnation, address: s.Address, servesRequestState: s.ServesRequestState, exclusive: exclusive}
}

// terminated reports whether a later incarnation of the upstream has been announced.
func (t target) terminated() bool { return t.entry.State().Incarnation > t.incarnation }

// release releases the claim on the upstream.
func (t target) release() {
	if t.entry != nil {
		t.entry.Release(t.exclusive)
	}
}

// upstreamID returns the upstream's id, or "" for the zero target.
func (t target) upstreamID() string {
	if t.entry == nil {
		return ""
	}
	return t.entry.ID
}

// Retry-After values.
const (
	concurrencyRetryAfter = 100 * time.Millisecond
	inProgressRetryAfter  = 500 * time.Millisecond
)

const (
	// upstreamPollInterval is the interval between attempts to claim an upstream.
	upstreamPollInterval = 20 * time.Millisecond
	// maxUpstreamWait bounds the wait for an upstream, except for suspects.
	maxUpstreamWait = 2 * time.Second
)

// serveCall serves a validated call. A returned error has not been written to the caller.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, in *incoming, c call) error {
	release, ok := h.callerLimiter.acquire(in.caller.Name, h.callerLimit(in.identity))
	if !ok {
		err := errkind.New(errkind.TooManyRequests, "the caller has too many requests in flight").WithRetryAfter(concurrencyRetryAfter)
		return h.resolveOutcome(r.Context(), w, in.idempotencyKey, c.repeatable, err)
	}
	defer release()
	x, end := h.newExchange(w, r, in, c)
	defer end()
	removeInFlight, ok := h.inFlight.add(x.requestID)
	if !ok {
		return errkind.New(errkind.InProgress, "this host is already serving the request").WithRetryAfter(inProgressRetryAfter)
	}
	defer removeInFlight()
	err := x.serve()
	if err == nil {
		return nil
	}
	if x.hostStopped() && !x.mayHaveRun {
		err = errDraining()
	}
	x.releaseWithGrace()
	return x.resolveOutcome(errkind.From(err))
}

// newExchange returns the exchange of a call, and a function that must be called when it has ended.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, in *incoming, c call) (*exchange, context.CancelFunc) {
	ctx, end := h.untilStopped(r.Context())
	x := &exchange{
		h: h, w: w, identity: in.identity, call: c, session: h.Session(), ctx: ctx, workCtx: ctx, idempotencyKey: in.idempotencyKey,
		requestID: w.Header().Get(announce.HeaderRequestID),
		deadline:  h.Now().Add(in.deadline()), failedUpstreams: map[string]bool{}, fencedUpstreams: map[string]bool{},
	}
	x.filter, _ = in.policyFilter(c.service)
	if c.repeatable {
		return x, end
	}
	var endWork context.CancelFunc
	x.workCtx, endWork = h.untilStopped(context.WithoutCancel(ctx))
	return x, func() {
		end()
		endWork()
	}
}

// untilStopped returns a context that ends with parent or by EndRequests.
func (h *Handler) untilStopped(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	stop := context.AfterFunc(h.stopped, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// hostStopped reports whether the call has to be answered because the host stops.
func (x *exchange) hostStopped() bool { return x.h.stopped.Err() != nil }

func (h *Handler) callerLimit(id *identity) int {
	if id.caller.MaxConcurrent > 0 {
		return id.caller.MaxConcurrent
	}
	return h.Limits.CallerConcurrent
}

// serve admits the call, opens its record and dispatches it.
func (x *exchange) serve() error {
	if err := x.checkPrefix(); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(x.ctx, x.deadline)
	defer cancel()
	release, err := x.h.Admission.Acquire(ctx, x.ticket())
	if err != nil && x.replayStoredAnswer() {
		return nil
	}
	if err != nil {
		return err
	}
	defer release()
	t, err := x.chooseFirst()
	if err != nil && !(x.idempotencyKey != "" && errkind.Is(err, errkind.NoUpstream)) {
		return err
	}
	reply, t, err := x.begin(ctx, t)
	if err != nil {
		return err
	}
	return x.handleBeginReply(ctx, reply, t)
}

func (x *exchange) ticket() admission.Ticket {
	return admission.Ticket{
		Service:      x.service,
		Organisation: x.identity.caller.Organisation,
		Class:        x.identity.caller.Class,
		Worth:        x.identity.class.Worth,
		QueueLimit:   x.identity.class.QueueLimit,
		Arrived:      x.h.Now(),
		Deadline:     x.deadline,
	}
}

// chooseFirst claims an upstream for the first dispatch. While the service has
// upstreams but none is usable, it waits up to maxUpstreamWait.
func (x *exchange) chooseFirst() (target, error) {
	ctx, cancel := context.WithTimeout(x.workCtx, min(x.timeToDeadline(), maxUpstreamWait))
	defer cancel()
	for {
		t, err := x.choose()
		if err == nil || !errkind.Is(err, errkind.NoUpstream) {
			return t, err
		}
		known := len(x.h.Registry.Snapshot().Pool(x.service).All) > 0
		if !known || !timing.Sleep(ctx, upstreamPollInterval) {
			return target{}, err
		}
	}
}

// choose claims an upstream that has not failed in this exchange.
func (x *exchange) choose() (target, error) {
	req := &routing.Request{
		Service:      x.service,
		Organisation: x.identity.caller.Organisation,
		Revision:     x.identity.view.Revision(),
		Allowed:      x.filter.Allows,
		Only:         x.containedTo,
		Exclude:      x.failedUpstreams,
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

// chooseForRetry claims an upstream after a failure. It waits up to
// maxUpstreamWait, for a suspect until the deadline, and falls back to upstreams
// that failed before if no other is usable.
func (x *exchange) chooseForRetry() (target, error) {
	limit := x.timeToDeadline()
	if !x.suspect {
		limit = min(limit, maxUpstreamWait)
	}
	ctx, cancel := context.WithTimeout(x.workCtx, limit)
	defer cancel()
	for {
		t, err := x.choose()
		if err == nil {
			return t, nil
		}
		clear(x.failedUpstreams)
		maps.Copy(x.failedUpstreams, x.fencedUpstreams)
		if !timing.Sleep(ctx, upstreamPollInterval) {
			return target{}, err
		}
	}
}
