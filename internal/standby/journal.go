package standby

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	journalSuffix    = ".journal"
	journalPerm      = 0o600
	directoryPerm    = 0o700
	frameHeaderBytes = 8
	// maxRecordBytes bounds the encoded size of a journal record.
	maxRecordBytes = 16 << 20
)

// Record is one record of a journal: a request that was charged to a grant, or a settlement
// that has not reached the control group yet.
type Record struct {
	Entry  *controlapi.JournalEntry  `cbor:"1,keyasint,omitempty"`
	Settle *controlapi.SettleRequest `cbor:"2,keyasint,omitempty"`
}

// Journals is a directory with one journal per session. Appended records are synced. After
// a failed append every further append fails with the same error.
type Journals struct {
	directory string
	mu        sync.Mutex
	files     map[string]*os.File
	failure   error
}

// OpenJournals opens a directory of journals and creates it if it does not exist.
func OpenJournals(directory string) (*Journals, error) {
	if err := os.MkdirAll(directory, directoryPerm); err != nil {
		return nil, eris.Wrap(err, "create the journal directory")
	}
	if err := (wal.OS{}).SyncDir(filepath.Dir(directory)); err != nil {
		return nil, err
	}
	return &Journals{directory: directory, files: make(map[string]*os.File)}, nil
}

// Sessions returns the sessions that have a journal.
func (j *Journals) Sessions() ([]string, error) {
	entries, err := os.ReadDir(j.directory)
	if err != nil {
		return nil, eris.Wrap(err, "list journals")
	}
	var out []string
	for _, e := range entries {
		if name, ok := strings.CutSuffix(e.Name(), journalSuffix); ok {
			out = append(out, name)
		}
	}
	return out, nil
}

// Read returns the records of a session. A torn record at the end was never acknowledged
// and is dropped; a corrupt record before the end is an error.
func (j *Journals) Read(session string) ([]Record, error) {
	data, err := os.ReadFile(j.path(session))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read journal of session %s", session)
	}
	var out []Record
	for len(data) > 0 {
		payload, rest, complete := nextFrame(data)
		if !complete {
			return out, nil
		}
		var r Record
		if payload == nil || codec.Unmarshal(payload, &r) != nil {
			return out, eris.Errorf("journal of session %s is corrupt after %d records", session, len(out))
		}
		out = append(out, r)
		data = rest
	}
	return out, nil
}

// nextFrame splits the first frame off data. complete is false if the frame is torn. payload
// is nil if its checksum does not match; such a frame counts as torn unless data follows it.
func nextFrame(data []byte) (payload, rest []byte, complete bool) {
	if len(data) < frameHeaderBytes {
		return nil, nil, false
	}
	size := int(binary.BigEndian.Uint32(data))
	if size > maxRecordBytes || len(data) < frameHeaderBytes+size {
		return nil, nil, false
	}
	payload = data[frameHeaderBytes : frameHeaderBytes+size]
	rest = data[frameHeaderBytes+size:]
	if crc32.ChecksumIEEE(payload) == binary.BigEndian.Uint32(data[4:]) {
		return payload, rest, true
	}
	return nil, rest, len(rest) > 0
}

// Append appends records to the session's journal and syncs it. Without records it only
// creates the journal, which marks the session as one of this host.
func (j *Journals) Append(session string, records []Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return j.failure
	}
	if err := j.append(session, records); err != nil {
		j.failure = eris.Wrapf(err, "append to journal of session %s", session)
	}
	return j.failure
}

func (j *Journals) append(session string, records []Record) error {
	file, err := j.openFile(session)
	if err != nil {
		return err
	}
	var buf []byte
	for _, r := range records {
		payload, err := codec.Marshal(r)
		if err != nil {
			return err
		}
		buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
		buf = binary.BigEndian.AppendUint32(buf, crc32.ChecksumIEEE(payload))
		buf = append(buf, payload...)
	}
	if len(buf) == 0 {
		return nil
	}
	if _, err := file.Write(buf); err != nil {
		return err
	}
	return file.Sync()
}

// openFile returns the session's open file. It truncates a torn record that an earlier
// process left at the end, so that records appended after it can be read.
func (j *Journals) openFile(session string) (*os.File, error) {
	if file, ok := j.files[session]; ok {
		return file, nil
	}
	size, err := j.intactSize(session)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(j.path(session), os.O_CREATE|os.O_RDWR|os.O_APPEND, journalPerm)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(file.Truncate(size), file.Sync(), wal.OS{}.SyncDir(j.directory)); err != nil {
		_ = file.Close()
		return nil, err
	}
	j.files[session] = file
	return file, nil
}

// intactSize returns the size in bytes of a journal without a torn record at its end.
func (j *Journals) intactSize(session string) (int64, error) {
	data, err := os.ReadFile(j.path(session))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	rest := data
	for len(rest) > 0 {
		_, next, complete := nextFrame(rest)
		if !complete {
			break
		}
		rest = next
	}
	return int64(len(data) - len(rest)), nil
}

// Remove deletes the journal of a session. All its records must have reached the control
// group.
func (j *Journals) Remove(session string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if file, ok := j.files[session]; ok {
		_ = file.Close()
		delete(j.files, session)
	}
	err := os.Remove(j.path(session))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return eris.Wrap(err, "remove journal")
}

// Close closes the open files. A later Append opens them again.
func (j *Journals) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	var err error
	for _, file := range j.files {
		err = errors.Join(err, file.Close())
	}
	clear(j.files)
	return err
}

func (j *Journals) path(session string) string {
	return filepath.Join(j.directory, filepath.Base(session)+journalSuffix)
}
