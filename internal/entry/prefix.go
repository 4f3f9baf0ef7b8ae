package entry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// checkPrefix refuses a call whose prompt begins like those of calls that crashed upstreams.
// Containment knows whole bodies only.
func (x *exchange) checkPrefix() error {
	quarantined := x.h.Traits.Quarantined()
	if len(quarantined) == 0 {
		return nil
	}
	for _, prefix := range x.prefix {
		if quarantined[prefix] {
			return errkind.New(errkind.Quarantined, "upstreams crashed while they ran requests with the prompt prefix %s",
				strconv.FormatUint(prefix, 16))
		}
	}
	return nil
}

// recordBegun records that the upstream has begun to answer, which clears the prefixes of the prompt.
func (x *exchange) recordBegun() {
	if x.begun {
		return
	}
	x.begun = true
	if len(x.prefix) > 0 {
		x.h.Traits.RecordSound(x.h.Now(), x.prefix...)
	}
}

// recordComplete records that the upstream has answered to the end, which clears the request.
func (x *exchange) recordComplete() {
	if x.h.Traits.Watching() {
		x.h.Traits.RecordSound(x.h.Now(), x.fingerprint())
	}
}

func (x *exchange) fingerprint() uint64 { return xxhash.Sum64String(x.bodyHash) }

// reportTraits reports what the call has in common with others that t was running when it crashed.
func (x *exchange) reportTraits(t target) {
	crash := crashcause.Crash{
		Upstream: t.entry.ID, StartedMS: int64(t.incarnation), Fingerprint: x.fingerprint(),
		SentAt: x.dispatchedAt, CrashedAt: x.h.Now(),
	}
	if !x.begun {
		crash.Segments = x.prefix
	}
	x.h.Traits.ReportCrash(crash)
}
