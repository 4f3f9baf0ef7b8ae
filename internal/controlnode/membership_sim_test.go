package controlnode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/godwitbend/godwitbend/internal/replica"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	simStep = 10 * time.Millisecond
	// simJoinInterval is the interval at which a host without a replica asks the leader for an id.
	simJoinInterval = joinRetryInterval
	// simProposalInterval is the interval at which the leader commits a command.
	simProposalInterval = 200 * time.Millisecond
)

// simHost is a control host of a simulated group: the consensus core, its disk, and the supervision of
// the membership, over a simulated network and clock.
type simHost struct {
	address string
	id      uint64 // of its replica; 0 before it has joined
	node    *replication.Node
	started time.Duration

	hard    replication.HardState
	snap    replication.SnapshotMeta
	entries []replication.Entry

	frozen  bool
	cut     bool // from the hosts that are not cut
	every   int  // a slow host runs in each such step only; 0 means in all
	ranAt   time.Duration
	removed bool // the host is gone for good
	inbox   []replication.Message
	phase   time.Duration

	supervisor     *simSupervisor
	lastLeaderSeen time.Duration
	changing       bool // the first of two changes of a round waits for its commit
	joinIndex      uint64
	joinLeader     *simHost
}

// simGroup is a simulated control group.
type simGroup struct {
	random    *rand.Rand
	now       time.Duration
	hosts     []*simHost
	addresses int
	// leaderlessSince is when the group last had a leader with a quorum, and longest the longest time
	// without one while a majority of the hosts ran.
	leaderlessSince, longest time.Duration
	trace                    []string
	// blocked holds the links, from one host to another, that deliver nothing.
	blocked map[[2]*simHost]bool
	// delay returns how late an exchange or a message arrives; nil means in the next step.
	delay  func(from, to *simHost, exchange bool) time.Duration
	events []simEvent
	// observe is called after each step of a host with what it applied.
	observe func(h *simHost, rd replication.Ready)
}

// simEvent is something that happens at a time.
type simEvent struct {
	at time.Duration
	do func()
}

// after makes do happen when d has passed.
func (g *simGroup) after(d time.Duration, do func()) {
	g.events = append(g.events, simEvent{g.now + d, do})
}

func (g *simGroup) runEvents() {
	due := g.events[:0:0]
	g.events = slices.DeleteFunc(g.events, func(e simEvent) bool {
		if e.at <= g.now {
			due = append(due, e)
		}
		return e.at <= g.now
	})
	for _, e := range due {
		e.do()
	}
}

// reaches reports whether what from sends arrives at to.
func (g *simGroup) reaches(from, to *simHost) bool {
	return from.cut == to.cut && !g.blocked[[2]*simHost{from, to}]
}

// deliver calls do when something that from sends has arrived at to.
func (g *simGroup) deliver(from, to *simHost, exchange bool, do func()) {
	if g.delay == nil {
		do()
		return
	}
	if d := g.delay(from, to, exchange); d > 0 {
		g.after(d, do)
		return
	}
	do()
}

// due reports whether an interval has passed between the latest run of h and at.
func (h *simHost) due(at, interval time.Duration) bool { return at/interval != h.ranAt/interval }

func newSimGroup(seed uint64, size int) *simGroup {
	g := &simGroup{random: rand.New(rand.NewPCG(seed, 7)), blocked: map[[2]*simHost]bool{}}
	var peers []replication.Peer
	for i := range size {
		h := g.newHost()
		h.id = uint64(i + 1)
		peers = append(peers, replication.Peer{ID: h.id, Address: h.address})
	}
	first := replication.SnapshotMeta{Index: 1, Term: 1, Membership: replication.NewMembership(peers)}
	for _, h := range g.hosts {
		h.hard, h.snap = replication.HardState{Term: 1, Commit: 1}, first
		g.start(h)
	}
	return g
}

func (g *simGroup) logf(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%7.2f ", g.now.Seconds())+fmt.Sprintf(format, args...))
}

// newHost adds a host with an empty disk at a new address.
func (g *simGroup) newHost() *simHost {
	g.addresses++
	h := &simHost{address: fmt.Sprintf("host-%d", g.addresses), phase: time.Duration(g.random.IntN(25)) * simStep}
	g.hosts = append(g.hosts, h)
	return h
}

// start starts the process of h with what its disk holds.
func (g *simGroup) start(h *simHost) {
	h.frozen, h.inbox, h.changing, h.joinLeader = false, nil, false, nil
	h.started, h.lastLeaderSeen, h.ranAt = g.now, g.now, g.now+h.phase-simStep
	h.supervisor = newSimSupervisor(g.now)
	if h.id != 0 {
		g.startReplica(h)
	}
}

func (g *simGroup) startReplica(h *simHost) {
	node, err := replication.New(replication.Config{
		ID: h.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, FastInitialElection: true,
		Random: rand.New(rand.NewPCG(g.random.Uint64(), h.id)), HardState: h.hard, Snapshot: h.snap, Entries: slices.Clone(h.entries),
	})
	if err != nil {
		panic(err)
	}
	h.node = node
}

// kill ends the process of h.
func (g *simGroup) kill(h *simHost) {
	h.node, h.inbox, h.frozen = nil, nil, false
	h.started = -1
}

// terminate ends the process of h after a transfer of its leadership.
func (g *simGroup) terminate(h *simHost) {
	if h.node != nil && h.node.TransferLeadership(h.node.MostUpToDateVoter()) == nil {
		for end := g.now + time.Second; g.now < end && h.node.Status().Role == replication.Leader; {
			g.advance(simStep)
		}
	}
	g.kill(h)
	for _, other := range g.hosts {
		if id := h.id; other != h && other.started >= 0 && !other.removed && g.reaches(h, other) {
			g.deliver(h, other, true, func() { other.supervisor.hearStop(id) })
		}
	}
}

// wipe erases the disk of h.
func (h *simHost) wipe() {
	h.id, h.hard, h.snap, h.entries = 0, replication.HardState{}, replication.SnapshotMeta{}, nil
}

func (h *simHost) runs() bool { return h.started >= 0 && !h.frozen && !h.removed }

// status returns what the runtime publishes of the replica.
func (h *simHost) status() replica.Status {
	s := h.node.Status()
	return replica.Status{ID: s.ID, Leader: s.Leader, Term: s.Term, Role: s.Role, Applied: s.Applied, Commit: s.Commit, Peers: s.Peers}
}

// leader returns the running leader of the highest term, or nil.
func (g *simGroup) leader() *simHost {
	var leader *simHost
	for _, h := range g.hosts {
		if h.runs() && h.node != nil && h.node.Status().Role == replication.Leader &&
			(leader == nil || h.node.Status().Term > leader.node.Status().Term) {
			leader = h
		}
	}
	return leader
}

// leads reports whether some host leads and has committed an entry of its term.
func (g *simGroup) leads() bool {
	h := g.leader()
	return h != nil && g.committedInTerm(h)
}

func (g *simGroup) committedInTerm(h *simHost) bool {
	s := h.node.Status()
	for _, e := range h.entries {
		if e.Index == s.Commit {
			return e.Term == s.Term
		}
	}
	return false
}

// advance runs the group for d.
func (g *simGroup) advance(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += simStep {
		g.step()
	}
}

func (g *simGroup) step() {
	g.runEvents()
	running := 0
	for _, h := range g.hosts {
		if !h.runs() {
			continue
		}
		running++
		if h.every == 0 || int(g.now/simStep)%h.every == 0 {
			g.stepHost(h)
		}
	}
	if g.leads() || running == 0 {
		g.leaderlessSince = g.now
	}
	g.longest = max(g.longest, g.now-g.leaderlessSince)
}

func (g *simGroup) stepHost(h *simHost) {
	at := g.now + h.phase
	defer func() { h.ranAt = at }()
	if h.id == 0 {
		if h.due(at, simJoinInterval) {
			g.join(h)
		}
		return
	}
	for _, m := range h.inbox {
		h.node.Step(m)
	}
	h.inbox = nil
	if h.node.Err() != nil { // it lost its disk
		h.node = nil
		h.wipe()
		return
	}
	if h.due(at, tickInterval) {
		h.node.Tick()
	}
	if h.due(at, simProposalInterval) {
		_, _, _ = h.node.Propose(nil) // fails on followers
	}
	g.handleReady(h)
	if h.due(at, exchangeInterval) {
		g.exchange(h)
	}
	if supervise := h.due(at, superviseInterval); supervise || h.changing {
		g.supervise(h, supervise)
	}
}

func (g *simGroup) handleReady(h *simHost) {
	for {
		rd := h.node.Ready()
		if rd.Empty() {
			return
		}
		g.send(h, rd.Messages)
		h.persist(rd)
		g.send(h, rd.MessagesAfterSync)
		h.node.Advance(rd)
		if g.observe != nil {
			g.observe(h, rd)
		}
	}
}

func (h *simHost) persist(rd replication.Ready) {
	if !rd.MustSync {
		return
	}
	h.hard = rd.HardState
	if rd.Snapshot != nil {
		h.snap, h.entries = rd.Snapshot.Meta, nil
	}
	for _, e := range rd.Entries {
		h.entries = append(slices.DeleteFunc(h.entries, func(old replication.Entry) bool { return old.Index >= e.Index }), e)
	}
}

// send delivers messages to running hosts in the next step; those to a suspended host wait.
func (g *simGroup) send(from *simHost, msgs []replication.Message) {
	for _, m := range msgs {
		if m.Kind == replication.KindSnapshot {
			chunk := *m.Chunk
			chunk.Size, chunk.Data = 1, []byte{0}[min(chunk.Offset, 1):]
			m.Chunk = &chunk
		}
		for _, h := range g.hosts {
			if h.id == m.To && h.started >= 0 && !h.removed && h.node != nil && g.reaches(from, h) {
				g.deliver(from, h, false, func() {
					if h.node != nil && h.id == m.To {
						h.inbox = append(h.inbox, m)
					}
				})
			}
		}
	}
}

// exchange tells the other running hosts that h runs its replica.
func (g *simGroup) exchange(h *simHost) {
	for _, other := range g.hosts {
		if id := h.id; other != h && other.started >= 0 && !other.removed && g.reaches(h, other) {
			g.deliver(h, other, true, func() { other.supervisor.hear(id) })
		}
	}
}

// running returns the hosts that have a process, by the age of their disks.
func (g *simGroup) running() []*simHost {
	var list []*simHost
	for _, h := range g.hosts {
		if h.runs() {
			list = append(list, h)
		}
	}
	return list
}

// describe returns the membership that the leader knows, and which of the voters run.
func (g *simGroup) describe() string {
	leader := g.leader()
	if leader == nil {
		return "no leader"
	}
	text := fmt.Sprintf("leader %d:", leader.id)
	for _, p := range leader.node.Status().Peers {
		state := "gone"
		for _, h := range g.running() {
			if h.id == p.ID {
				state = "runs"
			}
		}
		kind := "voter"
		if p.Learner {
			kind = "learner"
		}
		text += fmt.Sprintf(" %d %s %s;", p.ID, kind, state)
	}
	return text
}

// join asks the leader to add h, which has an empty disk. A replica at its address is removed first.
func (g *simGroup) join(h *simHost) {
	leader := g.leader()
	switch {
	case leader == nil || !g.committedInTerm(leader) || !g.reaches(h, leader) || !g.reaches(leader, h):
		h.joinLeader = nil
		return
	case h.joinLeader != leader:
		h.joinLeader, h.joinIndex = leader, 0
	}
	s := leader.node.Status()
	largest := uint64(0)
	for _, p := range s.Peers {
		largest = max(largest, p.ID)
		if p.Address != h.address {
			continue
		}
		if h.joinIndex != 0 && s.Commit >= h.joinIndex {
			h.id, h.joinLeader = p.ID, nil
			g.logf("%s joins as %d", h.address, h.id)
			g.startReplica(h)
			return
		}
		if h.joinIndex == 0 && p.Heard && p.Active {
			return
		}
		if h.joinIndex == 0 {
			_, _ = leader.node.Remove(p.ID) // tried again
			return
		}
		return
	}
	for id := largest + 1; ; id++ {
		index, err := leader.node.AddLearner(replication.Peer{ID: id, Address: h.address})
		if err == replication.ErrIDUsed {
			continue
		}
		if err == nil {
			h.joinIndex = index
		}
		return
	}
}

// supervise is Node.supervise for one round, or the second change of a round.
func (g *simGroup) supervise(h *simHost, first bool) {
	s := h.status()
	if first {
		h.changing = false
	}
	h.supervisor.update(s, g.now)
	switch {
	case s.Role == replication.Leader:
		h.lastLeaderSeen = g.now
		g.changeMembership(h, s)
	case s.Leader != replication.None:
		h.lastLeaderSeen = g.now
	case g.now-h.lastLeaderSeen > leaderlessTimeout:
		h.lastLeaderSeen = g.now
		g.confirmMembership(h)
	}
}

func (g *simGroup) changeMembership(h *simHost, s replica.Status) {
	change, m := h.supervisor.next()
	if change == noChange {
		h.changing = false
		return
	}
	apply := h.node.Promote
	if change == remove {
		apply = h.node.Remove
	}
	if _, err := apply(m.ID); err != nil {
		return
	}
	h.changing = true
	g.logf("%s (leader, term %d): %s %d", h.address, s.Term, change, m.ID)
}

// confirmMembership makes h join anew if the group has removed its replica.
func (g *simGroup) confirmMembership(h *simHost) {
	leader := g.leader()
	if leader == nil || !g.committedInTerm(leader) || !g.reaches(h, leader) || !g.reaches(leader, h) {
		return
	}
	member := slices.ContainsFunc(leader.node.Status().Peers, func(p replication.PeerStatus) bool { return p.ID == h.id })
	if !member {
		g.logf("%s: replica %d was removed", h.address, h.id)
		h.node = nil
		h.wipe()
	}
}
