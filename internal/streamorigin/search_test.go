package streamorigin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

// search returns a search at host-0, which asks the other hosts, after the first of them have answered.
func search(callID string, hosts int, replies ...streamorigin.Reply) *streamorigin.Search {
	var others []string
	for i := 1; i < hosts; i++ {
		others = append(others, fmt.Sprint("host-", i))
	}
	half := len(others) / 2
	s := streamorigin.NewSearch(&streamorigin.Query{Fingerprint: 1, CallID: callID}, others[:half], others[half:])
	for i := range replies {
		s.Add(fmt.Sprint("host-", i), &replies[i])
	}
	return s
}

// Guards against waiting for hosts that can't change the decision, and against deciding too early.
func TestFirstHostThatKnowsANamedCallDecides(t *testing.T) {
	g := NewWithT(t)
	unknown, ambiguous := streamorigin.Reply{}, streamorigin.Reply{Ambiguous: true}
	s := search("a", 8, unknown, unknown)
	g.Expect(s.Verdict()).To(Equal(streamorigin.Undecided))
	s = search("a", 8, unknown, found("v1"), found("v2"), ambiguous)
	g.Expect(s.Verdict()).To(Equal(streamorigin.Found), "later answers change nothing")
	g.Expect(s.Origin().Version).To(Equal("v1"))
	g.Expect(search("a", 8, ambiguous).Verdict()).To(Equal(streamorigin.Ambiguous))
	g.Expect(search("a", 2, unknown, unknown).Verdict()).To(Equal(streamorigin.Unknown), "all have answered")
	s = search("a", 2, unknown)
	s.AddFailure("host-1", "no connection")
	g.Expect(s.Verdict()).To(Equal(streamorigin.Unknown), "all have answered or failed")
	g.Expect(s.LogFields()).To(ContainElements(2, 1, []string{"host-0: unknown", "host-1: no connection"}))
}

// Guards against text joined from two versions if the caller does not name the call: one host that
// knows another origin must prevent the stream from going on, in whatever order the answers arrive.
func TestAllAnswersMustAgreeOnACallWithoutName(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(200) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		replies := make([]streamorigin.Reply, 8)
		versions := map[string]bool{}
		conflict := false
		for i := range replies {
			switch rnd.IntN(4) {
			case 0:
				version := fmt.Sprint("v", 1+rnd.IntN(6)/5)
				replies[i], versions[version] = found(version), true
			case 1:
				if rnd.IntN(20) == 0 {
					replies[i], conflict = streamorigin.Reply{Ambiguous: true}, true
				}
			}
		}
		want := streamorigin.Unknown
		switch {
		case conflict || len(versions) > 1:
			want = streamorigin.Ambiguous
		case len(versions) == 1:
			want = streamorigin.Found
		}
		g.Expect(search("", len(replies), replies...).Verdict()).To(Equal(want), "seed %d", seed)
	}
	s := search("", 8, found("v1"))
	g.Expect(s.Verdict()).To(Equal(streamorigin.Undecided), "others may know another origin")
	s.End()
	g.Expect(s.Verdict()).To(Equal(streamorigin.Unconfirmed), "no other host has answered in time")
}

// Guards against taking the silence of hosts for an answer if the caller does not name the call: all but one
// of the gateways or of the control hosts must have answered, or those that did not may know another origin.
func TestSilentHostsDoNotAgree(t *testing.T) {
	g := NewWithT(t)
	const asked = 4
	known, unknown := found("v1"), streamorigin.Reply{}
	for gateways := range asked + 1 {
		for controls := range asked + 1 {
			var hosts [2][]string
			for i := range asked {
				hosts[0], hosts[1] = append(hosts[0], fmt.Sprint("gateway-", i)), append(hosts[1], fmt.Sprint("control-", i))
			}
			s := streamorigin.NewSearch(&streamorigin.Query{Fingerprint: 1}, hosts[0], hosts[1])
			s.Add("own", &known)
			for _, host := range slices.Concat(hosts[0][:gateways], hosts[1][:controls]) {
				s.Add(host, &unknown)
			}
			s.End()
			want := streamorigin.Unconfirmed
			if max(gateways, controls) >= asked-1 {
				want = streamorigin.Found
			}
			g.Expect(s.Verdict()).To(Equal(want), "%d gateways and %d control hosts answered", gateways, controls)
		}
	}
	alone := streamorigin.NewSearch(&streamorigin.Query{Fingerprint: 1}, nil, nil)
	alone.Add("own", &known)
	g.Expect(alone.Verdict()).To(Equal(streamorigin.Unconfirmed), "other hosts may not be known yet")
}

// Guards against control hosts that lack the record because the group has changed between the beginning
// of a stream and its resumption.
func TestControlHostsAreFoundAfterOneChangeOfTheGroup(t *testing.T) {
	g := NewWithT(t)
	for _, size := range []int{5, 7, 9} {
		var members []string
		for i := range size {
			members = append(members, fmt.Sprintf("10.1.0.%d:7100", i))
		}
		later := append([]string{"10.1.0.200:7100"}, members[1:]...) // one was replaced
		for i := range 500 {
			fingerprint := uint64(i) * 7919
			kept := streamorigin.KeepersOf(fingerprint, "", members, streamorigin.Keepers)
			asked := streamorigin.KeepersOf(fingerprint, "", later, streamorigin.Lookups)
			g.Expect(kept).To(HaveLen(streamorigin.Keepers))
			common := 0
			for _, k := range kept {
				for _, a := range asked {
					if a == k {
						common++
					}
				}
			}
			g.Expect(common).To(BeNumerically(">=", streamorigin.Keepers-1))
		}
	}
}
