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
	// forwardQueueLength bounds the announcements queued for one host; further ones are dropped.
	forwardQueueLength = 1024
	// forwardWindow is the time for which announcements are collected into one batch.
	forwardWindow = 250 * time.Millisecond
	// forwardTimeout bounds one call to another host.
	forwardTimeout = time.Second
)

// announceBatch carries announcements from one entry host to another.
type announceBatch struct {
	Announcements []announce.Announcement `cbor:"1,keyasint"`
}

// announceReply lists those upstreams of a batch whose announcements the receiver also
// receives directly.
type announceReply struct {
	Direct []string `cbor:"1,keyasint,omitempty"`
}

// resumeRequest asks a host to forward the announcements of upstreams again.
type resumeRequest struct {
	// Address is the address of the requesting host.
	Address   string   `cbor:"1,keyasint"`
	Upstreams []string `cbor:"2,keyasint"`
}

type emptyReply struct{}

// forwarder forwards announcements to the other entry hosts, with one goroutine and
// queue per host.
type forwarder struct {
	ctx    context.Context
	self   string
	client *rpc.Client
	hosts  func() []controlapi.HostInfo
	mu     sync.Mutex
	queues map[string]chan announce.Announcement
	wg     sync.WaitGroup
	// direct and suppressions avoid forwarding announcements to hosts that receive them
	// directly.
	direct       *directUpstreams
	suppressions *suppressions
}

func newForwarder(ctx context.Context, self string, client *rpc.Client, hosts func() []controlapi.HostInfo) *forwarder {
	return &forwarder{
		ctx:    ctx,
		self:   self,
		client: client,
		hosts:  hosts,
		queues: make(map[string]chan announce.Announcement),

		direct:       newDirectUpstreams(),
		suppressions: newSuppressions(),
	}
}

// register adds the methods by which hosts forward announcements.
func (f *forwarder) register(srv *rpc.Server, apply func(announce.Announcement)) {
	rpc.Handle(srv, methodAnnounce, func(_ context.Context, batch *announceBatch) (*announceReply, error) {
		ids := make([]string, 0, len(batch.Announcements))
		for _, a := range batch.Announcements {
			apply(a)
			ids = append(ids, a.ID)
		}
		return &announceReply{Direct: f.direct.report(ids, time.Now())}, nil
	})
	rpc.Handle(srv, methodResume, func(_ context.Context, req *resumeRequest) (*emptyReply, error) {
		f.suppressions.resume(req.Address, req.Upstreams)
		return &emptyReply{}, nil
	})
}

// watchDirect asks the other hosts to forward the announcements of an upstream again
// when this host no longer receives them directly. It runs until ctx ends.
func (f *forwarder) watchDirect(ctx context.Context) {
	timing.Every(ctx, directCheckInterval, func() {
		if expired := f.direct.takeExpired(time.Now()); len(expired) > 0 {
			f.requestResumption(ctx, expired)
		}
	})
}

func (f *forwarder) requestResumption(ctx context.Context, upstreams []string) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req := &resumeRequest{Address: f.self, Upstreams: upstreams}
	var sent sync.WaitGroup
	for _, host := range f.hosts() {
		if host.Address == f.self {
			continue
		}
		sent.Go(func() { _, _ = rpc.Call[resumeRequest, emptyReply](ctx, f.client, host.Address, methodResume, req) })
	}
	sent.Wait()
}

// forward queues an announcement for each other host that does not receive it directly;
// the announcement of a leaving upstream is queued for all. It never blocks.
func (f *forwarder) forward(a announce.Announcement) {
	now := time.Now()
	for _, host := range f.hosts() {
		suppressed := a.State != announce.StateLeaving && f.suppressions.suppressed(host.Address, a.ID, now)
		if host.Address == f.self || suppressed {
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

// collect gathers the announcements of one window into a batch. The announcement of a
// leaving upstream ends the window at once.
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

// send sends a batch once, without retry: upstreams repeat their announcements, so the
// next one makes up for a lost batch.
func (f *forwarder) send(address string, batch *announceBatch) {
	ctx, cancel := context.WithTimeout(f.ctx, forwardTimeout)
	defer cancel()
	reply, err := rpc.Call[announceBatch, announceReply](ctx, f.client, address, methodAnnounce, batch)
	if err == nil {
		f.suppressions.add(address, reply.Direct, time.Now())
	}
}
