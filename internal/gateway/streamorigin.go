package gateway

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/catalog"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// originSlack is the time after the caller's deadline for which the origin of its stream is kept.
const originSlack = time.Second

// goesOn reports whether the next upstream goes on with a stream of which the caller has events.
func (q *request) goesOn() bool { return q.eventsSent > 0 || q.resumesStream() }

// resumesStream reports whether the caller resumes a stream that it received in part.
func (q *request) resumesStream() bool { return q.Resumes && q.route.Kind == catalog.Streaming }

// recordOrigin records, with the first event of a stream, which software version began it. A version that is not
// known is recorded too: an earlier stream with the same request must not be taken for this one.
func (a *attempt) recordOrigin() {
	if a.goesOn() {
		return
	}
	a.streamVersion = a.version
	a.recorded = true
	a.sendOrigin()
}

// reviewOrigin makes the version that began the stream unknown once another process is known at the upstream:
// that one may have sent the first event, as the upstream had restarted and not reported yet. Hosts with both
// records refuse to resume the stream.
func (a *attempt) reviewOrigin() {
	if !a.recorded || a.streamVersion == "" || !a.handler.Pool.Replaced(a.target) {
		return
	}
	klog.InfoS("version that began a stream is uncertain: the upstream has restarted",
		append(a.logFields(), "target", a.target.ID, "stream_version", a.streamVersion)...)
	a.streamVersion = ""
	a.sendOrigin()
}

// sendOrigin sends the version that began the stream to the hosts that keep it.
func (a *attempt) sendOrigin() {
	if !a.route.Resumable {
		return
	}
	a.handler.Sync.RecordStreamOrigin(streamorigin.Record{
		Fingerprint: a.fingerprint(), CallID: a.ID, Origin: streamorigin.Origin{Service: a.serviceName, Version: a.streamVersion},
		Lifetime: a.originLifetime(),
	})
}

// originLifetime returns the time for which the origin of the stream is kept from now on. Its caller may count its time from the end of
// the body.
func (q *request) originLifetime() time.Duration {
	return time.Until(q.bodyReadAt.Add(q.callerTimeout())) + originSlack
}

// findOrigin finds out which software version began the stream that the caller resumes, and
// refuses the request if that is not known or the route no longer leads to its service.
func (q *request) findOrigin() *errkind.Error {
	if !q.resumesStream() {
		return nil
	}
	q.originSearch = q.handler.Sync.StreamOrigin(q.ctx, q.fingerprint(), q.StreamOrigin)
	switch q.originSearch.Verdict() {
	case streamorigin.Found:
	case streamorigin.Ambiguous:
		return q.notResumable(reasonAmbiguousOrigin, "streams with this request began at several software versions")
	case streamorigin.Unconfirmed:
		return q.notResumable(reasonUnconfirmedOrigin, "too few hosts answered to know that no stream with this request began at another software version")
	default:
		return q.notResumable(reasonUnknownOrigin, "the software version that began the stream is not known")
	}
	origin := q.originSearch.Origin()
	if origin.Version == "" {
		return q.notResumable(reasonVersionUnrecorded, "the software version of the upstream that began the stream was not known")
	}
	if !slices.ContainsFunc(q.route.Targets, func(t catalog.Target) bool { return t.Service == origin.Service && t.Weight > 0 }) {
		return q.notResumable(reasonRouteChanged, "the route no longer leads to the service that began the stream")
	}
	q.setService(origin.Service)
	q.streamVersion = origin.Version
	return nil
}

// Reasons why a stream is not resumable, as used in metrics and logs. Streams that were not resumed for
// another reason are counted by the kind of their refusal.
const (
	reasonUnknownOrigin      = "origin_unknown"
	reasonAmbiguousOrigin    = "origin_ambiguous"
	reasonUnconfirmedOrigin  = "origin_unconfirmed"
	reasonVersionUnrecorded  = "version_unrecorded"
	reasonRouteChanged       = "route_changed"
	reasonNoneOfVersion      = "none_of_version"
	reasonVersionUnconfirmed = "version_unconfirmed"
)

// notResumable returns the refusal of a stream that can't go on for the given reason.
func (q *request) notResumable(reason, message string) *errkind.Error {
	q.notResumedReason = reason
	return errkind.New(errkind.StreamNotResumable, "%s", message).WithRetryAfter(noUpstreamRetryAfter)
}

// countNotResumed counts a resumed stream that is refused, and returns the fields that tell why in logs.
func (q *request) countNotResumed(e *errkind.Error) []any {
	if q.Call == nil || q.route == nil || !q.resumesStream() {
		return nil
	}
	reason := cmp.Or(q.notResumedReason, string(e.Kind))
	telemetry.StreamNotResumed(q.handler.Scope, reason).Inc(1)
	fields := []any{"not_resumed", reason, "stream_version", q.streamVersion}
	if q.originSearch != nil {
		fields = append(fields, q.originSearch.LogFields()...)
	}
	return fields
}
