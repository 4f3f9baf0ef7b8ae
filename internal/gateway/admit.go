package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostsync"
)

const (
	// startPatience is how long after its start a host lets requests wait for the
	// configuration. It finds a group that runs within some ten milliseconds, and one
	// that starts at the same time within 0.2 to 0.5 s.
	startPatience = time.Second
	// unknownConfigurationRetry is the usual time in which a host that has just
	// started finds the control group.
	unknownConfigurationRetry = 500 * time.Millisecond
	// drainingRetry sends callers to another host, which can serve at once.
	drainingRetry = 50 * time.Millisecond
	// quarantineRetry is longer than callers wait: the request won't run today.
	quarantineRetry = time.Minute
	// defaultPatience is the deadline of a caller that did not state one.
	defaultPatience = time.Minute
)

// awaitView returns the configuration, or nil. After the start of the host it may take
// a moment, and a caller that is sent away comes back later than that.
func (q *request) awaitView(ctx context.Context) *hostsync.View {
	until := q.handler.knownBy
	if half := q.arrived.Add(q.Patience / 2); q.Patience > 0 && half.Before(until) {
		until = half
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return q.handler.Sync.AwaitView(ctx)
}

func (q *request) findRoute() *errkind.Error {
	if q.route = q.view.Index.Route(q.Host, q.Path); q.route == nil {
		return errkind.New(errkind.NotFound, "no route matches the host and path")
	}
	return nil
}

// authenticate finds the organisation that holds the caller's key.
func (q *request) authenticate() *errkind.Error {
	if !q.view.Index.NeedsKeys() || q.route.Anonymous {
		return nil
	}
	if q.organisation = q.view.Index.Organisation(q.Key); q.organisation == nil {
		return errkind.New(errkind.Unauthenticated, "the key is unknown")
	}
	return nil
}

// setDeadline takes the earlier of the caller's deadline and the route's timeout.
func (q *request) setDeadline() {
	patience := q.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	q.deadline = q.arrived.Add(min(patience, q.route.Timeout))
}

// readBody reads the whole body, so that a request can go to a second upstream
// and no caller's connection is tied to an upstream's.
func (q *request) readBody(w http.ResponseWriter, r *http.Request) *errkind.Error {
	q.HasBody = r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut
	limit := q.view.Index.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.ContentLength > limit {
		return errkind.New(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(q.deadline) // without it the body may take longer; the deadline still holds
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil && r.Context().Err() != nil:
		return errkind.New(errkind.InvalidRequest, "the caller left before the body was read")
	case err != nil:
		w.Header().Set("Connection", "close")
		return errkind.New(errkind.DeadlineUnmet, "the body did not arrive: %v", err)
	case int64(len(body)) > limit:
		w.Header().Set("Connection", "close")
		return errkind.New(errkind.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	q.Body = body
	return nil
}

// defaultBodyBytes bounds a body while the configuration sets no limit.
const defaultBodyBytes = 4 << 20

// fingerprint names what stays the same when a caller sends a request again.
func (q *request) fingerprint() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range []string{q.Method, q.Authority, q.URI, q.Key} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

func (q *request) checkQuarantine() *errkind.Error {
	if len(q.view.Quarantined) > 0 && q.view.Quarantined[q.fingerprint()] {
		return errkind.New(errkind.Quarantined, "the request brought down each upstream that ran it").
			WithRetryAfter(quarantineRetry)
	}
	return nil
}
