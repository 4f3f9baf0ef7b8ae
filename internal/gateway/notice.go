package gateway

import (
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/placement"
)

// noticeCounters count what upstreams say of themselves in answers.
type noticeCounters struct{ limited, leaving, waiting, brittle, invalid tally.Counter }

func newNoticeCounters(scope tally.Scope) noticeCounters {
	return noticeCounters{
		limited: scope.Counter("upstream_limits"), leaving: scope.Counter("upstream_leavings"),
		waiting: scope.Counter("upstream_waits"), brittle: scope.Counter("brittle_services"), invalid: scope.Counter("upstream_notices_invalid"),
	}
}

func (c noticeCounters) count(change placement.NoticeChange) {
	if change.Limited {
		c.limited.Inc(1)
	}
	if change.Leaving {
		c.leaving.Inc(1)
	}
	if change.Waiting {
		c.waiting.Inc(1)
	}
	if change.Brittle {
		c.brittle.Inc(1)
	}
	if change.Invalid {
		c.invalid.Inc(1)
	}
}
