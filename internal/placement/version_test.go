package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// newVersionedPool returns a pool whose engines run the given software versions, as the control group said
// at startTime.
func newVersionedPool(versions ...string) *Pool {
	p := NewPool("a")
	p.Update(versionRecords(versions...))
	p.ControlSynced(startTime)
	return p
}

func versionRecords(versions ...string) []presence.Record {
	var records []presence.Record
	for i, version := range versions {
		records = append(records, presence.Record{Upstream: presence.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "engine", Version: version,
			Zone: "a", State: presence.Ready, StartedMS: 1, Sequence: 1, Slots: 6,
		}})
	}
	return records
}

func resumedRequest(prefix uint64, version string) *Request {
	r := prefixRequest(prefix)
	r.Resumes, r.Version = true, version
	return r
}

// Guards against a stream of one software version that goes on at another.
func TestResumedStreamIsPlacedAtItsVersionOnly(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1", "v2", "v2", "v1", "v2", "")
	for prefix := range uint64(40) {
		for _, version := range []string{"v1", "v2"} {
			a := mustChoose(g, p, resumedRequest(prefix, version))
			g.Expect(a.Version).To(Equal(version))
			p.Release(a)
		}
	}
	for _, version := range []string{"v3", ""} {
		_, refused := p.Choose(resumedRequest(1, version), startTime)
		g.Expect(refused).NotTo(BeNil())
		g.Expect(refused.Reason).To(Equal(NoneOfVersion), "version %q", version)
	}
	plain := &Request{Service: "engine", Resumes: true, Version: "v1"}
	for range 6 {
		g.Expect(mustChoose(g, p, plain).Version).To(Equal("v1"))
	}
}

// Guards against another version as the last resort when all upstreams of the right one have failed.
func TestResumedStreamPrefersUnhealthyUpstreamOfItsVersion(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1", "v2", "v2")
	a := mustChoose(g, p, resumedRequest(1, "v1"))
	p.Observe(a, Unreachable, startTime)
	p.Release(a)
	_, unconfirmed := p.Choose(resumedRequest(1, "v1"), startTime)
	g.Expect(unconfirmed).NotTo(BeNil(), "it may have restarted with another version")
	g.Expect(unconfirmed.Reason).To(Equal(VersionUnconfirmed))
	confirm(p, startTime, confirmTime)
	p.upstreams[a.ID].ejectedUntil = startTime.Add(time.Minute)
	g.Expect(mustChoose(g, p, resumedRequest(1, "v1")).Version).To(Equal("v1"))
	tried := resumedRequest(1, "v1")
	tried.Exclude = []string{a.ID}
	_, refused := p.Choose(tried, startTime)
	g.Expect(refused).NotTo(BeNil())
	g.Expect(refused.Reason).To(Equal(AllTried))
}

// Guards against losing streams that are resumed at the few upstreams of their version while new
// ones still begin at the many of another.
func TestResumedStreamIsAdmittedWhereNewOnesAreNot(t *testing.T) {
	g := NewWithT(t)
	p := newVersionedPool("v1", "v2", "v2")
	var refused *Refusal
	for prefix := uint64(0); refused == nil; prefix++ {
		r := prefixRequest(prefix)
		r.Exclude = []string{"u1", "u2"}
		_, refused = p.Choose(r, startTime)
	}
	g.Expect(refused.Reason).To(Equal(AllFull))
	g.Expect(mustChoose(g, p, resumedRequest(1000, "v1")).Version).To(Equal("v1"))
	for range 100 {
		if _, refused = p.Choose(resumedRequest(1001, "v1"), startTime); refused != nil {
			break
		}
	}
	g.Expect(refused).NotTo(BeNil(), "the backlog stays bounded")
	g.Expect(refused.RetryAfter).To(BeNumerically("<=", maxRetryAfter))
	g.Expect(refused.RetryAfter).To(BeNumerically(">", time.Duration(0)))
}

// Guards against a KV cache of one software version that is read by another.
func TestPrefixIsNotFetchedFromAnotherSoftwareVersion(t *testing.T) {
	g := NewWithT(t)
	fetched := 0
	for prefix := range uint64(60) {
		p := newVersionedPool("v1", "v1", "v2", "v2")
		home := mustChoose(g, p, prefixRequest(prefix))
		p.MarkPrefilled(home, startTime)
		p.Release(home)
		for range 40 {
			a, refused := p.Choose(prefixRequest(prefix), startTime)
			if refused != nil {
				break
			}
			if a.PrefixSource != "" {
				fetched++
				g.Expect(a.PrefixSource).To(Equal(home.Address))
				g.Expect(a.Version).To(Equal(home.Version))
			}
		}
	}
	g.Expect(fetched).To(BeNumerically(">", 0), "an upstream of the same version fetches")
}
