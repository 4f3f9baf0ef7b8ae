package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	methodAnnounce = "hosts/announce"
	methodResume   = "hosts/resume-announcements"
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

// announceReply names those upstreams of a batch that the receiver hears itself.
type announceReply struct {
	Direct []string `cbor:"1,keyasint,omitempty"`
}

// resumeRequest asks that the announcements of upstreams are passed on again.
type resumeRequest struct {
	// Address is that of the asking host.
	Address   string   `cbor:"1,keyasint"`
	Upstreams []string `cbor:"2,keyasint"`
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
	// direct and suppressions keep announcements from hosts that hear them themselves.
	direct       *directSenders
	suppressions *suppressions
}

func newForwarder(ctx context.Context, self string, client *rpc.Client, hosts func() []controlapi.HostInfo) *forwarder {
	return &forwarder{
		ctx:    ctx,
		self:   self,
		client: client,
		hosts:  hosts,
		queues: make(map[string]chan announce.Announcement),

		direct:       newDirectSenders(),
		suppressions: newSuppressions(),
	}
}

// register adds the methods by which hosts pass announcements on.
func (f *forwarder) register(srv *rpc.Server, take func(announce.Announcement)) {
	rpc.Handle(srv, methodAnnounce, func(_ context.Context, batch *announceBatch) (*announceReply, error) {
		ids := make([]string, 0, len(batch.Announcements))
		for _, a := range batch.Announcements {
			take(a)
			ids = append(ids, a.ID)
		}
		return &announceReply{Direct: f.direct.tell(ids, time.Now())}, nil
	})
	rpc.Handle(srv, methodResume, func(_ context.Context, req *resumeRequest) (*empty, error) {
		f.suppressions.resume(req.Address, req.Upstreams)
		return &empty{}, nil
	})
}

// watchSilence asks the other hosts to pass on again what this host hears no
// longer itself, until ctx ends.
func (f *forwarder) watchSilence(ctx context.Context) {
	timing.Every(ctx, resumeInterval, func() {
		if lost := f.direct.lost(time.Now()); len(lost) > 0 {
			f.resume(ctx, lost)
		}
	})
}

func (f *forwarder) resume(ctx context.Context, upstreams []string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req := &resumeRequest{Address: f.self, Upstreams: upstreams}
	var sent sync.WaitGroup
	for _, host := range f.hosts() {
		if host.Address == f.self {
			continue
		}
		sent.Go(func() { _, _ = rpc.Call[resumeRequest, empty](ctx, f.client, host.Address, methodResume, req) })
	}
	sent.Wait()
}

// forward queues an announcement for each other host that does not hear the
// upstream itself; that it leaves, for all. It never blocks.
func (f *forwarder) forward(a announce.Announcement) {
	now := time.Now()
	for _, host := range f.hosts() {
		hears := a.State != announce.StateLeaving && f.suppressions.has(host.Address, a.ID, now)
		if host.Address == f.self || hears {
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
	reply, err := rpc.Call[announceBatch, announceReply](ctx, f.client, address, methodAnnounce, batch)
	if err == nil {
		f.suppressions.add(address, reply.Direct, time.Now())
	}
}
