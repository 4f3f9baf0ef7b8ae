package replication

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// FuzzStep lets a follower and a leader receive arbitrary bytes as messages of another replica.
func FuzzStep(f *testing.F) {
	membership, err := codec.Marshal(threePeers())
	if err != nil {
		f.Fatal(err)
	}
	for _, m := range []Message{
		{Kind: KindAppend, From: 2, To: 1, Term: 3, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 4, Term: 3, Kind: EntryMembership, Data: membership}}, Commit: 1 << 63},
		{Kind: KindAppend, From: 2, To: 1, Term: 3, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 1 << 63, Term: 1, Kind: 200}, {Index: 4}}},
		{Kind: KindAppend, From: 2, To: 1, Term: 3, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 0, Term: 3}}},
		{Kind: KindAppend, From: 2, To: 1, Term: 3, Index: 3, LogTerm: 2, Entries: []Entry{{Index: 4, Term: 3, Kind: EntryMembership, Data: []byte{0xff}}}},
		{Kind: KindSnapshot, From: 2, To: 1, Term: 3, Chunk: &SnapshotChunk{Meta: SnapshotMeta{Index: 1 << 63, Term: 9}, Size: 1 << 63}},
		{Kind: KindSnapshot, From: 2, To: 1, Term: 3},
		{Kind: KindAppendReply, From: 2, To: 1, Term: 3, Index: 1 << 63, Hint: 1 << 63},
		{Kind: KindSnapshotReply, From: 2, To: 1, Term: 3, Index: 1, Hint: 1 << 63},
		{Kind: KindHeartbeat, From: 9, To: 1, Term: 1 << 63, Commit: 1 << 63, ReadRound: 1 << 63},
		{Kind: KindHeartbeatReply, From: 9, To: 1, Term: 3, ReadRound: 1 << 63},
		{Kind: KindTimeoutNow, From: 2, To: 1, Term: 3},
		{Kind: 200, From: 2, To: 1, Term: 3},
	} {
		data, err := codec.Marshal([]Message{m})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var messages []Message
		if codec.Unmarshal(data, &messages) != nil || len(messages) > 16 {
			return
		}
		g := NewWithT(t)
		for _, n := range []*Node{newTestNode(g, HardState{Term: 2, Commit: 3}, 2, 2), newTestLeader(g, HardState{Term: 2, Commit: 3}, 2, 2)} {
			for _, m := range messages {
				n.Step(m)
				for rd := n.Ready(); !rd.Empty() && n.Err() == nil; rd = n.Ready() {
					n.Advance(rd)
				}
				n.Tick()
				n.Status()
			}
		}
	})
}
