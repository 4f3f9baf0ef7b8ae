package presence_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/presence"
)

// Guards against upstreams in the table that no host can use, or that hide others.
func TestReportsThatNameNoUsableUpstreamAreInvalid(t *testing.T) {
	g := NewWithT(t)
	usual := func() presence.Upstream {
		return presence.Upstream{
			ID: "i-7f3a91c2", Address: "10.128.0.9:8080", Service: "s", Zone: "porto-a", Version: "v1", Slots: 64,
			State: presence.Ready, StartedMS: now.UnixMilli(), Sequence: 4,
		}
	}
	valid := func(change func(u *presence.Upstream)) bool {
		u := usual()
		change(&u)
		return u.Validate(now) == nil
	}
	for _, change := range []func(u *presence.Upstream){
		func(*presence.Upstream) {},
		func(u *presence.Upstream) { u.State = presence.Draining },
		func(u *presence.Upstream) { u.Zone, u.Version, u.Slots, u.Sequence, u.StartedMS = "", "", 0, 0, 0 },
		func(u *presence.Upstream) { u.Address = "[2001:db8::1]:65535" },
		func(u *presence.Upstream) { u.StartedMS = now.Add(time.Hour).UnixMilli() },
		func(u *presence.Upstream) { u.Service = "dienst-\u00e9" },
		func(u *presence.Upstream) { *u = presence.Upstream{ID: "u", State: presence.Terminated, StartedMS: 1} },
	} {
		u := usual()
		change(&u)
		g.Expect(u.Validate(now)).To(Succeed())
	}
	for _, address := range []string{
		"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:http", ":80", "0.0.0.0:80", "[::]:80",
		"224.0.0.1:80", "[ff02::1]:80", "255.255.255.255:80", "[fe80::1%eth0]:80", "host:80", "http://10.0.0.1:80", "10.0.0.1:80/", " 10.0.0.1:80",
		"[::ffff:0.0.0.0]:80", "[::ffff:255.255.255.255]:80",
	} {
		g.Expect(valid(func(u *presence.Upstream) { u.Address = address })).To(BeFalse(), address)
	}
	for _, name := range []string{"a\x00", "a\nb", "\xff", "\u200b", strings.Repeat("x", 257)} {
		for _, change := range []func(u *presence.Upstream){
			func(u *presence.Upstream) { u.ID = name },
			func(u *presence.Upstream) { u.Service = name },
			func(u *presence.Upstream) { u.Zone = name },
			func(u *presence.Upstream) { u.Version = name },
			func(u *presence.Upstream) { *u = presence.Upstream{ID: name, State: presence.Terminated, StartedMS: 1} },
		} {
			g.Expect(valid(change)).To(BeFalse(), "%q", name)
		}
	}
	for i, change := range []func(u *presence.Upstream){
		func(u *presence.Upstream) { u.ID = "" },
		func(u *presence.Upstream) { u.Service = "" },
		func(u *presence.Upstream) { u.State = 0 },
		func(u *presence.Upstream) { u.State = presence.Terminated + 1 },
		func(u *presence.Upstream) { u.Slots = -1 },
		func(u *presence.Upstream) { u.Slots = math.MaxInt },
		func(u *presence.Upstream) { u.Sequence = -1 },
		func(u *presence.Upstream) { u.Sequence = math.MaxInt64 },
		func(u *presence.Upstream) { u.StartedMS = -1 },
		func(u *presence.Upstream) { u.StartedMS = math.MaxInt64 },
		func(u *presence.Upstream) { u.StartedMS = now.Add(25 * time.Hour).UnixMilli() },
		func(u *presence.Upstream) { u.State, u.StartedMS = presence.Terminated, math.MaxInt64 },
	} {
		g.Expect(valid(change)).To(BeFalse(), "case %d", i)
	}
}
