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
	methodSeen       = "replication/seen"
	seenReplicasFile = "seen-replicas.json"
	// confirmRetryDelay is the time between two tries of a call that confirms a
	// replica ID.
	confirmRetryDelay = 100 * time.Millisecond
)

// SeenReplicas is the durable set of the IDs of replicas from which this host has
// received messages. Invariant: no message of a replica is delivered before its ID is
// on disk. So if a replica has voted or acknowledged entries and returns with an
// empty disk under the same ID, every peer that may rely on its votes detects it.
type SeenReplicas struct {
	path string
	mu   sync.Mutex
	ids  map[uint64]bool
}

// OpenSeenReplicas loads the set from directory; it is empty if there is no file.
func OpenSeenReplicas(directory string) (*SeenReplicas, error) {
	s := &SeenReplicas{path: filepath.Join(directory, seenReplicasFile), ids: make(map[uint64]bool)}
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

// Contains reports whether a message from replica id has ever been received.
func (s *SeenReplicas) Contains(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ids[id]
}

// Record makes id durable. Only the first call for each ID writes and syncs the file.
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

// Filter records the senders of the messages. It drops the messages whose sender could
// not be recorded and returns the others, reusing msgs.
func (s *SeenReplicas) Filter(msgs []replication.Message) []replication.Message {
	out := msgs[:0]
	for _, m := range msgs {
		if err := s.Record(m.From); err != nil {
			klog.ErrorS(err, "message dropped: sender ID not recorded", "replica", m.From)
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

// Register adds the method by which peers ask whether an ID is in the set.
func (s *SeenReplicas) Register(srv *rpc.Server) {
	rpc.Handle(srv, methodSeen, func(_ context.Context, req *seenRequest) (*seenReply, error) {
		return &seenReply{Seen: s.Contains(req.ID)}, nil
	})
}

// ConfirmUnseen waits for every peer to confirm that it has never received a message
// from replica id. If a peer has received one, ConfirmUnseen returns an error: the
// replica has lost its disk and must join under a new ID.
func ConfirmUnseen(ctx context.Context, client *rpc.Client, id uint64, peers []string) error {
	for _, peer := range peers {
		if err := confirmUnseenBy(ctx, client, id, peer); err != nil {
			return err
		}
	}
	return nil
}

func confirmUnseenBy(ctx context.Context, client *rpc.Client, id uint64, peer string) error {
	for {
		reply, err := rpc.Call[seenRequest, seenReply](ctx, client, peer, methodSeen, &seenRequest{ID: id})
		if err == nil && reply.Seen {
			return errkind.New(errkind.StorageFailed,
				"replica id %d is known to %s, but its disk is empty; join under a new id", id, peer)
		}
		if err == nil {
			return nil
		}
		if !timing.Sleep(ctx, confirmRetryDelay) {
			return eris.Wrapf(ctx.Err(), "peer %s has not confirmed that replica id %d is unused", peer, id)
		}
	}
}
