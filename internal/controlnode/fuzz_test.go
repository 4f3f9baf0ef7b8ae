package controlnode

import (
	"testing"
	"time"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fleetstate"
	"github.com/godwitbend/godwitbend/internal/notice"
	"github.com/godwitbend/godwitbend/internal/placement"
	"github.com/godwitbend/godwitbend/internal/prepaid"
	"github.com/godwitbend/godwitbend/internal/presence"
)

// addSeeds adds the encodings of messages to a corpus.
func addSeeds(f *testing.F, messages ...any) {
	for _, m := range messages {
		data, err := codec.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// oddRecords are records as another build or a fault may send them.
func oddRecords() []UpstreamRecord {
	sound := feedUpstream(7, 1, presence.Ready)
	unknownState, late, huge := sound, sound, sound
	unknownState.ID, unknownState.State = "state", 200
	late.ID, late.StartedMS, late.Sequence = "late", 1<<62, 1<<62
	huge.ID, huge.Slots, huge.Address = "\xff", -1<<62, "10.0.0.1:99999"
	return []UpstreamRecord{
		{Upstream: sound}, {Upstream: unknownState, Age: -1 << 62}, {Upstream: late, Age: 1 << 62, ColdLeft: -1 << 62, ColdSequence: 1 << 62}, {Upstream: huge},
	}
}

// newFollowedNode returns a control host that has a replica's state and knows a sound upstream.
func newFollowedNode() *Node {
	n := New(Options{Address: "10.0.0.2:7040", Seeds: func() []string { return nil }})
	n.machine.Store(fleetstate.New())
	n.Report(feedUpstream(1, 1, presence.Ready))
	return n
}

// checkFollowed checks that a gateway host can decode the table of n, which holds the sound upstream.
func checkFollowed(t *testing.T, n *Node, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Expire(now)
	reply := &SyncReply{EncodedUpstreams: encodeUpstreams(n.table.All(), now)}
	records, err := reply.DecodeUpstreams()
	if err != nil || len(records) != n.table.Len() {
		t.Fatalf("%d of %d records decoded: %v", len(records), n.table.Len(), err)
	}
	if n.table.Record(feedUpstream(1, 1, presence.Ready).ID) == nil {
		t.Fatal("the sound upstream is missing")
	}
}

// FuzzUpstreamsMessage lets a control host receive arbitrary bytes as an exchange.
func FuzzUpstreamsMessage(f *testing.F) {
	addSeeds(f,
		&UpstreamsMessage{Records: oddRecords(), Sender: "10.0.0.3:7040", Generation: 5},
		&UpstreamsMessage{Sender: "10.0.0.3:7040", Generation: 5, Base: 5, Ages: []byte{1, 255}, Removed: []string{"", "x"}, Features: -1},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		var msg UpstreamsMessage
		if codec.Unmarshal(data, &msg) != nil {
			return
		}
		n := newFollowedNode()
		for range 2 {
			if _, err := n.receiveUpstreams(t.Context(), &msg); err != nil {
				t.Fatal(err)
			}
		}
		checkFollowed(t, n, time.Now())
	})
}

// FuzzSyncRequest lets a control host answer arbitrary bytes as the call of a gateway host.
func FuzzSyncRequest(f *testing.F) {
	addSeeds(f,
		&SyncRequest{
			Host: "g", Version: 1, Epoch: 1, Revision: 1 << 63, Loads: map[string]placement.Load{"\xff": {InFlight: -1 << 62, KVTokens: 1 << 62}},
			Crashes: []crashcause.CrashReport{{Fingerprint: 1, Upstream: "u", StartedMS: -1, Segments: []uint64{1, 1}, Age: -1 << 62, Ran: 1 << 62}},
			Sound:   []crashcause.SoundReport{{Trait: 1, Age: 1 << 62}}, Quarantined: []uint64{0, 1}, AcceptsEncoded: true, TableDigests: []byte{1},
			Notices: []notice.Report{{Upstream: "u", Limited: true, RequestRate: -1e300, Age: -1 << 62, Leaving: true, LeavingAge: 1 << 62}},
		},
		&SyncRequest{Brief: true, Report: &prepaid.Report{Uses: []prepaid.Use{{Organisation: "\xff", Used: -1 << 62}}}, EvacuationRevision: 1 << 63},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		var req SyncRequest
		if codec.Unmarshal(data, &req) != nil {
			return
		}
		n, now := newFollowedNode(), time.Now()
		n.mu.Lock()
		for range 2 {
			n.addCrashes(&req, now)
			n.addNotices(&req, now)
			n.addState(&req, &SyncReply{}, n.fleetViewOfLeader(now), now)
			now = now.Add(time.Second)
		}
		n.mu.Unlock()
		checkFollowed(t, n, now)
	})
}

// FuzzSubmitReply lets a relay apply arbitrary bytes as the leader's reply.
func FuzzSubmitReply(f *testing.F) {
	addSeeds(f,
		&SubmitReply{
			Version: 1, Epoch: 1, Hosts: -1, Peers: []Peer{{Session: 1, Address: "x"}}, EncodedUpstreams: encodeShared(oddRecords()),
			PackedTotals: []byte{1, 255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 1}, PackedOwn: []byte{1, 1, 1},
			Evacuations: &EvacuatedZones{Revision: 1 << 63, Zones: []string{"\xff"}},
		},
		&SubmitReply{EncodedUpstreams: []byte{0xff}, PackedTotals: []byte{0x80}, PeerChanges: &PeerChanges{Removed: []string{""}}},
	)
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply SubmitReply
		if codec.Unmarshal(data, &reply) != nil {
			return
		}
		n, now := newFollowedNode(), time.Now()
		for range 2 {
			_ = n.relay.apply(&SubmitRequest{HasLoads: true}, &reply, now) // damaged parts are an error of the call
		}
		n.mu.Lock()
		n.addState(&SyncRequest{AcceptsEncoded: true}, &SyncReply{}, n.relay.fleet, now)
		n.mu.Unlock()
		checkFollowed(t, n, now)
	})
}
