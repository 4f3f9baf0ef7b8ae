package controlnode

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// identityFile names the replica that the data directory belongs to.
const identityFile = "identity.json"

// identity is the replica id of a control host. It goes with the disk: a host
// whose disk is empty gets another one.
type identity struct {
	ReplicaID uint64 `json:"replica_id"`
	// Founders is the membership of a new group, until the replica's first state is on disk.
	Founders []replication.Peer `json:"founders,omitempty"`
}

// loadIdentity returns nil if the data directory has no replica.
func loadIdentity(directory string) (*identity, error) {
	data, err := os.ReadFile(filepath.Join(directory, identityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read the replica's identity")
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return nil, eris.Wrap(err, "read the replica's identity")
	}
	return &id, nil
}

func (id *identity) save(directory string) error {
	data, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "encode the replica's identity")
	}
	return eris.Wrap(wal.WriteFileAtomic(wal.OS{}, filepath.Join(directory, identityFile), data), "save the replica's identity")
}

// forget removes a replica's files so that the host can join under a new id. The
// identity goes first: without it the rest is never read.
func forget(directory string) error {
	if err := os.Remove(filepath.Join(directory, identityFile)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return eris.Wrap(err, "remove the replica's identity")
	}
	if err := (wal.OS{}).SyncDir(directory); err != nil {
		return eris.Wrap(err, "sync the data directory")
	}
	for _, name := range []string{"log", "snapshots"} {
		if err := os.RemoveAll(filepath.Join(directory, name)); err != nil {
			return eris.Wrap(err, "remove the replica's files")
		}
	}
	return eris.Wrap((wal.OS{}).SyncDir(directory), "sync the data directory")
}
