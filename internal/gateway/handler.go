package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/retrylimit"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
	"github.com/godwitbend/godwitbend/internal/telemetry"
	"github.com/godwitbend/godwitbend/internal/upstreamhttp"
	"github.com/godwitbend/godwitbend/internal/upstreampath"
)

// timeToFirstEventBuckets are the upper bounds of the histogram of times to the first event.
var timeToFirstEventBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	600 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second,
}

// Options are the dependencies of a Handler.
type Options struct {
	Dialect Dialect
	Sync    *hostsync.Client
	Pool    *placement.Pool
	Retries *retrylimit.Limiter
	// Paths connects to upstreams.
	Paths *upstreampath.Dialer
	Scope tally.Scope
	// Clock returns the time since boot in nanoseconds.
	Clock func() int64
	// OrderByValue makes requests of plain services wait for a free place, ordered by their value, instead
	// of being refused when all upstreams are full.
	OrderByValue bool
}

// Handler implements http.Handler for the requests of callers.
type Handler struct {
	Options
	upstreams *upstreamhttp.Client
	// startupDeadline is the time until which requests wait for the first configuration.
	startupDeadline time.Time
	// requestsEnded is done once the requests in flight must be answered without waiting for their upstreams, unless
	// their answer has begun, and streamsEnded once streams that have begun must end.
	requestsEnded    context.Context
	endRequests      context.CancelFunc
	streamsEnded     context.Context
	endStreams       context.CancelFunc
	stop             *stop
	openStreams      openStreams
	runMoves         runMoves
	workTimes        workTimes
	served           tally.Counter
	uncharged        tally.Counter
	upstreamCrashes  tally.Counter
	limitRefusals    tally.Counter
	warmUpRefusals   tally.Counter
	notices          noticeCounters
	timeToFirstEvent tally.Histogram
	// places holds the requests that wait for an upstream; nil unless Options.OrderByValue is set.
	places *places
}

// NewHandler returns a handler that serves requests with the given dependencies.
func NewHandler(o Options) *Handler {
	requestsEnded, endRequests := context.WithCancel(context.Background())
	streamsEnded, endStreams := context.WithCancel(context.Background())
	h := &Handler{
		requestsEnded: requestsEnded, endRequests: endRequests,
		streamsEnded: streamsEnded, endStreams: endStreams,
		stop:             newStop(o.Scope),
		Options:          o,
		upstreams:        upstreamhttp.NewClient(recordingVia(o.Paths.Dial)),
		startupDeadline:  time.Now().Add(startupTimeout),
		served:           o.Scope.Counter("answers"),
		uncharged:        o.Scope.Counter("withdrawn_uncharged"),
		upstreamCrashes:  o.Scope.Counter("upstream_crashes"),
		limitRefusals:    o.Scope.Counter("limit_refusals"),
		warmUpRefusals:   o.Scope.Counter("warm_up_refusals"),
		notices:          newNoticeCounters(o.Scope),
		timeToFirstEvent: o.Scope.Histogram("first_byte", timeToFirstEventBuckets),
	}
	h.upstreams.Instrument(o.Scope)
	if o.OrderByValue {
		h.places = newPlaces(o.Pool, o.Scope)
	}
	return h
}

// AnswerMemory returns the memory that answers of upstreams take, in bytes.
func (h *Handler) AnswerMemory() int64 { return h.upstreams.MemoryInUse() }

// EndRequests answers the requests in flight at once, without their upstreams. Streams that have begun go on.
func (h *Handler) EndRequests() { h.endRequests() }

// EndStreams breaks off the streams that have begun.
func (h *Handler) EndStreams() { h.endStreams() }

// Ready returns nil if the host can accept new connections, or an error that states why not.
func (h *Handler) Ready() error {
	if h.stop.refuses() {
		return errkind.New(errkind.Draining, "the host is stopping")
	}
	if h.Sync.View() == nil {
		return errkind.New(errkind.ControlUnavailable, "no configuration has been received")
	}
	return nil
}

// request is the state of one request that the handler is serving.
type request struct {
	*Call
	handler *Handler
	view    *hostsync.View
	route   *catalog.Route
	// serviceName is the name of the service that serves the request.
	serviceName  string
	service      *catalog.Service
	organisation *catalog.Organisation
	arrived      time.Time
	// bodyReadAt is when the body was read, and lastSentAt when the request was last sent to an upstream.
	bodyReadAt time.Time
	lastSentAt time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout, counted from the head of the request. It binds
	// until a stream has begun, see streamDeadline.
	deadline time.Time
	// ctx is a requestContext.
	ctx context.Context
	// phase is an answerPhase.
	phase atomic.Int32
	// reservedTokens is the number of tokens reserved from the allowance.
	reservedTokens int64
	// budgetDecision is the result of the latest reservation, or nil, and tokenSearch that of
	// the latest search for tokens.
	budgetDecision *prepaid.Decision
	tokenSearch    *tokenSearch
	// mayHaveRun reports whether an upstream may have run the request, if only in part.
	mayHaveRun bool
	// mayHaveBegun reports whether an upstream may have begun to answer, from which time on the
	// prompt counts as used.
	mayHaveBegun bool
	// eventsSent is the number of stream events sent to the caller. The stream is
	// resumable if the last of them had an id, which is lastEventID.
	eventsSent  int64
	lastEventID int64
	resumable   bool
	// streamVersion is the software version of the upstream that began the stream; empty until
	// the first event, or if it is unknown.
	streamVersion string
	// originSearch is the search for the origin of the stream that the caller resumes, and
	// notResumedReason tells why that is not resumable; both may be unset.
	originSearch     *streamorigin.Search
	notResumedReason string
	// timeToFirstEvent is the time to the first event or, for a buffered answer, to the
	// first byte. longestGap is the longest pause between two events, and lastEventAt
	// the time of the latest event.
	timeToFirstEvent time.Duration
	longestGap       time.Duration
	lastEventAt      time.Time
	// longestWrite is the longest time that the caller took to accept a part of the answer, and outcome what the
	// caller got.
	longestWrite time.Duration
	outcome      callerOutcome
	// attempts is the number of upstreams that the request was sent to, upstreamID the
	// id of the latest of them, and excludedUpstreams the ids of all that were tried,
	// unreachable ones included.
	attempts          int
	excludedUpstreams []string
	upstreamID        string
	// upstreamVersion is the software version of the latest upstream.
	upstreamVersion string
	// via is the address of the host through which the latest upstream was reached; empty if by the host's own links.
	via string
	// backlog and prefillRate are those of the latest upstream, or of the latest refusal
	// to choose one, in tokens and tokens per millisecond.
	backlog     int64
	prefillRate float64
	// valuation is how the request was valued when it found too little capacity; nil if it did not.
	valuation *valuation
	// lastFailure is the reason of the latest failed attempt, and endedBy who ended that.
	lastFailure string
	endedBy     endReason
	// runWasMoved reports that a run of the request was asked to stop, so as to go on elsewhere, which is done once at most.
	runWasMoved bool
	// unacked returns the time since the latest upstream last sent data or an acknowledgement; nil until one answers with a stream.
	unacked func() time.Duration
	// substitute is where the stream goes on next, as its upstream acknowledges nothing; nil if that is not so.
	substitute atomic.Pointer[substitute]
	// openStream is nil until the caller gets the beginning of a stream.
	openStream *openStream
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{handler: h, arrived: time.Now()}
	h.stop.requestBegan()
	defer func() { h.stop.requestEnded(q.streaming()) }()
	defer q.countStopped()
	defer q.recordWorkTime()
	refusal := q.admit(w, r)
	if refusal == nil {
		refusal = q.serve(w, r)
	}
	switch {
	case refusal == nil:
	case q.eventsSent > 0:
		// A refusal after stream events would make the truncated stream look complete.
		q.abort(refusal)
	default:
		h.refuse(w, q, refusal)
	}
}

// admit decodes, authenticates and checks the request, and reads its body.
func (q *request) admit(w http.ResponseWriter, r *http.Request) *errkind.Error {
	call, refusal := q.handler.Dialect.Decode(r)
	if refusal != nil {
		return refusal
	}
	q.Call = call
	if q.view = q.awaitView(r.Context()); q.view == nil {
		return errkind.New(errkind.ControlUnavailable, "no configuration has been received").WithRetryAfter(noConfigurationRetryAfter)
	}
	if refusal := q.identify(); refusal != nil {
		return refusal
	}
	if refusal := q.checkDraining(); refusal != nil {
		return refusal
	}
	q.setDeadline()
	q.setService(q.pickService())
	if refusal := q.readBody(w, r); refusal != nil {
		return refusal
	}
	if refusal := q.checkDraining(); refusal != nil {
		return refusal
	}
	if refusal := q.checkStopTime(); refusal != nil {
		return refusal
	}
	return q.checkQuarantine()
}

// checkDraining refuses the request if the host is stopping.
func (q *request) checkDraining() *errkind.Error {
	if !q.handler.stop.refuses() {
		return nil
	}
	return errDraining()
}

func errDraining() *errkind.Error {
	return errkind.New(errkind.Draining, "the host is stopping").WithRetryAfter(drainingRetryAfter)
}

func (q *request) setService(name string) {
	q.serviceName, q.service = name, q.view.Index.Service(name)
}

// serve reserves tokens, sends the request to upstreams, and settles the reservation.
func (q *request) serve(w http.ResponseWriter, r *http.Request) *errkind.Error {
	defer q.bindContext(r.Context())()
	defer q.removeOpenStream()
	if refusal := q.findOrigin(); refusal != nil {
		return refusal
	}
	if refusal := q.reserve(); refusal != nil {
		return refusal
	}
	defer q.settle()
	return q.dispatch(w)
}

// refuse answers with e, logs it and counts it by kind.
func (h *Handler) refuse(w http.ResponseWriter, q *request, e *errkind.Error) {
	telemetry.Refusal(h.Scope, e.Kind).Inc(1)
	fields := append(q.logFields(), q.countNotResumed(e)...)
	klog.InfoS("request refused", append(fields, "kind", string(e.Kind), "reason", e.Message,
		"retry_after_ms", e.RetryAfterMS, "ran", q.mayHaveRun, "begun", q.mayHaveBegun)...)
	h.closeIfStopping(w)
	h.Dialect.Refuse(w, q.Call, e)
	q.outcome = gotRefusal
}

func (q *request) logFields() []any {
	fields := []any{"after_ms", time.Since(q.arrived).Milliseconds()}
	if q.Call != nil {
		fields = append(fields, telemetry.FieldRequestID, q.ID)
	}
	if q.view != nil {
		fields = append(fields, "version", q.view.Index.Document.Version)
	}
	if q.route != nil {
		fields = append(fields, "route", q.route.Name)
	}
	if q.organisation != nil {
		fields = append(fields, telemetry.FieldOrganisation, q.organisation.Name)
	}
	if d := q.budgetDecision; d != nil && d.Verdict != prepaid.Granted {
		fields = append(fields, "tokens_held", d.Free, "tokens_allowed", d.Allowed, "balance", d.Balance,
			"balance_age_ms", d.BalanceAge.Milliseconds())
		if s := q.tokenSearch; s != nil && s.borrows {
			fields = append(fields, "borrows", true, "holder_wait_ms", s.holderWait.Milliseconds())
		}
	}
	if q.attempts > 0 {
		fields = append(fields, "upstream", q.upstreamID, "software_version", q.upstreamVersion, "attempts", q.attempts)
	}
	if q.via != "" {
		fields = append(fields, "via", q.via)
	}
	if q.Call != nil && q.Resumes {
		fields = append(fields, "resumes_after", q.ResumeAfter, "stream_origin", q.StreamOrigin)
	}
	if q.Call != nil && q.InputTokens > 0 {
		fields = append(fields, "input_tokens", q.InputTokens, "backlog_tokens", q.backlog, "pace", int(q.prefillRate))
	}
	if q.valuation != nil {
		fields = append(fields, q.valuation.logFields()...)
	}
	if q.timeToFirstEvent > 0 {
		fields = append(fields, "first_ms", q.timeToFirstEvent.Milliseconds(), "longest_pause_ms", q.longestGap.Milliseconds())
	}
	if q.lastFailure != "" {
		fields = append(fields, "last_failure", q.lastFailure)
	}
	fields = append(fields, q.timeLogFields()...)
	return append(fields, q.stopLogFields()...)
}
