package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// host is a replica with its simulated disk. What is not in hard, snap and
// entries is lost in a crash.
type host struct {
	node    *Node
	hard    HardState
	snap    Snapshot
	entries []Entry

	value  string // the state machine: a register
	writes map[uint64]pendingWrite
	reads  map[uint64]int // read id to operation
	ready  []ReadState
}

type pendingWrite struct {
	term      uint64
	operation int
}

// cluster drives hosts over a network that the test controls. It checks the
// invariants of the protocol after each step.
type cluster struct {
	random   *rand.Rand
	disabled Mechanisms
	hosts    map[uint64]*host
	wire     []Message
	blocked  map[[2]uint64]bool

	clock    int64
	history  []porcupine.Operation
	written  int
	nextRead uint64

	leaders   map[uint64]uint64       // term to leader
	committed map[uint64]Entry        // by index
	unique    map[[2]uint64]logRecord // by index and term
	violation error
}

// logRecord is all that (index, term) must determine by log matching.
type logRecord struct {
	data     string
	previous uint64 // term of the entry before it
}

func newCluster(size int, seed uint64, disabled Mechanisms) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), disabled: disabled,
		hosts: map[uint64]*host{}, blocked: map[[2]uint64]bool{}, leaders: map[uint64]uint64{},
		committed: map[uint64]Entry{}, unique: map[[2]uint64]logRecord{},
	}
	var peers []Peer
	for id := uint64(1); id <= uint64(size); id++ {
		peers = append(peers, Peer{ID: id})
	}
	first := SnapshotMeta{Index: 1, Term: 1, Membership: NewMembership(peers)}
	for _, p := range peers {
		c.hosts[p.ID] = &host{hard: HardState{Term: 1, Commit: 1}, snap: Snapshot{Meta: first}}
		c.restart(p.ID)
	}
	return c
}

func (c *cluster) ids() []uint64 {
	var ids []uint64
	for id := range c.hosts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) fail(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *cluster) restart(id uint64) {
	h := c.hosts[id]
	node, err := New(Config{
		ID: id, ElectionTicks: 10, HeartbeatTicks: 2, Random: rand.New(rand.NewPCG(c.random.Uint64(), id)),
		HardState: h.hard, Snapshot: h.snap.Meta, Entries: slices.Clone(h.entries), Disabled: c.disabled,
	})
	if err != nil {
		c.fail("restart of %d: %w", id, err)
		return
	}
	h.node, h.value = node, string(h.snap.Data)
	h.writes, h.reads, h.ready = map[uint64]pendingWrite{}, map[uint64]int{}, nil
}

func (c *cluster) crash(id uint64) { c.hosts[id].node = nil }

// loseDisk crashes a host, empties its disk and lets it ask to join.
func (c *cluster) loseDisk(id uint64) {
	c.hosts[id] = &host{}
	c.restart(id)
}

// The points at which a host may crash while it carries out a Ready.
const (
	noCrash = iota
	crashBeforePersist
	crashBeforeReplies
)

// pump carries out one Ready of a host.
func (c *cluster) pump(id uint64, crash int) (worked bool) {
	h := c.hosts[id]
	if h.node == nil || c.violation != nil {
		return false
	}
	rd := h.node.Ready()
	if rd.Empty() {
		return false
	}
	c.transmit(h, rd.Messages)
	if crash == crashBeforePersist {
		c.crash(id)
		return true
	}
	if rd.MustSync {
		h.persist(rd)
	}
	if crash == crashBeforeReplies {
		c.crash(id)
		return true
	}
	c.transmit(h, rd.Replies)
	c.apply(h, rd)
	h.node.Advance(rd)
	c.check(id)
	return true
}

func (h *host) persist(rd Ready) {
	h.hard = rd.HardState
	if rd.Snapshot != nil {
		h.snap, h.entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) == 0 {
		return
	}
	keep := rd.Entries[0].Index - h.snap.Meta.Index - 1
	h.entries = append(slices.Clone(h.entries[:keep]), rd.Entries...)
}

func (c *cluster) transmit(h *host, msgs []Message) {
	for _, m := range msgs {
		if m.Kind == KindSnapshot {
			if m.Chunk.Meta.Index != h.snap.Meta.Index || m.Chunk.Offset > uint64(len(h.snap.Data)) {
				continue
			}
			// A short chunk size makes transfers of several chunks common.
			rest := h.snap.Data[m.Chunk.Offset:]
			m.Chunk.Size, m.Chunk.Data = uint64(len(h.snap.Data)), rest[:min(2, len(rest))]
		}
		if !c.blocked[[2]uint64{m.From, m.To}] {
			c.wire = append(c.wire, m)
		}
	}
}

func (c *cluster) apply(h *host, rd Ready) {
	if rd.Snapshot != nil {
		h.value = string(rd.Snapshot.Data)
	}
	applied := h.node.Applied()
	for _, e := range rd.Committed {
		applied = e.Index
		c.noteCommitted(h, e)
		if e.Kind == EntryCommand {
			h.value = string(e.Data)
		}
		if w, ok := h.writes[e.Index]; ok && w.term == e.Term {
			c.finish(w.operation, "")
		}
		delete(h.writes, e.Index)
	}
	h.ready = append(h.ready, rd.Reads...)
	h.ready = slices.DeleteFunc(h.ready, func(s ReadState) bool {
		if s.Index > applied {
			return false
		}
		c.finish(h.reads[s.ID], h.value)
		delete(h.reads, s.ID)
		return true
	})
}

func (c *cluster) noteCommitted(h *host, e Entry) {
	have, known := c.committed[e.Index]
	if known && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		c.fail("entry %d committed as %v and as %v", e.Index, have, e)
	}
	c.committed[e.Index] = e
}

// check tests election safety, leader completeness and log matching.
func (c *cluster) check(id uint64) {
	n := c.hosts[id].node
	if n.role == Leader {
		leader, known := c.leaders[n.term]
		if known && leader != id {
			c.fail("term %d has leaders %d and %d", n.term, leader, id)
		}
		if !known {
			c.leaders[n.term] = id
			c.checkCompleteness(n)
		}
	}
	previous := n.log.baseTerm
	for _, e := range n.log.entries {
		key, record := [2]uint64{e.Index, e.Term}, logRecord{string(e.Data), previous}
		if have, known := c.unique[key]; known && have != record {
			c.fail("entry %v differs between logs: %v and %v", key, have, record)
		}
		c.unique[key] = record
		previous = e.Term
	}
}

func (c *cluster) checkCompleteness(n *Node) {
	for index, e := range c.committed {
		if index > n.log.base && !n.log.matches(index, e.Term) {
			c.fail("leader %d of term %d lacks committed entry %d", n.id, n.term, index)
		}
	}
}

type operation struct {
	write bool
	value string
}

func (c *cluster) begin(op operation) int {
	c.clock++
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: op, Call: c.clock, Return: 1 << 60, Output: nil,
	})
	return len(c.history) - 1
}

func (c *cluster) finish(op int, value string) {
	c.clock++
	c.history[op].Return, c.history[op].Output = c.clock, value
}

func (c *cluster) write(id uint64) {
	h := c.hosts[id]
	value := fmt.Sprintf("value %d", c.written)
	index, term, err := h.node.Propose([]byte(value))
	if err != nil {
		return
	}
	c.written++
	h.writes[index] = pendingWrite{term, c.begin(operation{true, value})}
}

func (c *cluster) read(id uint64) {
	h := c.hosts[id]
	c.nextRead++
	if h.node.Read(c.nextRead) == nil {
		h.reads[c.nextRead] = c.begin(operation{})
	}
}

// linearizable checks the recorded history. Operations without an answer may
// take effect at any later time. A read among them tells nothing, nor does a
// write whose value was never read: both leave the verdict as it is.
func (c *cluster) linearizable() bool {
	seen := map[any]bool{}
	for _, o := range c.history {
		seen[o.Output] = true
	}
	known := slices.DeleteFunc(slices.Clone(c.history), func(o porcupine.Operation) bool {
		op := o.Input.(operation)
		return o.Output == nil && !(op.write && seen[op.value])
	})
	return porcupine.CheckOperations(registerModel, known)
}

var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		op := input.(operation)
		if op.write {
			return true, op.value
		}
		return output == state, state
	},
}

// snapshot persists the state of a host and compacts its log.
func (c *cluster) snapshot(id uint64, keep uint64) {
	h := c.hosts[id]
	index := h.node.Applied()
	if index <= h.snap.Meta.Index || h.node.installed != nil {
		return
	}
	meta := h.node.SnapshotMeta(index)
	h.entries = slices.Clone(h.entries[index-h.snap.Meta.Index:])
	h.snap = Snapshot{Meta: meta, Data: []byte(h.value)}
	h.node.Compact(meta, keep)
}

// settle delivers and pumps until nothing is left to do.
func (c *cluster) settle() {
	for worked := true; worked && c.violation == nil; {
		worked = false
		for _, id := range c.ids() {
			worked = c.pump(id, noCrash) || worked
		}
		wire := c.wire
		c.wire = nil
		for _, m := range wire {
			c.deliver(m)
			worked = true
		}
	}
}

func (c *cluster) deliver(m Message) {
	h := c.hosts[m.To]
	if h != nil && h.node != nil && !c.blocked[[2]uint64{m.From, m.To}] {
		h.node.Step(codecCopy(m))
	}
}

// codecCopy passes m through the encoding of the network.
func codecCopy(m Message) Message {
	data, err := codec.Marshal(m)
	if err != nil {
		panic(err)
	}
	var copied Message
	if err := codec.Unmarshal(data, &copied); err != nil {
		panic(err)
	}
	return copied
}

// tick lets every named host, or all, tick n times, with all messages delivered.
func (c *cluster) tick(n int, ids ...uint64) {
	if len(ids) == 0 {
		ids = c.ids()
	}
	for range n {
		for _, id := range ids {
			if h := c.hosts[id]; h.node != nil {
				h.node.Tick()
			}
		}
		c.settle()
	}
}

// isolate cuts or heals all links of a host.
func (c *cluster) isolate(id uint64, cut bool) {
	for other := range c.hosts {
		c.blocked[[2]uint64{id, other}] = cut
		c.blocked[[2]uint64{other, id}] = cut
	}
}

// elect makes the host the leader.
func (c *cluster) elect(id uint64) {
	c.settle()
	for range 30 {
		c.tick(1, id)
		if c.hosts[id].node.role == Leader {
			return
		}
	}
}

func (c *cluster) leads(id uint64) bool { return c.hosts[id].node.role == Leader }
