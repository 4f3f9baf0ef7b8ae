package replication

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// host is a replica and its simulated disk. A crash loses all state other than
// hard, snap and entries.
type host struct {
	node    *Node
	hard    HardState
	snap    Snapshot
	entries []Entry

	value          string // state machine: a single register
	writes         map[uint64]pendingWrite
	reads          map[uint64]int // operation index by read id
	confirmedReads []ReadState
}

type pendingWrite struct {
	term      uint64
	operation int
}

// cluster runs hosts over a simulated network and checks the invariants of the
// protocol after each step.
type cluster struct {
	random   *rand.Rand
	disabled DisabledSafeguards
	hosts    map[uint64]*host
	inFlight []Message
	blocked  map[[2]uint64]bool

	clock      int64
	history    []porcupine.Operation
	writeCount int
	nextReadID uint64

	leaders    map[uint64]uint64       // leader by term
	committed  map[uint64]Entry        // by index
	logRecords map[[2]uint64]logRecord // by index and term
	violation  error
}

// logRecord is the data that must be equal in all logs that have an entry with the
// same index and term (log matching).
type logRecord struct {
	data     string
	previous uint64 // term of the preceding entry
}

func newCluster(size int, seed uint64, disabled DisabledSafeguards) *cluster {
	c := &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), disabled: disabled,
		hosts: map[uint64]*host{}, blocked: map[[2]uint64]bool{}, leaders: map[uint64]uint64{},
		committed: map[uint64]Entry{}, logRecords: map[[2]uint64]logRecord{},
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
		HardState: h.hard, Snapshot: h.snap.Meta, Entries: slices.Clone(h.entries), DisabledSafeguards: c.disabled,
	})
	if err != nil {
		c.fail("restart replica %d: %w", id, err)
		return
	}
	h.node, h.value = node, string(h.snap.Data)
	h.writes, h.reads, h.confirmedReads = map[uint64]pendingWrite{}, map[uint64]int{}, nil
}

func (c *cluster) crash(id uint64) { c.hosts[id].node = nil }

// loseDisk crashes a host, erases its disk and restarts it as a joining replica.
func (c *cluster) loseDisk(id uint64) {
	c.hosts[id] = &host{}
	c.restart(id)
}

// The points at which a host may crash while it processes a Ready.
const (
	noCrash = iota
	crashBeforePersist
	crashAfterPersist
)

// handleReady processes one Ready of a host, up to the given crash point. It reports
// whether there was any work.
func (c *cluster) handleReady(id uint64, crashPoint int) (hadWork bool) {
	h := c.hosts[id]
	if h.node == nil || c.violation != nil {
		return false
	}
	rd := h.node.Ready()
	if rd.Empty() {
		return false
	}
	c.send(h, rd.Messages)
	if crashPoint == crashBeforePersist {
		c.crash(id)
		return true
	}
	if rd.MustSync {
		h.persist(rd)
	}
	if crashPoint == crashAfterPersist {
		c.crash(id)
		return true
	}
	c.send(h, rd.MessagesAfterSync)
	c.apply(h, rd)
	h.node.Advance(rd)
	c.checkInvariants(id)
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

func (c *cluster) send(h *host, msgs []Message) {
	for _, m := range msgs {
		if m.Kind == KindSnapshot {
			if m.Chunk.Meta.Index != h.snap.Meta.Index || m.Chunk.Offset > uint64(len(h.snap.Data)) {
				continue
			}
			// Chunks of two bytes make transfers of several chunks common.
			rest := h.snap.Data[m.Chunk.Offset:]
			m.Chunk.Size, m.Chunk.Data = uint64(len(h.snap.Data)), rest[:min(2, len(rest))]
		}
		if !c.blocked[[2]uint64{m.From, m.To}] {
			c.inFlight = append(c.inFlight, m)
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
		c.recordCommitted(h, e)
		if e.Kind == EntryCommand {
			h.value = string(e.Data)
		}
		if w, ok := h.writes[e.Index]; ok && w.term == e.Term {
			c.finishOperation(w.operation, "")
		}
		delete(h.writes, e.Index)
	}
	h.confirmedReads = append(h.confirmedReads, rd.Reads...)
	h.confirmedReads = slices.DeleteFunc(h.confirmedReads, func(s ReadState) bool {
		if s.Index > applied {
			return false
		}
		c.finishOperation(h.reads[s.ID], h.value)
		delete(h.reads, s.ID)
		return true
	})
}

func (c *cluster) recordCommitted(h *host, e Entry) {
	have, known := c.committed[e.Index]
	if known && (have.Term != e.Term || string(have.Data) != string(e.Data)) {
		c.fail("entry %d is committed as both %v and %v", e.Index, have, e)
	}
	c.committed[e.Index] = e
}

// checkInvariants checks election safety, leader completeness and log matching.
func (c *cluster) checkInvariants(id uint64) {
	n := c.hosts[id].node
	if n.role == Leader {
		leader, known := c.leaders[n.term]
		if known && leader != id {
			c.fail("term %d has leaders %d and %d", n.term, leader, id)
		}
		if !known {
			c.leaders[n.term] = id
			c.checkLeaderCompleteness(n)
		}
	}
	previous := n.log.compactedTerm
	for _, e := range n.log.entries {
		key, record := [2]uint64{e.Index, e.Term}, logRecord{string(e.Data), previous}
		if have, known := c.logRecords[key]; known && have != record {
			c.fail("entry %v differs between logs: %v and %v", key, have, record)
		}
		c.logRecords[key] = record
		previous = e.Term
	}
}

func (c *cluster) checkLeaderCompleteness(n *Node) {
	for index, e := range c.committed {
		if index > n.log.compactedIndex && !n.log.matchTerm(index, e.Term) {
			c.fail("leader %d of term %d lacks committed entry %d", n.id, n.term, index)
		}
	}
}

type operation struct {
	write bool
	value string
}

func (c *cluster) beginOperation(op operation) int {
	c.clock++
	c.history = append(c.history, porcupine.Operation{
		ClientId: len(c.history), Input: op, Call: c.clock, Return: 1 << 60, Output: nil,
	})
	return len(c.history) - 1
}

func (c *cluster) finishOperation(op int, value string) {
	c.clock++
	c.history[op].Return, c.history[op].Output = c.clock, value
}

func (c *cluster) write(id uint64) {
	h := c.hosts[id]
	value := fmt.Sprintf("value %d", c.writeCount)
	index, term, err := h.node.Propose([]byte(value))
	if err != nil {
		return
	}
	c.writeCount++
	h.writes[index] = pendingWrite{term, c.beginOperation(operation{true, value})}
}

func (c *cluster) read(id uint64) {
	h := c.hosts[id]
	c.nextReadID++
	if h.node.ReadIndex(c.nextReadID) == nil {
		h.reads[c.nextReadID] = c.beginOperation(operation{})
	}
}

// linearizable checks the recorded history. Operations without a result may take
// effect at any later time. Reads without a result and writes without a result
// whose value was never read are left out, since they can't affect the check.
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

// snapshot persists a snapshot of a host's state machine and compacts its log.
func (c *cluster) snapshot(id uint64, keep uint64) {
	h := c.hosts[id]
	index := h.node.Applied()
	if index <= h.snap.Meta.Index || h.node.receivedSnapshot != nil {
		return
	}
	meta := h.node.SnapshotMeta(index)
	h.entries = slices.Clone(h.entries[index-h.snap.Meta.Index:])
	h.snap = Snapshot{Meta: meta, Data: []byte(h.value)}
	h.node.Compact(meta, keep)
}

// deliverAll delivers messages and processes Ready until no work is left.
func (c *cluster) deliverAll() {
	for hadWork := true; hadWork && c.violation == nil; {
		hadWork = false
		for _, id := range c.ids() {
			hadWork = c.handleReady(id, noCrash) || hadWork
		}
		messages := c.inFlight
		c.inFlight = nil
		for _, m := range messages {
			c.deliver(m)
			hadWork = true
		}
	}
}

func (c *cluster) deliver(m Message) {
	h := c.hosts[m.To]
	if h != nil && h.node != nil && !c.blocked[[2]uint64{m.From, m.To}] {
		h.node.Step(encodeAndDecode(m))
	}
}

// encodeAndDecode passes m through the wire encoding.
func encodeAndDecode(m Message) Message {
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

// tick ticks the given hosts (all if none is given) n times, and delivers all
// messages after each tick.
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
		c.deliverAll()
	}
}

// isolate blocks or unblocks all network links of a host.
func (c *cluster) isolate(id uint64, blocked bool) {
	for other := range c.hosts {
		c.blocked[[2]uint64{id, other}] = blocked
		c.blocked[[2]uint64{other, id}] = blocked
	}
}

// elect ticks only the given host until it becomes the leader.
func (c *cluster) elect(id uint64) {
	c.deliverAll()
	for range 30 {
		c.tick(1, id)
		if c.hosts[id].node.role == Leader {
			return
		}
	}
}

func (c *cluster) isLeader(id uint64) bool { return c.hosts[id].node.role == Leader }
