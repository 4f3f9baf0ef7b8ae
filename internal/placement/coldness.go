package placement

import (
	"time"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// maxReportDelay is the time in which it reaches a gateway that the reports of an upstream are overdue.
const maxReportDelay = 2 * time.Second

// ColdReason is why a process is taken to be cold.
type ColdReason string

// The values of ColdReason.
const (
	// ColdReported: the process says so in its reports.
	ColdReported ColdReason = "reported"
	// ColdAnswered: the process says so in an answer to this host.
	ColdAnswered ColdReason = "answered"
	// ColdStarted: the process has started, and nothing has stated whether it is cold.
	ColdStarted ColdReason = "started"
	// ColdLost: this host could not connect to the process, or lost its connections.
	ColdLost ColdReason = "lost"
	// ColdZoneReturned: the evacuation of its zone has ended.
	ColdZoneReturned ColdReason = "zone_returned"
)

// InferredColdReasons are the reasons that are not statements of the process.
var InferredColdReasons = []ColdReason{ColdStarted, ColdLost, ColdZoneReturned}

func (r ColdReason) isInferred() bool { return r != "" && r != ColdReported && r != ColdAnswered }

// coldEvidence is what a host knows of the coldness of one process. It addresses a process that is
// cold although nothing says so, as its reports don't arrive or are older than the cause.
type coldEvidence struct {
	// reported is the latest report, received at reportedAt, and answeredCold what an answer to this
	// host stated at answeredColdAt.
	reported   presence.Coldness
	reportedAt time.Time
	// heardAt is a time after which the control group has received a report that changed nothing;
	// zero if unknown.
	heardAt        time.Time
	answeredCold   presence.Coldness
	answeredColdAt time.Time
	// learnedAt is when this host learned of the process.
	learnedAt time.Time
	// lostAt is when this host last failed to reach the process, and regainedAt when it first did
	// after that; zero if it did not.
	lostAt, regainedAt time.Time
}

// setReported records what the control group knows of the process.
func (e *coldEvidence) setReported(c presence.Coldness, now time.Time) {
	if c.Known() && c.Sequence != e.reported.Sequence {
		e.reported, e.reportedAt = c, now
	}
}

// confirmHeartbeats records that the control group does not miss reports of the process. As a cold time that moved
// would have reached this host, the latest report says the same as the known one.
func (e *coldEvidence) confirmHeartbeats(now time.Time) {
	e.heardAt = now.Add(-presence.HeartbeatTimeout - maxReportDelay)
	if !e.reported.Known() && e.regainedAt.IsZero() && e.heardAt.After(e.lostAt) {
		e.regainedAt = now // reported through hosts that do not pass cold times on
	}
}

// statement returns the latest statement of the process, its time and the kind of it. The time is
// zero if there is none.
func (e *coldEvidence) statement() (until, at time.Time, reason ColdReason) {
	at = e.reportedAt
	if !at.IsZero() && e.heardAt.After(at) {
		at = e.heardAt
	}
	if !e.answeredColdAt.IsZero() && !at.After(e.answeredColdAt) {
		return e.answeredCold.Until, e.answeredColdAt, ColdAnswered
	}
	return e.reported.Until, at, ColdReported
}

// coldUntil returns the time until which the process counts as cold, and why. A process of the
// service is cold for duration after its start. A statement of the process takes precedence over
// what is inferred from earlier events.
func (e *coldEvidence) coldUntil(duration time.Duration, zoneReturnedAt time.Time) (until time.Time, reason ColdReason) {
	until, statedAt, reason := e.statement()
	infer := func(since, end time.Time, why ColdReason) {
		if !since.IsZero() && !statedAt.After(since) && end.After(until) {
			until, reason = end, why
		}
	}
	if statedAt.IsZero() {
		infer(e.learnedAt, e.learnedAt.Add(duration), ColdStarted)
	}
	if e.regainedAt.IsZero() {
		infer(e.lostAt, e.lostAt.Add(presence.MaxColdTime), ColdLost)
	} else {
		infer(e.regainedAt, e.regainedAt.Add(duration), ColdLost)
	}
	if zoneReturnedAt.After(e.learnedAt) {
		infer(zoneReturnedAt, zoneReturnedAt.Add(duration), ColdZoneReturned)
	}
	return until, reason
}
