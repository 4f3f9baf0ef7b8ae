package gateway

import (
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// originSlack is the time after the caller's deadline for which the origin of its stream is kept.
const originSlack = time.Second

// goesOn reports whether the next upstream goes on with a stream of which the caller has events.
func (q *request) goesOn() bool { return q.eventsSent > 0 || q.resumesStream() }

// resumesStream reports whether the caller resumes a stream that it received in part.
func (q *request) resumesStream() bool { return q.Resumes && q.route.Kind == catalog.Streaming }

// recordOrigin records, with the first event of a stream, which software version began it.
func (a *attempt) recordOrigin() {
	if a.goesOn() {
		return
	}
	a.streamVersion = a.target.Version
	if a.streamVersion == "" || !a.route.Resumable {
		return
	}
	timeout := a.CallerTimeout
	if timeout <= 0 {
		timeout = defaultCallerTimeout
	}
	a.handler.Sync.RecordStreamOrigin(streamorigin.Record{
		Fingerprint: a.fingerprint(), CallID: a.ID, Origin: streamorigin.Origin{Service: a.serviceName, Version: a.streamVersion},
		Lifetime: time.Until(a.arrived.Add(timeout)) + originSlack,
	})
}

// findOrigin finds out which software version began the stream that the caller resumes, and
// refuses the request if that is not known or the route no longer leads to its service.
func (q *request) findOrigin() *errkind.Error {
	if !q.resumesStream() {
		return nil
	}
	origin, known := q.handler.Sync.StreamOrigin(q.ctx, q.fingerprint(), q.StreamOrigin)
	if !known {
		return notResumable("the software version that began the stream is not known")
	}
	if !slices.ContainsFunc(q.route.Targets, func(t catalog.Target) bool { return t.Service == origin.Service && t.Weight > 0 }) {
		return notResumable("the route no longer leads to the service that began the stream")
	}
	q.setService(origin.Service)
	q.streamVersion = origin.Version
	return nil
}

func notResumable(reason string) *errkind.Error {
	return errkind.New(errkind.StreamNotResumable, "%s", reason).WithRetryAfter(noUpstreamRetryAfter)
}
