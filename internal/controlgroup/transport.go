package controlgroup

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	// peerQueueCapacity bounds the batches queued for one peer; when the queue is full,
	// further batches are dropped.
	peerQueueCapacity = 256
	// reconnectDelay is the time between two attempts to connect to a peer.
	reconnectDelay = 50 * time.Millisecond
)

// messageBatch is one message of the stream to a peer.
type messageBatch struct {
	Messages []replication.Message `cbor:"1,keyasint"`
}

// Transport sends replication messages to peers over one stream per peer.
// It implements replica.Transport.
type Transport struct {
	ctx     context.Context
	client  *rpc.Client
	address func(id uint64) string
	mu      sync.Mutex
	queues  map[uint64]chan []replication.Message
	wg      sync.WaitGroup
}

// NewTransport returns a transport that runs until ctx ends.
func NewTransport(ctx context.Context, client *rpc.Client, address func(id uint64) string) *Transport {
	return &Transport{
		ctx:     ctx,
		client:  client,
		address: address,
		queues:  make(map[uint64]chan []replication.Message),
	}
}

// Send queues messages to a peer. It never blocks; if the peer's queue is full, the
// messages are dropped.
func (t *Transport) Send(to uint64, msgs []replication.Message) {
	select {
	case t.queue(to) <- msgs:
	default:
	}
}

// Wait blocks until ctx has ended and all streams are closed.
func (t *Transport) Wait() {
	t.wg.Wait()
}

func (t *Transport) queue(to uint64) chan []replication.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	q, ok := t.queues[to]
	if ok {
		return q
	}
	q = make(chan []replication.Message, peerQueueCapacity)
	t.queues[to] = q
	t.wg.Add(1)
	go t.run(to, q)
	return q
}

func (t *Transport) run(to uint64, q chan []replication.Message) {
	defer t.wg.Done()
	for t.ctx.Err() == nil {
		t.sendOverStream(to, q)
		timing.Sleep(t.ctx, reconnectDelay)
	}
}

// sendOverStream sends queued messages over one stream until the stream breaks.
func (t *Transport) sendOverStream(to uint64, q chan []replication.Message) {
	stream, err := t.client.OpenStream(t.ctx, t.address(to), MethodDeliver)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	for {
		select {
		case <-t.ctx.Done():
			return
		case msgs := <-q:
			if stream.Send(&messageBatch{Messages: appendQueued(msgs, q)}) != nil {
				return
			}
		}
	}
}

// appendQueued appends all messages queued in q to msgs.
func appendQueued(msgs []replication.Message, q chan []replication.Message) []replication.Message {
	for {
		select {
		case more := <-q:
			msgs = append(msgs, more...)
		default:
			return msgs
		}
	}
}

// RegisterDeliver adds the method that receives replication messages.
func RegisterDeliver(srv *rpc.Server, deliver func([]replication.Message)) {
	rpc.HandleStream(srv, MethodDeliver, func(b *messageBatch) { deliver(b.Messages) })
}
