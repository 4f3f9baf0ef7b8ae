package standby

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
)

const (
	methodAppend = "journal/append"
	// appendTimeout bounds one try to append at one peer.
	appendTimeout = 500 * time.Millisecond
	// foreignInterval is the time between two looks for journals of ended sessions.
	foreignInterval = 2 * time.Second
)

type appendRequest struct {
	Session string   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

type appendReply struct{}

// Remote keeps the journals of a host without a disk on a peer that has one. It
// implements Store.
type Remote struct {
	client *rpc.Client
	peers  func() []string
	mu     sync.Mutex
	// peer holds all records of session so far; empty if none does.
	peer    string
	session string
	records []Record
}

// NewRemote returns a store on one of peers.
func NewRemote(client *rpc.Client, peers func() []string) *Remote {
	return &Remote{client: client, peers: peers}
}

// Append implements Store. A new peer is sent the whole journal of the session,
// so that each peer's copy has no gap at its front.
func (r *Remote) Append(session string, records []Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if session != r.session {
		r.session, r.records, r.peer = session, nil, ""
	}
	r.records = append(r.records, records...)
	if r.peer != "" && r.send(r.peer, records) == nil {
		return nil
	}
	r.peer = ""
	for _, peer := range r.peers() {
		if r.send(peer, r.records) == nil {
			r.peer = peer
			return nil
		}
	}
	return errkind.New(errkind.StorageFailed, "no host with a disk takes the journal")
}

func (r *Remote) send(peer string, records []Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	req := &appendRequest{Session: r.session, Records: records}
	_, err := rpc.Call[appendRequest, appendReply](ctx, r.client, peer, methodAppend, req)
	return err
}

// Foreign holds the journals that hosts without a disk keep here.
type Foreign struct {
	journals *Journals
	group    controlapi.Client
	// live returns the sessions that are open, as of the last heartbeat, or
	// false if the group did not answer lately.
	live func() ([]string, bool)
}

// NewForeign returns the keeper of foreign journals in a directory of their own.
func NewForeign(journals *Journals, group controlapi.Client, live func() ([]string, bool)) *Foreign {
	return &Foreign{journals: journals, group: group, live: live}
}

// Register adds the method by which hosts append.
func (f *Foreign) Register(srv *rpc.Server) {
	rpc.Handle(srv, methodAppend, func(_ context.Context, req *appendRequest) (*appendReply, error) {
		if err := f.journals.Append(req.Session, req.Records); err != nil {
			return nil, errkind.New(errkind.StorageFailed, "%v", err)
		}
		return &appendReply{}, nil
	})
}

// Run merges the journals of ended sessions until ctx ends. It returns no
// grants: another peer may hold later records.
func (f *Foreign) Run(ctx context.Context) {
	timing.Every(ctx, foreignInterval, func() { f.round(ctx) })
}

func (f *Foreign) round(ctx context.Context) {
	live, known := f.live()
	sessions, err := f.journals.Sessions()
	if err != nil || !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	for _, session := range sessions {
		if slices.Contains(live, session) {
			continue
		}
		if err := f.merge(ctx, session); err != nil {
			klog.InfoS("journal of another host not merged", "session", session, "error", err.Error())
		}
	}
}

func (f *Foreign) merge(ctx context.Context, session string) error {
	records, err := f.journals.Read(session)
	if err != nil {
		return err
	}
	c, err := New(Options{Group: f.group, Connected: func() bool { return true }})
	if err != nil {
		return err
	}
	c.recoverSession(session, records)
	if err := c.flushDeferred(ctx); err != nil {
		return err
	}
	if _, err := c.merge(ctx, c.retiring[0]); err != nil {
		return err
	}
	return f.journals.Remove(session)
}
