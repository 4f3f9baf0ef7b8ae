// Package replica runs one replica of the control group: it drives the core of
// the replicated log, its files and the state machine from one goroutine.
package replica

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// StateMachine is the state that the log replicates. Its methods are called on
// the control goroutine only.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic. The result
	// goes to the proposer if the command was proposed on this replica.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Transport carries messages to other replicas.
type Transport interface {
	// Send must not block. It may drop messages.
	Send(to uint64, msgs []replication.Message)
}

// Options are the settings of a replica.
type Options struct {
	ID uint64
	// Peers is the initial membership. It is used on an empty disk only, and
	// is empty for a replica that joins an existing group.
	Peers []replication.Peer
	// Bootstrap allows an empty disk to begin as one of Peers. It is set for
	// the first start of a group only: a replica that lost its disk must
	// return under a new id.
	Bootstrap bool
	Directory string
	Machine   StateMachine
	Transport Transport
	// TickInterval is the length of a tick.
	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// EagerStart shortens the wait before the first election.
	EagerStart bool
	// SnapshotEntries is the number of applied entries between snapshots; 0
	// stands for DefaultSnapshotEntries.
	SnapshotEntries uint64
	// SegmentBytes is the size of a log segment; 0 stands for the default.
	SegmentBytes int64
	// Seed spreads the election timeouts, together with ID.
	Seed uint64
	// FS is the file system; nil stands for that of the operating system.
	FS wal.FS
	// OnLeadership is called on the control goroutine: with true after the
	// first entry of the term is applied on the leader, and with false when
	// that leadership is lost. It may be nil and must not block.
	OnLeadership func(leader bool, term uint64)

	// mechanisms is set by tests only.
	mechanisms replication.DisabledSafeguards
}

const (
	// DefaultSnapshotEntries is the default of Options.SnapshotEntries.
	DefaultSnapshotEntries = 20_000
	// MaxCommandBytes is the largest command that Propose takes.
	MaxCommandBytes = 8 << 20
	// maxBatch bounds the requests and messages taken in before one sync.
	maxBatch = 4096
	// maxBatchBytes is the size of the proposals after which no more are taken
	// in before the next sync. Together with MaxCommandBytes it keeps a batch
	// within what the log takes as one frame.
	maxBatchBytes = 16 << 20
	// inboxBatches bounds the batches of messages that wait for the control goroutine.
	inboxBatches = 1024
)

// Replica is a running replica. Its methods are safe for concurrent use.
type Replica struct {
	options  Options
	node     *replication.Node
	store    *storage
	requests chan request
	inbox    chan []replication.Message

	proposals map[uint64]*proposal // by log index
	reads     map[uint64]*read     // by read id
	applying  []*read              // confirmed, waiting for their index
	changes   []*change            // waiting for the core to admit them
	committed map[uint64]*change   // by log index
	nextRead  uint64
	batched   int // bytes proposed since the last sync
	led       ledTerm
	snapshot  uint64 // index of the latest snapshot
	failure   error

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	mu       sync.Mutex
	status   Status // guarded by mu
}

// ledTerm is the leadership that OnLeadership knows of.
type ledTerm struct {
	term      uint64 // term in which this replica leads, or 0
	announced bool
}

// Start recovers the replica from its directory and runs it.
func Start(o Options) (*Replica, error) {
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	r := &Replica{
		options: o, requests: make(chan request, maxBatch), inbox: make(chan []replication.Message, inboxBatches),
		proposals: map[uint64]*proposal{}, reads: map[uint64]*read{}, committed: map[uint64]*change{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := r.recover(); err != nil {
		return nil, eris.Wrapf(err, "start replica %d", o.ID)
	}
	r.publish()
	go r.run()
	return r, nil
}

// Stop ends the replica and waits for it. Requests under way get ErrUnknown.
func (r *Replica) Stop() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.store.close()
}

// Deliver hands over messages from the network. When the replica is too busy
// to take them they are dropped, and the protocol sends anew.
func (r *Replica) Deliver(msgs []replication.Message) {
	select {
	case r.inbox <- msgs:
	default:
	}
}

func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(r.options.TickInterval)
	defer ticker.Stop()
	for {
		r.carryOut()
		r.publish()
		select {
		case <-r.stop:
			r.loseLeadership()
			r.failAll(ErrUnknown)
			return
		case err := <-r.store.saving:
			r.finishSnapshot(err)
		case <-ticker.C:
			if r.failure == nil {
				r.node.Tick()
				r.retryChanges()
			}
		case msgs := <-r.inbox:
			r.step(msgs)
			r.drain()
		case q := <-r.requests:
			q.begin(r)
			r.drain()
		}
	}
}

func (r *Replica) step(msgs []replication.Message) {
	if r.failure != nil {
		return
	}
	for _, m := range msgs {
		r.node.Step(m)
	}
}

// drain takes in what arrived during the last sync, so that one sync covers it
// all.
func (r *Replica) drain() {
	for range maxBatch {
		if r.batched >= maxBatchBytes {
			return
		}
		select {
		case msgs := <-r.inbox:
			r.step(msgs)
		case q := <-r.requests:
			q.begin(r)
		default:
			return
		}
	}
}

// carryOut does the work that the core asks for until none is left.
func (r *Replica) carryOut() {
	r.batched = 0
	for worked := true; worked && r.failure == nil; {
		var err error
		if worked, err = r.carryOutOne(); err != nil {
			r.fail(err)
		}
	}
}

// carryOutOne handles one Ready. What it sends before persist claims nothing
// about this disk; on followers it overlaps with the own sync.
func (r *Replica) carryOutOne() (worked bool, err error) {
	if err := r.node.Err(); err != nil {
		return false, err
	}
	r.followLeadership()
	rd := r.node.Ready()
	if rd.Empty() {
		return false, nil
	}
	r.transmit(rd.Messages)
	if err := r.store.persist(rd); err != nil {
		return false, err
	}
	r.transmit(rd.MessagesAfterSync)
	if err := r.apply(rd); err != nil {
		return false, err
	}
	r.node.Advance(rd)
	return true, r.maybeSnapshot()
}

// fail takes the replica out of service: it sends and acknowledges nothing more.
func (r *Replica) fail(err error) {
	r.failure = &StorageError{Cause: err}
	r.loseLeadership()
	r.failAll(ErrUnknown)
}

// transmit sends messages grouped by receiver, with snapshot chunks filled in.
func (r *Replica) transmit(msgs []replication.Message) {
	batches := map[uint64][]replication.Message{}
	var order []uint64
	for _, m := range msgs {
		if m.Kind == replication.KindSnapshot {
			if !r.store.fillChunk(m.Chunk) {
				continue
			}
		}
		if batches[m.To] == nil {
			order = append(order, m.To)
		}
		batches[m.To] = append(batches[m.To], m)
	}
	for _, to := range order {
		r.options.Transport.Send(to, batches[to])
	}
}
