package controlnode

import (
	"encoding/json"
	"errors"
	"io/fs"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

// identityFile holds the identity of the replica to which the data directory belongs.
const identityFile = "identity.json"

// identity is the replica id of a control host. It belongs to the disk: a host with an
// empty disk gets a new id.
type identity struct {
	ReplicaID uint64 `json:"replica_id"`
	// Founders is the initial membership of a new group. It is set until the replica has
	// written its initial state to disk.
	Founders []replication.Peer `json:"founders,omitempty"`
	// Group is the id of the control group, which the host keeps after its removal.
	Group string `json:"group,omitempty"`
	// Removed is set once the group has removed the replica. The host never founds a group again.
	Removed bool `json:"removed,omitempty"`
}

// loadIdentity reads the identity, or returns nil if the data directory holds no replica.
func loadIdentity(files wal.FS, directory string) (*identity, error) {
	data, err := files.ReadFile(filepath.Join(directory, identityFile))
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

func (id *identity) save(files wal.FS, directory string) error {
	data, err := json.Marshal(id)
	if err != nil {
		return eris.Wrap(err, "encode the replica's identity")
	}
	return eris.Wrap(wal.WriteFileAtomic(files, filepath.Join(directory, identityFile), data), "save the replica's identity")
}

// removeReplica deletes the files of a replica that the group has removed, so that the host can join
// under a new id. The identity is marked first, so that nobody reads the files if a crash leaves some.
func (id *identity) removeReplica(files wal.FS, directory string) error {
	removed := &identity{ReplicaID: id.ReplicaID, Group: id.Group, Removed: true}
	if err := removed.save(files, directory); err != nil {
		return err
	}
	for _, name := range []string{"log", "snapshots"} {
		if err := removeFiles(files, filepath.Join(directory, name)); err != nil {
			return eris.Wrap(err, "remove the replica's files")
		}
	}
	return nil
}

// removeFiles deletes the files in a directory, which need not exist.
func removeFiles(files wal.FS, directory string) error {
	if err := files.MkdirAll(directory); err != nil {
		return err
	}
	names, err := files.List(directory)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := files.Remove(filepath.Join(directory, name)); err != nil {
			return err
		}
	}
	return files.SyncDir(directory)
}
