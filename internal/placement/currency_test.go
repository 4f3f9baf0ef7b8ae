package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// release is the history of one upstream that restarts under its id with other software versions.
type release struct {
	// starts are the times, since startTime, at which the control group knew of each process.
	starts []time.Duration
}

func newRelease(rnd *rand.Rand) *release {
	r := &release{starts: []time.Duration{0}}
	for at := time.Duration(0); at < time.Minute; {
		at += time.Duration(500+rnd.IntN(8000)) * time.Millisecond
		r.starts = append(r.starts, at)
	}
	return r
}

// process returns the number of the process that the control group knew at a time.
func (r *release) process(at time.Duration) (n int) {
	for n+1 < len(r.starts) && r.starts[n+1] <= at {
		n++
	}
	return n
}

func (r *release) version(process int) string { return fmt.Sprint("v", process%3) }

// record returns what the control group said at a time.
func (r *release) record(at time.Duration) []presence.Record {
	n := r.process(at)
	record := versionRecords(r.version(n))
	record[0].StartedMS = int64(n + 1)
	return record
}

// Guards against events of two software versions in one stream that goes on at a host which was suspended, with
// replies and requests that waited meanwhile, or which the control group did not reach.
func TestHostOutOfStepPlacesNoResumedStream(t *testing.T) {
	g := NewWithT(t)
	placed, refused := 0, 0
	for seed := range uint64(500) {
		rnd := rand.New(rand.NewPCG(seed, 41))
		r := newRelease(rnd)
		p := NewPool("a")
		for at := time.Duration(0); at < time.Minute; {
			began := at
			answered := began + time.Duration(rnd.IntN(100))*time.Millisecond
			if at = answered + 250*time.Millisecond; rnd.IntN(6) == 0 {
				at += time.Duration(rnd.IntN(5000)) * time.Millisecond // suspended or cut off
			}
			replyFirst := rnd.IntN(2) == 0
			reply := func() {
				p.Update(r.record(answered))
				p.ControlSynced(startTime.Add(began))
			}
			if replyFirst {
				reply()
			}
			for process := range r.process(at) + 1 {
				a, _ := p.Choose(resumedRequest(1, r.version(process)), startTime.Add(at))
				if a == nil {
					refused++
					continue
				}
				placed++
				p.Release(a)
				g.Expect(p.Takes(a, startTime.Add(at))).To(BeTrue())
				g.Expect(p.Takes(a, startTime.Add(at+MaxTableAge+time.Second))).To(BeFalse(), "suspended while it connected")
				var known []string
				for n := r.process(at - MaxTableAge - 100*time.Millisecond); n <= r.process(at); n++ {
					known = append(known, r.version(n))
				}
				g.Expect(known).To(ContainElement(a.Version), "seed %d: what the control group knew lately, at %v", seed, at)
			}
			if !replyFirst {
				reply()
			}
		}
	}
	t.Logf("%d placed, %d refused", placed, refused)
	g.Expect(placed).To(BeNumerically(">=", 10_000))
}

// Guards against refusing streams while the control group is away for all hosts, and against trusting versions of
// which this host alone does not know.
func TestVersionsAreTrustedWhileOtherHostsKnowNoMore(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	g.Expect(resumes(p, "v1", startTime.Add(MaxTableAge))).To(BeTrue())
	late := startTime.Add(time.Minute)
	g.Expect(p.TableCurrent(late)).To(BeFalse())
	_, refused := p.Choose(resumedRequest(1, "v1"), late)
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.Reason).To(Equal(VersionUnconfirmed))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", time.Duration(0)))
	g.Expect(mustChoose(g, p, &Request{Service: "engine"}).Version).To(Equal("v1"), "new streams begin")
	p.ConfirmTable(late)
	g.Expect(resumes(p, "v1", late.Add(MaxTableAge))).To(BeTrue())
	g.Expect(resumes(p, "v1", late.Add(MaxTableAge+1))).To(BeFalse())
	g.Expect(p.TableAge(late)).To(Equal(time.Minute), "what other hosts say is not hearsay of the control group")
	g.Expect(NewPool("a").TableAge(late)).To(Equal(time.Duration(math.MaxInt64)))
}

// Guards against a host that has just started and knows upstreams only from a control host without a leader.
func TestVersionsByHearsayAreUnconfirmed(t *testing.T) {
	g := NewWithT(t)
	p := NewPool("a")
	p.MergeNews(versionRecords("v1"))
	g.Expect(resumes(p, "v1", startTime)).To(BeFalse())
	p.Update(versionRecords("v1"))
	p.ControlSynced(startTime)
	g.Expect(resumes(p, "v1", startTime)).To(BeTrue())
}

// Guards against a reply from before a break that ends the doubt, as the host was suspended in between.
func TestReplyFromBeforeABreakConfirmsNoVersion(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	a := mustChoose(g, p, resumedRequest(1, "v1"))
	broken := startTime.Add(10 * time.Second)
	p.Observe(a, Failed, broken)
	for at := time.Duration(0); at <= 2*confirmTime; at += syncInterval {
		p.ControlSynced(broken.Add(at - 2*confirmTime - syncInterval))
	}
	p.ControlSynced(broken)
	g.Expect(resumes(p, "v1", broken)).To(BeFalse())
	confirm(p, broken, confirmTime)
	g.Expect(resumes(p, "v1", broken.Add(confirmTime))).To(BeTrue())
}

// Guards against a stream that is resumed at an upstream which restarted while this machine was suspended: the
// steady clock does not count that time.
func TestTableIsNotCurrentAfterTheMachineWasSuspended(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1")
	suspended := time.Duration(0)
	p.currency.suspended = func() time.Duration { return suspended }
	p.ControlSynced(startTime.Add(time.Second))
	now := startTime.Add(time.Second + 100*time.Millisecond)
	g.Expect(resumes(p, "v1", now)).To(BeTrue())
	suspended = 2500 * time.Millisecond
	g.Expect(p.TableCurrent(now)).To(BeFalse())
	g.Expect(p.TableAge(now)).To(Equal(2600 * time.Millisecond))
	_, refused := p.Choose(resumedRequest(1, "v1"), now)
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.Reason).To(Equal(VersionUnconfirmed))
	p.ControlSynced(now.Add(100 * time.Millisecond))
	g.Expect(resumes(p, "v1", now.Add(200*time.Millisecond))).To(BeTrue())
}
