package controlnode_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlnode"
	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/memnet"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// testGroup is a control group on a network that it shares with others.
type testGroup struct {
	t       *testing.T
	network *memnet.Network
	seeds   []string
	nodes   map[string]*controlnode.Node
	cancels map[string]context.CancelFunc
	ended   map[string]chan struct{}
}

func newTestGroup(t *testing.T, network *memnet.Network) *testGroup {
	return &testGroup{t: t, network: network, nodes: map[string]*controlnode.Node{},
		cancels: map[string]context.CancelFunc{}, ended: map[string]chan struct{}{}}
}

func (g *testGroup) setSeeds(names ...string) {
	g.seeds = nil
	for _, name := range names {
		g.seeds = append(g.seeds, name+":7040")
	}
}

func (g *testGroup) start(name string, bootstrap bool) {
	ctx, cancel := context.WithCancel(context.Background())
	n := controlnode.New(controlnode.Options{
		Host: name, Address: name + ":7040", Zone: "a", Directory: "data", FS: disk.New(), Bootstrap: bootstrap,
		Network: g.network.Node(name), Seeds: func() []string { return append([]string(nil), g.seeds...) },
	})
	ended := make(chan struct{})
	g.nodes[name], g.cancels[name], g.ended[name] = n, cancel, ended
	go func() {
		defer close(ended)
		if err := n.Run(ctx); err != nil && ctx.Err() == nil {
			g.t.Logf("%s ended: %v", name, err)
		}
	}()
}

func (g *testGroup) stop(name string) {
	g.cancels[name]()
	<-g.ended[name]
	delete(g.nodes, name)
}

func (g *testGroup) stopAll() {
	for name := range g.nodes {
		g.stop(name)
	}
}

// startTwoGroups starts a group that replaces one of its hosts, and then another whose host has that one's address.
func startTwoGroups(t *testing.T) (old, fresh *testGroup) {
	network := memnet.New()
	old, fresh = newTestGroup(t, network), newTestGroup(t, network)
	old.setSeeds("c1", "c2", "c3")
	for _, name := range []string{"c1", "c2", "c3"} {
		old.start(name, true)
	}
	time.Sleep(5 * time.Second)
	old.setSeeds("c1", "c2", "c4") // c3 is replaced by c4, and the seeds are told so
	old.stop("c3")
	old.start("c4", false)
	time.Sleep(20 * time.Second)
	fresh.setSeeds("c3", "d1", "d2")
	for _, name := range []string{"c3", "d1", "d2"} {
		fresh.start(name, true)
	}
	time.Sleep(20 * time.Second)
	_, err := old.nodes["c1"].PutDocument(t.Context(), fleetstate.Document{Version: 7, Content: []byte("old")})
	if err == nil {
		_, err = fresh.nodes["d1"].PutDocument(t.Context(), fleetstate.Document{Version: 5, Content: []byte("fresh")})
	}
	if err != nil {
		t.Error(err)
	}
	return old, fresh
}

// Guards against a host that deletes its replica, and joins another group, while its own has no leader.
func TestHostWithoutALeaderStaysInItsGroupAfterAnAddressIsUsedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := startTwoGroups(t)
		before := fresh.nodes["d2"].Members()
		fresh.stop("c3")
		fresh.stop("d1")
		time.Sleep(30 * time.Second)
		content := ""
		if d, err := fresh.nodes["d2"].NewestDocument(t.Context()); err == nil {
			content = string(d.Content)
		}
		after := fresh.nodes["d2"].Members()
		old.stopAll()
		fresh.stopAll()
		g := NewWithT(t)
		g.Expect(content).NotTo(Equal("old"), "the document that the host reads")
		g.Expect(after).To(ConsistOf(before), "the members that the host knows")
	})
}

// Guards against two control groups that mix, after a host of the second has got the address of one that the first replaced.
func TestGroupsDoNotMixAfterAnAddressIsUsedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := startTwoGroups(t)
		old.nodes["c1"].Report(presence.Upstream{ID: "i-old", StartedMS: 1, Service: "app", Address: "10.0.0.9:1", Zone: "a", State: presence.Ready})
		time.Sleep(5 * time.Second)
		_, known := fresh.nodes["d1"].KnownStart("i-old")
		fresh.stop("d2")
		fresh.start("d2", false) // with an empty disk
		time.Sleep(20 * time.Second)
		content := ""
		if d, err := fresh.nodes["d2"].NewestDocument(t.Context()); err == nil {
			content = string(d.Content)
		}
		members := fresh.nodes["d2"].Members()
		old.stopAll()
		fresh.stopAll()
		if known {
			t.Error("the second group knows an upstream that reported to the first")
		}
		if content != "fresh" {
			t.Errorf("a host of the second group reads %q", content)
		}
		if strings.Contains(strings.Join(members, " "), "c1") {
			t.Errorf("a host that lost its disk joined the first group: members %v", members)
		}
	})
}
