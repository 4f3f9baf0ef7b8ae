package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/telemetry"
)

// sharedSegments returns the hashes of the segments of the prompt that other requests may have
// too.
func (c *Call) sharedSegments() []uint64 {
	if len(c.Prompt) < 2 {
		return nil
	}
	hashes := make([]uint64, 0, len(c.Prompt)-1)
	for _, s := range c.Prompt[:len(c.Prompt)-1] {
		hashes = append(hashes, s.Hash)
	}
	return hashes
}

// fingerprint returns a hash of what is the same in all retries of a request.
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

// checkQuarantine refuses the request if it or a segment of its prompt is in quarantine.
func (q *request) checkQuarantine() *errkind.Error {
	quarantined := q.handler.Sync.Traits().Quarantined()
	if len(quarantined) == 0 {
		return nil
	}
	for _, segment := range q.sharedSegments() {
		if quarantined[segment] {
			return quarantinedError("part " + strconv.FormatUint(segment, 16) + " of the prompt")
		}
	}
	if quarantined[q.fingerprint()] {
		return quarantinedError("the request")
	}
	return nil
}

func quarantinedError(trait string) *errkind.Error {
	return errkind.New(errkind.Quarantined, "%s crashed every upstream that ran it", trait).
		WithRetryAfter(crashcause.QuarantineDuration)
}

// recordBegun records that the upstream has begun to answer, which clears the segments of the
// prompt.
func (a *attempt) recordBegun() {
	if a.begun {
		return
	}
	a.begun = true
	if segments := a.sharedSegments(); len(segments) > 0 {
		a.handler.Sync.Traits().RecordSound(time.Now(), segments...)
	}
}

// recordComplete records that the upstream has answered to the end, which clears the request. The
// fingerprint is computed only if an upstream has crashed lately.
func (a *attempt) recordComplete() {
	if traits := a.handler.Sync.Traits(); traits.Watching() {
		traits.RecordSound(time.Now(), a.fingerprint())
	}
}

// reportCrash reports to the control group that the upstream crashed at the given time while it
// ran the request. An upstream that still accepts connections has not crashed.
func (a *attempt) reportCrash(at time.Time) {
	if a.handler.Paths.Reachable(context.Background(), a.target.Address) {
		return
	}
	a.handler.Pool.ObserveDown(a.target, time.Now())
	crash := crashcause.Crash{
		Fingerprint: a.fingerprint(), Upstream: a.target.ID, StartedMS: a.target.StartedMS, SentAt: a.sentAt, CrashedAt: at,
	}
	if !a.begun {
		crash.Segments = a.sharedSegments()
	}
	a.handler.upstreamCrashes.Inc(1)
	a.handler.Sync.ReportCrash(crash)
	fields := []any{
		telemetry.FieldRequestID, a.ID, "route", a.route.Name, "upstream", crash.Upstream, "started_ms", crash.StartedMS,
		"fingerprint", crash.Fingerprint, "begun", a.begun, "segments", a.sharedSegments(), "ran_ms", at.Sub(a.sentAt).Milliseconds(),
	}
	if a.organisation != nil {
		fields = append(fields, telemetry.FieldOrganisation, a.organisation.Name)
	}
	klog.InfoS("upstream crashed while running a request", fields...)
}
