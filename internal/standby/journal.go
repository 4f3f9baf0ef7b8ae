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
	journalSuffix = ".journal"
	journalPerm   = 0o600
	directoryPerm = 0o700
	frameHeader   = 8
	// maxRecordBytes bounds one record of a journal.
	maxRecordBytes = 16 << 20
)

// Record is one line of a journal: a request that was charged to a grant, or a
// settlement that the control group has not taken yet.
type Record struct {
	Entry  *controlapi.JournalEntry  `cbor:"1,keyasint,omitempty"`
	Settle *controlapi.SettleRequest `cbor:"2,keyasint,omitempty"`
}

// Journals is a directory with one journal per session. Appended records are
// synced. After a failed write or sync a journal takes no more records.
type Journals struct {
	directory string
	mu        sync.Mutex
	files     map[string]*os.File
	failure   error
}

// OpenJournals opens the directory, which is made if it does not exist.
func OpenJournals(directory string) (*Journals, error) {
	if err := os.MkdirAll(directory, directoryPerm); err != nil {
		return nil, eris.Wrap(err, "make the journal directory")
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

// Read returns the records of a session. A torn record at the end was never
// acknowledged and is dropped; a damaged one elsewhere is an error.
func (j *Journals) Read(session string) ([]Record, error) {
	data, err := os.ReadFile(j.path(session))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read the journal of %s", session)
	}
	var out []Record
	for len(data) > 0 {
		payload, rest, whole := cutFrame(data)
		if !whole {
			return out, nil
		}
		var r Record
		if payload == nil || codec.Unmarshal(payload, &r) != nil {
			return out, eris.Errorf("the journal of %s is damaged after %d records", session, len(out))
		}
		out = append(out, r)
		data = rest
	}
	return out, nil
}

// cutFrame takes the first frame off data. whole is false for a frame that is
// cut short; payload is nil if its checksum is wrong and more data follows.
func cutFrame(data []byte) (payload, rest []byte, whole bool) {
	if len(data) < frameHeader {
		return nil, nil, false
	}
	size := int(binary.BigEndian.Uint32(data))
	if size > maxRecordBytes || len(data) < frameHeader+size {
		return nil, nil, false
	}
	payload = data[frameHeader : frameHeader+size]
	rest = data[frameHeader+size:]
	if crc32.ChecksumIEEE(payload) == binary.BigEndian.Uint32(data[4:]) {
		return payload, rest, true
	}
	return nil, rest, len(rest) > 0
}

// Append makes records durable. With no records it makes the session's journal
// exist, which marks the session as one of this host.
func (j *Journals) Append(session string, records []Record) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return j.failure
	}
	if err := j.append(session, records); err != nil {
		j.failure = eris.Wrapf(err, "append to the journal of %s", session)
	}
	return j.failure
}

func (j *Journals) append(session string, records []Record) error {
	file, err := j.open(session)
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

// open returns the session's file. A torn end that an earlier process left is
// cut off, so that records behind it can be read.
func (j *Journals) open(session string) (*os.File, error) {
	if file, ok := j.files[session]; ok {
		return file, nil
	}
	size, err := j.wholeSize(session)
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

// wholeSize returns the length of the whole frames of a journal, in bytes.
func (j *Journals) wholeSize(session string) (int64, error) {
	data, err := os.ReadFile(j.path(session))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	rest := data
	for len(rest) > 0 {
		_, next, whole := cutFrame(rest)
		if !whole {
			break
		}
		rest = next
	}
	return int64(len(data) - len(rest)), nil
}

// Remove deletes the journal of a session whose records are all in the ledger.
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

// Close closes the files.
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
