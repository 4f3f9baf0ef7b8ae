package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/rpc"
)

const (
	methodAnnounce = "hosts/announce"
	// forwardQueueLength bounds the announcements that wait for one host; later ones are dropped.
	forwardQueueLength = 1024
	// forwardWindow is the time for which announcements are collected into one call.
	forwardWindow = 250 * time.Millisecond
	// forwardTimeout bounds one call that carries announcements.
	forwardTimeout = time.Second
)

// announceBatch carries announcements from one entry host to another.
type announceBatch struct {
	Announcements []announce.Announcement `cbor:"1,keyasint"`
}

type empty struct{}

// forwarder passes announcements on to the other entry hosts, with one
// goroutine and queue per host.
type forwarder struct {
	ctx    context.Context
	self   string
	client *rpc.Client
	hosts  func() []controlapi.HostInfo
	mu     sync.Mutex
	queues map[string]chan announce.Announcement
	wg     sync.WaitGroup
}

func newForwarder(ctx context.Context, self string, client *rpc.Client, hosts func() []controlapi.HostInfo) *forwarder {
	return &forwarder{
		ctx:    ctx,
		self:   self,
		client: client,
		hosts:  hosts,
		queues: make(map[string]chan announce.Announcement),
	}
}

// forward queues an announcement for each other host. It never blocks.
func (f *forwarder) forward(a announce.Announcement) {
	for _, host := range f.hosts() {
		if host.Address == f.self {
			continue
		}
		select {
		case f.queue(host.Address) <- a:
		default:
		}
	}
}

func (f *forwarder) queue(address string) chan announce.Announcement {
	f.mu.Lock()
	defer f.mu.Unlock()
	q, ok := f.queues[address]
	if ok {
		return q
	}
	q = make(chan announce.Announcement, forwardQueueLength)
	f.queues[address] = q
	f.wg.Add(1)
	go f.run(address, q)
	return q
}

func (f *forwarder) run(address string, q chan announce.Announcement) {
	defer f.wg.Done()
	for {
		select {
		case <-f.ctx.Done():
			return
		case a := <-q:
			f.send(address, f.collect(a, q))
		}
	}
}

// collect joins the announcements of a window into one batch. An upstream that
// leaves ends the window at once.
func (f *forwarder) collect(first announce.Announcement, q chan announce.Announcement) *announceBatch {
	batch := &announceBatch{Announcements: []announce.Announcement{first}}
	timer := time.NewTimer(forwardWindow)
	defer timer.Stop()
	for last := first; last.State != announce.StateLeaving; {
		select {
		case <-f.ctx.Done():
			return batch
		case <-timer.C:
			return batch
		case last = <-q:
			batch.Announcements = append(batch.Announcements, last)
		}
	}
	return batch
}

// send delivers a batch once. A lost batch is made good by the next announcement.
func (f *forwarder) send(address string, batch *announceBatch) {
	ctx, cancel := context.WithTimeout(f.ctx, forwardTimeout)
	defer cancel()
	_, _ = rpc.Call[announceBatch, empty](ctx, f.client, address, methodAnnounce, batch)
}
