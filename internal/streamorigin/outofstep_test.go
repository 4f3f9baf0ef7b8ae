package streamorigin_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// outOfStep is how a gateway misses what the others do.
type outOfStep int

const (
	// cutOff: no message reaches the gateway or leaves it.
	cutOff outOfStep = iota
	// hears: messages reach the gateway, and none leaves it.
	hears
	// speaks: messages leave the gateway, and none reaches it.
	speaks
	// offGateways: the gateway is cut off from the other gateways, but not from control hosts.
	offGateways
	// offControls: the gateway is cut off from the control hosts, but not from gateways.
	offControls
	// woken: the gateway was suspended, and reads the messages of that time last.
	woken
	// healed: the gateway was cut off and no longer is.
	healed
)

var waysOutOfStep = map[outOfStep]string{
	cutOff: "cut off", hears: "hears only", speaks: "speaks only", offGateways: "off gateways", offControls: "off control hosts",
	woken: "woken", healed: "healed",
}

// outOfStepFleet is a keeperFleet of which one gateway is out of step.
type outOfStepFleet struct {
	*keeperFleet
	gateway string
	way     outOfStep
}

// keep sends a record of a stream to its keepers, unless it is lost.
func (f *outOfStepFleet) keep(r streamorigin.Record, began string, inStep bool) {
	f.tables[began].Put(r, now)
	hosts := streamorigin.KeepersOf(r.Fingerprint, began, f.gateways, streamorigin.Keepers)
	for _, host := range append(hosts, streamorigin.KeepersOf(r.Fingerprint, "", f.controls, streamorigin.Keepers)...) {
		if inStep || host != f.gateway || f.way == hears || f.way == offControls {
			f.tables[host].Put(r, now)
		}
	}
}

// search resumes a stream at the gateway that is out of step. One of the other hosts may be gone.
func (f *outOfStepFleet) search(fingerprint uint64, callID string) *streamorigin.Search {
	hosts := slices.Concat(f.controls, f.gateways)
	gone := hosts[f.rnd.IntN(len(hosts))]
	return f.resumeAt(f.gateway, fingerprint, callID, func(host string) bool {
		switch {
		case host == f.gateway:
			return false
		case f.way == woken || f.way == healed:
			return host == gone
		case f.way == offGateways:
			return host == gone || slices.Contains(f.gateways, host)
		case f.way == offControls:
			return host == gone || slices.Contains(f.controls, host)
		}
		return true
	})
}

// Guards against the origin of an earlier try, which is all that a gateway out of step knows of a request, for
// a stream that began at another version through another gateway meanwhile.
func TestGatewayOutOfStepDoesNotTakeAnEarlierTryForTheStream(t *testing.T) {
	const streams, seeds = 20, 200
	for way, name := range waysOutOfStep {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			joined, wentOn, tried := 0, 0, 0
			for seed := range uint64(seeds) {
				f := &outOfStepFleet{keeperFleet: newKeeperFleet(seed), way: way}
				f.gateway = f.gateways[f.rnd.IntN(len(f.gateways))]
				for i := range uint64(streams) {
					fingerprint := i*7919 + seed
					f.keep(record(fingerprint, "earlier", "v1"), f.gateways[f.rnd.IntN(len(f.gateways))], true)
					latest := record(fingerprint, fmt.Sprint("call-", i), "v2")
					began := f.gateways[f.rnd.IntN(len(f.gateways))]
					for began == f.gateway {
						began = f.gateways[f.rnd.IntN(len(f.gateways))]
					}
					f.keep(latest, began, false)
					for _, callID := range []string{latest.CallID, ""} {
						search := f.search(fingerprint, callID)
						if search.Verdict() == streamorigin.Found && search.Origin() != latest.Origin {
							joined++
						}
						if callID != "" && search.Verdict() == streamorigin.Found {
							wentOn++
						}
					}
					tried++
				}
			}
			t.Logf("of %d streams, named and not: %d joined; %d named ones went on", tried, joined, wentOn)
			g.Expect(joined).To(BeZero(), "streams that go on at the version of the earlier try")
			if way != cutOff && way != hears && way != speaks {
				g.Expect(wentOn).To(Equal(tried), "named streams that go on")
			}
		})
	}
}

// Guards against refusing streams that callers do not name while a gateway or a control host is gone.
func TestStreamWithoutNameIsFoundWhileAKeeperIsGone(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		f := &outOfStepFleet{keeperFleet: newKeeperFleet(seed), way: healed}
		f.gateway = f.gateways[f.rnd.IntN(len(f.gateways))]
		r := record(seed, "call", "v2")
		f.keep(r, f.gateways[f.rnd.IntN(len(f.gateways))], true)
		search := f.search(r.Fingerprint, "")
		g.Expect(search.Verdict()).To(Equal(streamorigin.Found), "seed %d", seed)
		g.Expect(search.Origin()).To(Equal(r.Origin))
	}
}
