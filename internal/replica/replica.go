// Package replica runs one replica of the control group. A single goroutine, the
// event loop, drives the Raft node of package replication, the write-ahead log,
// the snapshots and the state machine.
package replica

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// StateMachine is the state that the log replicates. Its methods are called from
// the event loop only.
type StateMachine interface {
	// Apply executes a committed command. It must be deterministic. The result
	// is returned from Propose if the command was proposed on this replica.
	Apply(index uint64, command []byte) any
	// Snapshot returns the encoded state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot encoded.
	Restore(data []byte) error
}

// Transport sends messages to other replicas.
type Transport interface {
	// Send must not block. It may drop messages.
	Send(to uint64, msgs []replication.Message)
}

// Options configure a replica.
type Options struct {
	ID uint64
	// Peers is the initial membership. It is used only if the disk is empty; a
	// replica that joins an existing group has no Peers.
	Peers []replication.Peer
	// Bootstrap allows a replica with an empty disk to start as one of Peers.
	// It is set for the first start of a group only: a replica that lost its
	// disk must rejoin under a new ID.
	Bootstrap bool
	Directory string
	Machine   StateMachine
	Transport Transport
	// TickInterval is the time between two ticks of the Raft node.
	TickInterval   time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// FastInitialElection shortens the first election timeouts, for a group whose
	// replicas all start together.
	FastInitialElection bool
	// SnapshotEntries is the number of applied entries between snapshots; 0
	// means DefaultSnapshotEntries.
	SnapshotEntries uint64
	// SegmentBytes is the size of a log segment; 0 means wal.DefaultSegmentBytes.
	SegmentBytes int64
	// Seed and ID seed the randomized election timeouts.
	Seed uint64
	// FS is the file system; nil means that of the operating system.
	FS wal.FS
	// OnLeadership is called from the event loop: with true once the leader has
	// applied the first entry of its term, and with false when that leadership
	// is lost. It may be nil and must not block.
	OnLeadership func(leader bool, term uint64)

	// disabledSafeguards switches off safeguards of the protocol; only tests set it.
	disabledSafeguards replication.DisabledSafeguards
}

const (
	// DefaultSnapshotEntries is the default of Options.SnapshotEntries.
	DefaultSnapshotEntries = 20_000
	// MaxCommandBytes is the maximum size of a command passed to Propose.
	MaxCommandBytes = 8 << 20
	// maxBatchItems bounds the requests and message batches processed before one sync.
	maxBatchItems = 4096
	// maxBatchBytes is the total size of proposals after which nothing more is
	// accepted before the next sync. Together with MaxCommandBytes it keeps a
	// batch below the maximum frame size of the log.
	maxBatchBytes = 16 << 20
	// inboxCapacity bounds the message batches that wait for the event loop.
	inboxCapacity = 1024
)

// Replica is a running replica. Its methods are safe for concurrent use.
type Replica struct {
	options  Options
	node     *replication.Node
	store    *storage
	requests chan request
	inbox    chan []replication.Message

	proposals       map[uint64]*proposal // by log index
	reads           map[uint64]*read     // by read ID
	confirmedReads  []*read              // confirmed, but their index is not applied yet
	deferredChanges []*change            // retried at each tick until the Raft node accepts them
	proposedChanges map[uint64]*change   // by log index
	lastReadID      uint64
	batchedBytes    int // size of the proposals since the last sync
	leadership      leadership
	snapshotIndex   uint64 // index of the latest snapshot
	failure         error

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
	mu       sync.Mutex
	status   Status // guarded by mu
}

// leadership is this replica's leadership as tracked by the event loop.
type leadership struct {
	term     uint64 // term in which this replica leads, or 0
	notified bool   // whether OnLeadership has been called for term
}

// Start recovers a replica from its directory and starts its event loop.
func Start(o Options) (*Replica, error) {
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	r := &Replica{
		options: o, requests: make(chan request, maxBatchItems), inbox: make(chan []replication.Message, inboxCapacity),
		proposals: map[uint64]*proposal{}, reads: map[uint64]*read{}, proposedChanges: map[uint64]*change{},
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := r.recover(); err != nil {
		return nil, eris.Wrapf(err, "start replica %d", o.ID)
	}
	r.publishStatus()
	go r.run()
	return r, nil
}

// Stop stops the replica and waits for its event loop to end. Proposals in
// progress fail with ErrOutcomeUnknown.
func (r *Replica) Stop() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.store.close()
}

// Deliver queues messages received from other replicas. If the inbox is full they
// are dropped; the protocol resends them.
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
		r.processReady()
		r.publishStatus()
		select {
		case <-r.stop:
			r.clearLeadership()
			r.failRequests(ErrOutcomeUnknown)
			return
		case err := <-r.store.saveResult:
			r.finishSnapshot(err)
		case <-ticker.C:
			if r.failure == nil {
				r.node.Tick()
				r.retryDeferredChanges()
			}
		case msgs := <-r.inbox:
			r.step(msgs)
			r.drainQueues()
		case req := <-r.requests:
			req.begin(r)
			r.drainQueues()
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

// drainQueues processes everything that arrived during the last sync, so that the
// next sync covers all of it.
func (r *Replica) drainQueues() {
	for range maxBatchItems {
		if r.batchedBytes >= maxBatchBytes {
			return
		}
		select {
		case msgs := <-r.inbox:
			r.step(msgs)
		case req := <-r.requests:
			req.begin(r)
		default:
			return
		}
	}
}

// processReady handles the work of the Raft node until none is left.
func (r *Replica) processReady() {
	r.batchedBytes = 0
	for progressed := true; progressed && r.failure == nil; {
		var err error
		if progressed, err = r.handleReady(); err != nil {
			r.fail(err)
		}
	}
}

// handleReady handles one Ready. The messages sent before persist do not depend on
// this replica's disk, so the sync on the followers overlaps with the local one;
// replies are sent after persist.
func (r *Replica) handleReady() (progressed bool, err error) {
	if err := r.node.Err(); err != nil {
		return false, err
	}
	r.trackLeadership()
	rd := r.node.Ready()
	if rd.Empty() {
		return false, nil
	}
	r.sendMessages(rd.Messages)
	if err := r.store.persist(rd); err != nil {
		return false, err
	}
	r.sendMessages(rd.MessagesAfterSync)
	if err := r.apply(rd); err != nil {
		return false, err
	}
	r.node.Advance(rd)
	return true, r.maybeSnapshot()
}

// fail takes the replica out of service after a storage error: it sends and
// acknowledges nothing more.
func (r *Replica) fail(err error) {
	r.failure = &StorageError{Cause: err}
	r.clearLeadership()
	r.failRequests(ErrOutcomeUnknown)
}

// sendMessages fills in the data of snapshot chunks and sends the messages grouped
// by receiver.
func (r *Replica) sendMessages(msgs []replication.Message) {
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
