package controlgroup

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/rpc"
	"github.com/godwitbend/godwitbend/internal/timing"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	methodSeen = "replication/seen"
	seenFile   = "seen-replicas.json"
	// seenRetryDelay is the time between two rounds of questions to peers.
	seenRetryDelay = 100 * time.Millisecond
)

// SeenReplicas is the durable set of replica ids that this host has received
// messages from. Invariant: no message of a replica is delivered before its id
// is on disk. So a replica that returns with an empty disk under an id that has
// voted or acknowledged is known to each peer that may rely on it.
type SeenReplicas struct {
	path string
	mu   sync.Mutex
	ids  map[uint64]bool
}

// OpenSeenReplicas reads the set from directory.
func OpenSeenReplicas(directory string) (*SeenReplicas, error) {
	s := &SeenReplicas{path: filepath.Join(directory, seenFile), ids: make(map[uint64]bool)}
	data, err := os.ReadFile(s.path)
	if errors.Is(err, os.ErrNotExist) {
		return s, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read seen replicas")
	}
	var ids []uint64
	if err := json.Unmarshal(data, &ids); err != nil {
		return nil, eris.Wrapf(err, "decode %s", s.path)
	}
	for _, id := range ids {
		s.ids[id] = true
	}
	return s, nil
}

// Has tells whether a message of id was ever received.
func (s *SeenReplicas) Has(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// Record makes id durable. It costs a sync for the first message of each id only.
func (s *SeenReplicas) Record(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids[id] {
		return nil
	}
	ids := []uint64{id}
	for known := range s.ids {
		ids = append(ids, known)
	}
	data, err := json.Marshal(ids)
	if err != nil {
		return eris.Wrap(err, "encode seen replicas")
	}
	if err := wal.WriteFileAtomic(wal.OS{}, s.path, data); err != nil {
		return err
	}
	s.ids[id] = true
	return nil
}

// Filter returns the messages whose sender is on disk; it drops the others.
func (s *SeenReplicas) Filter(msgs []replication.Message) []replication.Message {
	out := msgs[:0]
	for _, m := range msgs {
		if err := s.Record(m.From); err != nil {
			klog.ErrorS(err, "message dropped", "replica", m.From)
			continue
		}
		out = append(out, m)
	}
	return out
}

type seenRequest struct {
	ID uint64 `cbor:"1,keyasint"`
}

type seenReply struct {
	Seen bool `cbor:"1,keyasint"`
}

// Register adds the method by which peers ask for the set.
func (s *SeenReplicas) Register(srv *rpc.Server) {
	rpc.Handle(srv, methodSeen, func(_ context.Context, req *seenRequest) (*seenReply, error) {
		return &seenReply{Seen: s.Has(req.ID)}, nil
	})
}

// ConfirmNew returns once every peer has said that it never received a message
// of replica id. An id that some peer knows is refused: the replica has lost
// its disk and must join under a new id.
func ConfirmNew(ctx context.Context, client *rpc.Client, id uint64, peers []string) error {
	for _, peer := range peers {
		if err := confirmNewAt(ctx, client, id, peer); err != nil {
			return err
		}
	}
	return nil
}

func confirmNewAt(ctx context.Context, client *rpc.Client, id uint64, peer string) error {
	for {
		reply, err := rpc.Call[seenRequest, seenReply](ctx, client, peer, methodSeen, &seenRequest{ID: id})
		if err == nil && reply.Seen {
			return errkind.New(errkind.StorageFailed,
				"replica id %d is known to %s, but its disk is empty; join under a new id", id, peer)
		}
		if err == nil {
			return nil
		}
		if !timing.Sleep(ctx, seenRetryDelay) {
			return eris.Wrapf(ctx.Err(), "peer %s has not confirmed that replica id %d is new", peer, id)
		}
	}
}
