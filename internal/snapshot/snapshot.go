// Package snapshot stores the snapshots of a replica in files. A snapshot is written to a
// temporary file, synced and renamed, so that a crash leaves either the complete snapshot or
// none. The latest snapshot and the one before it are retained.
package snapshot

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	fileSuffix = ".snapshot"
	// maxSnapshots is the number of snapshots retained.
	maxSnapshots  = 2
	checksumBytes = 4
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrCorrupt reports a snapshot that is truncated, fails its checksum or cannot be decoded.
var ErrCorrupt = eris.New("snapshot is corrupt")

// Store is a directory of snapshots. It is not safe for concurrent use.
type Store struct {
	fs  wal.FS
	dir string
}

// Open returns the store in dir and creates dir if it does not exist. It removes the
// temporary files of saves that a crash interrupted.
func Open(fs wal.FS, dir string) (*Store, error) {
	if err := fs.MkdirAll(dir); err != nil {
		return nil, err
	}
	names, err := fs.List(dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, wal.TemporarySuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, name)); err != nil {
			return nil, err
		}
	}
	return &Store{fs: fs, dir: dir}, nil
}

// Save writes and syncs s, and removes the oldest snapshots beyond maxSnapshots.
func (st *Store) Save(s replication.Snapshot) error {
	data, err := codec.Marshal(s)
	if err != nil {
		return err
	}
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(data, crcTable))
	final := filepath.Join(st.dir, fmt.Sprintf("%020d%s", s.Meta.Index, fileSuffix))
	if err := wal.WriteFileAtomic(st.fs, final, data); err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	return st.prune()
}

// prune removes the oldest snapshots beyond maxSnapshots. The removal is not synced, as it
// does no harm if a crash restores an old snapshot.
func (st *Store) prune() error {
	names, err := st.list()
	if err != nil {
		return err
	}
	for len(names) > maxSnapshots {
		if err := st.fs.Remove(filepath.Join(st.dir, names[0])); err != nil {
			return err
		}
		names = names[1:]
	}
	return nil
}

// list returns the names of the snapshot files, oldest first.
func (st *Store) list() ([]string, error) {
	names, err := st.fs.List(st.dir)
	if err != nil {
		return nil, err
	}
	var found []string
	for _, name := range names {
		if strings.HasSuffix(name, fileSuffix) {
			found = append(found, name)
		}
	}
	return found, nil
}

// Load returns the intact snapshots, latest first. The error wraps ErrCorrupt if any is
// corrupt. The intact ones are returned nevertheless, and the caller decides whether its log
// still reaches back to one of them.
func (st *Store) Load() (intact []replication.Snapshot, err error) {
	names, err := st.list()
	if err != nil {
		return nil, err
	}
	slices.Reverse(names)
	for _, name := range names {
		s, readErr := st.read(name)
		if readErr != nil {
			err = readErr
			continue
		}
		intact = append(intact, s)
	}
	return intact, err
}

func (st *Store) read(name string) (replication.Snapshot, error) {
	data, err := st.fs.ReadFile(filepath.Join(st.dir, name))
	if err != nil {
		return replication.Snapshot{}, err
	}
	if len(data) < checksumBytes {
		return replication.Snapshot{}, eris.Wrapf(ErrCorrupt, "%s has only %d bytes", name, len(data))
	}
	body, sum := data[:len(data)-checksumBytes], binary.LittleEndian.Uint32(data[len(data)-checksumBytes:])
	if crc32.Checksum(body, crcTable) != sum {
		return replication.Snapshot{}, eris.Wrapf(ErrCorrupt, "checksum mismatch in %s", name)
	}
	var s replication.Snapshot
	if err := codec.Unmarshal(body, &s); err != nil {
		return s, eris.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	return s, nil
}
