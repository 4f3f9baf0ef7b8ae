package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// syncInterval is the time between two replies of the control group in these tests.
const syncInterval = 500 * time.Millisecond

// confirm lets the control group reply regularly for a time after now.
func confirm(p *Pool, now time.Time, d time.Duration) {
	for at := syncInterval; at <= d; at += syncInterval {
		p.ControlSynced(now.Add(at))
	}
}

func resumes(p *Pool, version string, now time.Time) bool {
	a, _ := p.Choose(resumedRequest(1, version), now)
	if a != nil {
		p.Release(a)
	}
	return a != nil
}

// Guards against events of two versions in one stream that goes on at a process which restarted with
// another version, and whose first report has not arrived.
func TestUpstreamWhoseConnectionBrokeGetsNoResumedStream(t *testing.T) {
	for _, outcome := range []Outcome{Unreachable, Failed, LinkLost} {
		g := NewWithT(t)
		p := newVersionedPool("v1", "v2")
		a := mustChoose(g, p, resumedRequest(1, "v1"))
		connecting := mustChoose(g, p, resumedRequest(2, "v1"))
		began := mustChoose(g, p, &Request{Service: "engine", Exclude: []string{"u1"}})
		p.Observe(a, outcome, startTime)
		g.Expect(p.Takes(connecting, startTime)).To(BeFalse(), "chosen before, and not sent yet")
		g.Expect(p.Takes(began, startTime)).To(BeTrue(), "a new stream may begin at any version")
		confirm(p, startTime, confirmTime-syncInterval)
		_, refused := p.Choose(resumedRequest(1, "v1"), startTime)
		g.Expect(refused).NotTo(BeNil())
		g.Expect(refused.Reason).To(Equal(VersionUnconfirmed))
		g.Expect(refused.RetryAfter).To(Equal(syncInterval), "the rest of the time")
		g.Expect(resumes(p, "v2", startTime)).To(BeTrue(), "another upstream")
		p.ControlSynced(startTime.Add(confirmTime))
		g.Expect(resumes(p, "v1", startTime.Add(confirmTime))).To(BeTrue())
		p.Observe(a, Served, startTime)
		p.Observe(a, Abandoned, startTime)
		g.Expect(resumes(p, "v1", startTime.Add(confirmTime))).To(BeTrue(), "no connection broke")
	}
}

// Guards against trusting a version while the control group, which would tell of another process, can't be
// reached, or does not hear from the upstream itself.
func TestVersionIsConfirmedOnlyByReachableControlGroup(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	p.Observe(mustChoose(g, p, resumedRequest(1, "v1")), Failed, startTime)
	late := startTime.Add(time.Hour)
	p.ControlSynced(late)
	g.Expect(resumes(p, "v1", late)).To(BeFalse(), "the control group was away")
	confirm(p, late, confirmTime-syncInterval)
	p.Observe(mustChoose(g, p, prefixRequest(1)), Failed, late.Add(confirmTime))
	confirm(p, late.Add(confirmTime), confirmTime-syncInterval)
	g.Expect(resumes(p, "v1", late.Add(2*confirmTime))).To(BeFalse(), "the time counts from the latest break")
	overdue := versionRecords("v1")
	overdue[0].Unresponsive = true
	p.Update(overdue)
	confirm(p, late.Add(2*confirmTime), 2*confirmTime)
	g.Expect(resumes(p, "v1", late.Add(4*confirmTime))).To(BeFalse(), "the heartbeat is overdue")
	p.Update(versionRecords("v1"))
	p.ControlSynced(late.Add(4 * confirmTime))
	g.Expect(resumes(p, "v1", late.Add(4*confirmTime))).To(BeTrue())
}

// Guards against refusing streams at a new process whose version is known, and against sending to it
// what was meant for the process before.
func TestReportOfANewProcessEndsTheDoubt(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	a := mustChoose(g, p, resumedRequest(1, "v1"))
	connecting := mustChoose(g, p, resumedRequest(2, "v1"))
	next := versionRecords("v2")
	next[0].StartedMS = 2
	p.Observe(a, Failed, startTime)
	p.Update(next)
	g.Expect(p.Takes(connecting, startTime)).To(BeFalse(), "the process at that id runs another version")
	g.Expect(resumes(p, "v2", startTime)).To(BeTrue())
	_, refused := p.Choose(resumedRequest(1, "v1"), startTime)
	g.Expect(refused.Reason).To(Equal(NoneOfVersion))
}

// Guards against recording the version of the process before for a stream that begins at one that restarted.
func TestVersionAtAnUpstreamThatWasDownIsUnknown(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1", "v1")
	a := mustChoose(g, p, prefixRequest(1))
	g.Expect(p.VersionAt(a, startTime)).To(Equal("v1"))
	p.Observe(a, Failed, startTime)
	g.Expect(p.VersionAt(a, startTime)).To(Equal("v1"), "most broken exchanges are not those of a process that ends")
	p.ObserveDown(a, startTime)
	p.Observe(a, Failed, startTime)
	g.Expect(p.VersionAt(a, startTime)).To(BeEmpty())
	confirm(p, startTime, confirmTime)
	g.Expect(p.VersionAt(a, startTime.Add(confirmTime))).To(Equal("v1"))
	p.Observe(a, Unreachable, startTime.Add(confirmTime))
	g.Expect(p.VersionAt(a, startTime.Add(confirmTime))).To(BeEmpty())
	g.Expect(p.Replaced(a)).To(BeFalse())
	next := versionRecords("v2", "v1")
	next[0].StartedMS, next[1].StartedMS = 2, 2
	p.Update(next)
	g.Expect(p.VersionAt(a, startTime.Add(confirmTime))).To(BeEmpty(), "the process at that id is another one")
	g.Expect(p.Replaced(a)).To(BeTrue())
	b := mustChoose(g, p, prefixRequest(2))
	g.Expect(p.VersionAt(b, startTime.Add(time.Hour))).To(BeEmpty(), "this host is out of step")
}
