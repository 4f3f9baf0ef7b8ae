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
	// appendTimeout bounds one append call to one peer.
	appendTimeout = 500 * time.Millisecond
	// peerMergeInterval is the interval at which the journals of ended sessions are merged.
	peerMergeInterval = 2 * time.Second
)

type appendRequest struct {
	Session string   `cbor:"1,keyasint"`
	Records []Record `cbor:"2,keyasint"`
}

type appendReply struct{}

// RemoteStore stores the journals of a host without a disk on a peer that has one. It
// implements Store.
type RemoteStore struct {
	client *rpc.Client
	peers  func() []string
	mu     sync.Mutex
	// peer is the address of the peer that has all records of session; empty if none has.
	peer    string
	session string
	records []Record
}

// NewRemoteStore returns a store on one of peers.
func NewRemoteStore(client *rpc.Client, peers func() []string) *RemoteStore {
	return &RemoteStore{client: client, peers: peers}
}

// Append implements Store. A new peer receives the whole journal of the session, so that no
// peer's copy lacks earlier records.
func (r *RemoteStore) Append(session string, records []Record) error {
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
	return errkind.New(errkind.StorageFailed, "no peer with a disk accepted the journal records")
}

func (r *RemoteStore) send(peer string, records []Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	req := &appendRequest{Session: r.session, Records: records}
	_, err := rpc.Call[appendRequest, appendReply](ctx, r.client, peer, methodAppend, req)
	return err
}

// PeerJournals stores the journals of hosts without a disk on this host.
type PeerJournals struct {
	journals     *Journals
	controlGroup controlapi.Client
	// liveSessions returns the open sessions as of the last heartbeat; false if the control
	// group is unreachable.
	liveSessions func() ([]string, bool)
}

// NewPeerJournals returns a PeerJournals that stores them in journals, a directory separate
// from that of the host's own journals.
func NewPeerJournals(journals *Journals, group controlapi.Client, live func() ([]string, bool)) *PeerJournals {
	return &PeerJournals{journals: journals, controlGroup: group, liveSessions: live}
}

// Register registers the RPC method by which peers append to their journals.
func (p *PeerJournals) Register(srv *rpc.Server) {
	rpc.Handle(srv, methodAppend, func(_ context.Context, req *appendRequest) (*appendReply, error) {
		if err := p.journals.Append(req.Session, req.Records); err != nil {
			return nil, errkind.New(errkind.StorageFailed, "%v", err)
		}
		return &appendReply{}, nil
	})
}

// Run merges the journals of ended sessions until ctx ends. It does not return their
// grants, as another peer may hold later records.
func (p *PeerJournals) Run(ctx context.Context) {
	timing.Every(ctx, peerMergeInterval, func() { p.mergeEndedSessions(ctx) })
}

// mergeEndedSessions merges the journals of the sessions that are no longer live.
func (p *PeerJournals) mergeEndedSessions(ctx context.Context) {
	live, known := p.liveSessions()
	sessions, err := p.journals.Sessions()
	if err != nil || !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	for _, session := range sessions {
		if slices.Contains(live, session) {
			continue
		}
		if err := p.mergeSession(ctx, session); err != nil {
			klog.InfoS("failed to merge journal of a peer", "session", session, "error", err.Error())
		}
	}
}

// mergeSession merges the journal of an ended session and removes it.
func (p *PeerJournals) mergeSession(ctx context.Context, session string) error {
	records, err := p.journals.Read(session)
	if err != nil {
		return err
	}
	c, err := New(Options{ControlGroup: p.controlGroup, Connected: func() bool { return true }})
	if err != nil {
		return err
	}
	c.recoverSession(session, records)
	if err := c.sendDeferredSettlements(ctx); err != nil {
		return err
	}
	if _, err := c.mergeLedger(ctx, c.retiring[0]); err != nil {
		return err
	}
	return p.journals.Remove(session)
}
