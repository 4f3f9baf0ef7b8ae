package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/notice"
)

const (
	// brittleTime is the time after the latest answer that said so for which the upstreams of a
	// service are taken to be brittle.
	brittleTime = 3 * time.Second
	// brittleFill is the share of an upstream's slots that all hosts together use while it is
	// brittle. The rest is room for requests that end later than the hosts know.
	brittleFill = 0.9
	// brittleWait is the time for which a host sends nothing to a brittle upstream that turned one of
	// its requests away.
	brittleWait = time.Second
)

// brittleness is what the upstreams of a service say of rejections.
type brittleness struct {
	// maxRejections is the number of requests that one of them may turn away in a second.
	maxRejections float64
	since, until  time.Time
}

// observeBrittleness records that an upstream is brittle. All upstreams of its service are.
func (p *Pool) observeBrittleness(u *Upstream, n notice.Notice, requestID string, now time.Time) {
	b := p.brittle[u.Service]
	if b == nil {
		b = &brittleness{since: now}
		p.brittle[u.Service] = b
		klog.InfoS("upstreams of a service are brittle: sending no more than they have room for", "service", u.Service, "upstream", u.ID,
			"request_id", requestID, "max_rejections_per_second", n.MaxRejections, "hosts", len(p.fleet.hosts))
	}
	b.maxRejections, b.until = n.MaxRejections, now.Add(brittleTime)
}

// isBrittle reports whether the upstreams of a service are brittle.
func (p *Pool) isBrittle(service string, now time.Time) bool {
	b := p.brittle[service]
	if b == nil {
		return false
	}
	if now.Before(b.until) {
		return true
	}
	klog.InfoS("upstreams of a service are no longer brittle", "service", service, "for_ms", b.until.Sub(b.since).Milliseconds())
	delete(p.brittle, service)
	return false
}

// brittleShare returns the number of requests that this host may have in flight at a brittle
// upstream. The shares of all hosts that know the same fleet add up to the room of the upstream, so
// that it turns none away whatever the hosts know of each other's load.
func (p *Pool) brittleShare(u *Upstream) int {
	if share, known := p.brittleShares[u.ID]; known {
		return share
	}
	room := max(int(brittleFill*float64(u.Slots)), 1)
	hosts := max(len(p.fleet.hosts), 1)
	share := room / hosts
	if p.fleet.rankFor(u.ID) < room%hosts {
		share++
	}
	p.brittleShares[u.ID] = share
	return share
}

// rankFor returns the number of hosts of higher rendezvous weight for an upstream than this one.
func (f *fleet) rankFor(upstream string) (rank int) {
	own := rendezvousWeightOfHost(upstream, f.own)
	for _, h := range f.hosts {
		if other := rendezvousWeightOfHost(upstream, h); h != f.own && (other > own || other == own && h < f.own) {
			rank++
		}
	}
	return rank
}
