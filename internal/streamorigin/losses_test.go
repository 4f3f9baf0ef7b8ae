package streamorigin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// openStream is a stream whose caller resumes it.
type openStream struct {
	record  streamorigin.Record
	gateway string
}

// keeperFleet holds the tables of gateways and control hosts.
type keeperFleet struct {
	rnd                *rand.Rand
	gateways, controls []string
	tables             map[string]*streamorigin.Table
	// suspended is a control host that processes its datagrams, held back meanwhile, only when it continues.
	suspended string
	held      []streamorigin.Record
}

func newKeeperFleet(seed uint64) *keeperFleet {
	f := &keeperFleet{rnd: rand.New(rand.NewPCG(seed, 1)), tables: map[string]*streamorigin.Table{}}
	for i := range 9 {
		f.gateways = append(f.gateways, fmt.Sprint("gateway-", i))
	}
	for i := range 5 {
		f.controls = append(f.controls, fmt.Sprint("control-", i))
	}
	for _, host := range append(f.gateways, f.controls...) {
		f.tables[host] = streamorigin.NewTable()
	}
	f.suspended = f.controls[f.rnd.IntN(len(f.controls))]
	return f
}

// begin records a stream at a gateway. A tenth of the datagrams is lost.
func (f *keeperFleet) begin(r streamorigin.Record) openStream {
	s := openStream{record: r, gateway: f.gateways[f.rnd.IntN(len(f.gateways))]}
	f.tables[s.gateway].Put(r, now)
	hosts := streamorigin.KeepersOf(r.Fingerprint, s.gateway, f.gateways, streamorigin.Keepers)
	for _, host := range append(hosts, streamorigin.KeepersOf(r.Fingerprint, "", f.controls, streamorigin.Keepers)...) {
		switch {
		case f.rnd.IntN(10) == 0:
		case host == f.suspended:
			f.held = append(f.held, r)
		default:
			f.tables[host].Put(r, now)
		}
	}
	return s
}

// stopGateways loses the records of all gateways, and lets the suspended host continue.
func (f *keeperFleet) stopGateways() {
	for _, host := range f.gateways {
		f.tables[host] = streamorigin.NewTable()
	}
	for _, r := range f.held {
		f.tables[f.suspended].Put(r, now.Add(5*time.Second))
	}
}

// resume searches for the origin of a stream at a random gateway. The answers arrive in any order, and
// one of eight not at all.
func (f *keeperFleet) resume(s openStream, callID string) *streamorigin.Search {
	own := f.gateways[f.rnd.IntN(len(f.gateways))]
	return f.resumeAt(own, s.record.Fingerprint, callID, func(string) bool { return f.rnd.IntN(8) == 0 })
}

// resumeAt searches for the origin of a stream at a gateway, which gets no answer of some hosts.
func (f *keeperFleet) resumeAt(own string, fingerprint uint64, callID string, silent func(host string) bool) *streamorigin.Search {
	q := &streamorigin.Query{Fingerprint: fingerprint, CallID: callID}
	gateways := streamorigin.KeepersOf(q.Fingerprint, own, f.gateways, streamorigin.Lookups)
	controls := streamorigin.KeepersOf(q.Fingerprint, "", f.controls, streamorigin.Lookups)
	search := streamorigin.NewSearch(q, gateways, controls)
	hosts := slices.Concat([]string{own}, gateways, controls)
	for _, i := range f.rnd.Perm(len(hosts)) {
		if silent(hosts[i]) {
			search.AddFailure(hosts[i], "no answer")
			continue
		}
		reply := f.tables[hosts[i]].Get(q.Fingerprint, q.CallID, now.Add(5*time.Second))
		search.Add(hosts[i], &reply)
	}
	return search
}

// Guards against text joined from two versions, and against losing records, when all gateways stop, a control
// host was suspended and datagrams and answers are lost. A third of the requests are alike.
func TestOriginsAreFoundAndNeverMixedUpUnderRandomLosses(t *testing.T) {
	g := NewWithT(t)
	found, named := 0, 0
	for seed := range uint64(200) {
		f := newKeeperFleet(seed)
		var streams []openStream
		for i := range 30 {
			r := record(uint64(max(i-10, 0))*7919, fmt.Sprint("call-", i), fmt.Sprint("v", 1+f.rnd.IntN(2)))
			streams = append(streams, f.begin(r))
		}
		f.stopGateways()
		for _, s := range streams {
			named++
			if search := f.resume(s, s.record.CallID); search.Verdict() == streamorigin.Found {
				found++
				g.Expect(search.Origin()).To(Equal(s.record.Origin), "seed %d", seed)
			}
			if search := f.resume(s, ""); search.Verdict() == streamorigin.Found && s.record.Fingerprint != 0 {
				g.Expect(search.Origin()).To(Equal(s.record.Origin), "seed %d", seed)
			}
			g.Expect(f.resume(s, "never-seen").Verdict()).To(Equal(streamorigin.Unknown), "seed %d", seed)
		}
	}
	g.Expect(float64(found) / float64(named)).To(BeNumerically(">=", 0.98))
	t.Logf("found %d of %d", found, named)
}
