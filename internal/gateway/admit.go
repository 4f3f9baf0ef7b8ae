package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
	"github.com/godwitbend/godwitbend/internal/ingress"
)

const (
	// startupTimeout is how long after its start a host lets requests wait for the
	// configuration. It takes about 10 ms to receive it from a running control group,
	// and 0.2 to 0.5 s from one that starts at the same time.
	startupTimeout = time.Second
	// noConfigurationRetryAfter is the usual time that a host needs after its start to
	// find the control group.
	noConfigurationRetryAfter = 500 * time.Millisecond
	// drainingRetryAfter is short, as another host can serve the caller at once.
	drainingRetryAfter = 50 * time.Millisecond
	// defaultCallerTimeout applies to callers that state no deadline.
	defaultCallerTimeout = time.Minute
)

// awaitView returns the configuration, or nil if there is none. Shortly after the start
// of the host it waits for the configuration, for at most half of the caller's timeout:
// this takes less time than a refusal and a retry.
func (q *request) awaitView(ctx context.Context) *hostsync.View {
	deadline := q.handler.startupDeadline
	if halfTimeout := q.arrived.Add(q.CallerTimeout / 2); q.CallerTimeout > 0 && halfTimeout.Before(deadline) {
		deadline = halfTimeout
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return q.handler.Sync.AwaitView(ctx)
}

// identify finds the route and the organisation of the request. A host whose configuration may be
// outdated does not know whether a route or key that it lacks exists.
func (q *request) identify() *errkind.Error {
	refusal := q.findRoute()
	if refusal == nil {
		refusal = q.authenticate()
	}
	if refusal != nil && !q.handler.Sync.ConfigurationCurrent(time.Now()) {
		return errkind.New(errkind.ControlUnavailable, "the configuration may be outdated: %s", refusal.Message).
			WithRetryAfter(noConfigurationRetryAfter)
	}
	return refusal
}

func (q *request) findRoute() *errkind.Error {
	if q.route = q.view.Index.Route(q.Host, q.Path); q.route == nil {
		return errkind.New(errkind.NotFound, "no route matches the host and path")
	}
	return nil
}

// authenticate finds the organisation that owns the caller's API key.
func (q *request) authenticate() *errkind.Error {
	if !q.view.Index.RequiresKeys() || q.route.Anonymous {
		return nil
	}
	if q.organisation = q.view.Index.Organisation(q.Key); q.organisation == nil {
		return errkind.New(errkind.Unauthenticated, "the API key is unknown")
	}
	return nil
}

// setDeadline sets the deadline to the earlier of the caller's deadline and the route's timeout.
func (q *request) setDeadline() {
	q.deadline = q.arrived.Add(min(q.callerTimeout(), q.route.Timeout))
}

// callerTimeout returns how long the caller waits for the answer.
func (q *request) callerTimeout() time.Duration {
	if q.CallerTimeout <= 0 {
		return defaultCallerTimeout
	}
	return q.CallerTimeout
}

// readBody reads the whole body, so that the request can be retried on another upstream
// and a slow caller does not occupy an upstream's connection.
func (q *request) readBody(w http.ResponseWriter, r *http.Request) *errkind.Error {
	q.HasBody = r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut
	limit := q.view.Index.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	limit = min(limit, maxBodyBytes)
	if r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(q.deadline) // if unsupported, the body may arrive late; the request's deadline still applies
	stopReading := context.AfterFunc(q.handler.requestsEnded, func() { _ = control.SetReadDeadline(time.Now()) })
	if q.organisation != nil {
		ingress.Identify(r.Context(), q.organisation.Name)
	}
	body, err := ingress.ReadBody(r, limit, 0)
	stopReading()
	var refusal *errkind.Error
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	} else {
		w.Header().Set("Connection", "close")
	}
	switch {
	case err != nil && q.hostStopped():
		return errDraining()
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, ingress.ErrBodyTooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && r.Context().Err() != nil: // net/http cancels it on each failed read
		return errkind.New(errkind.InvalidRequest, "the body was cut off or is not framed as the head states: %v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.New(errkind.DeadlineUnmet, "the body did not arrive in time")
	case err != nil:
		return errkind.New(errkind.InvalidRequest, "the body is not framed as the head states: %v", err)
	}
	q.Body, q.bodyReadAt = body, time.Now()
	return nil
}

const (
	// defaultMaxBodyBytes bounds the body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBodyBytes bounds the body in any case, as all of it is held in memory.
	maxBodyBytes = 1 << 30
)
