// Package wal keeps the replicated log and the hard state of a replica in
// segment files. A batch is one frame, written once and synced once.
package wal

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/replication"
)

const (
	segmentSuffix = ".wal"
	// DefaultSegmentBytes is the size from which a new segment is begun.
	DefaultSegmentBytes = 16 << 20
)

// Batch is what one frame holds. An entry replaces the one of the same index
// and drops all after it.
type Batch struct {
	HardState replication.HardState `cbor:"1,keyasint"`
	Entries   []replication.Entry   `cbor:"2,keyasint,omitempty"`
	// Reset drops the whole log before Entries; it goes with a snapshot that
	// does not stand in the log.
	Reset bool `cbor:"3,keyasint,omitempty"`
}

// segment is a file of the log.
type segment struct {
	name  string
	first uint64 // sequence of its first frame
	last  uint64 // largest entry index in it and in all before it
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64

	segments []segment
	file     File
	size     int64
	sequence uint64 // of the next frame
	syncs    uint64
	failure  error
}

// Recovered is what a log held when it was opened.
type Recovered struct {
	// Found tells whether the log held any batch.
	Found     bool
	HardState replication.HardState
	// Entries are in order, but need not begin after the latest snapshot.
	Entries []replication.Entry
	// TornBytes is the length of the unsynced tail that was cut off.
	TornBytes int
}

// Open reads the log in dir, makes it if absent, cuts off a torn tail and
// readies it for Append. It returns an error that wraps ErrCorrupt for any
// other damage. A segmentBytes of 0 stands for DefaultSegmentBytes.
func Open(fs FS, dir string, segmentBytes int64) (*Log, Recovered, error) {
	if segmentBytes == 0 {
		segmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: fs, dir: dir, segmentBytes: segmentBytes, sequence: 1}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, err
	}
	r := &replay{}
	last, err := l.load(r)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.openLast(last); err != nil {
		return nil, Recovered{}, err
	}
	return l, r.Recovered, nil
}

// load replays all segments and returns the intact content of the last one.
func (l *Log) load(r *replay) (last []byte, err error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		first, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 10, 64)
		if err != nil {
			return nil, eris.Wrapf(ErrCorrupt, "segment name %s", name)
		}
		l.segments = append(l.segments, segment{name: filepath.Join(l.dir, name), first: first})
	}
	for i := range l.segments {
		if last, err = l.loadSegment(r, i); err != nil {
			return nil, err
		}
	}
	return last, nil
}

// loadSegment replays segment i and returns its intact content.
func (l *Log) loadSegment(r *replay, i int) ([]byte, error) {
	s := &l.segments[i]
	if i == 0 {
		l.sequence = s.first
	}
	if s.first != l.sequence {
		return nil, eris.Wrapf(ErrCorrupt, "segment %s in place of batch %d", s.name, l.sequence)
	}
	data, err := l.fs.ReadFile(s.name)
	if err != nil {
		return nil, err
	}
	offset, err := l.replayFrames(r, data)
	if err != nil {
		return nil, eris.Wrapf(err, "segment %s", s.name)
	}
	s.last = r.largest
	l.size = int64(offset)
	if offset == len(data) {
		return data, nil
	}
	if i < len(l.segments)-1 || !torn(data, offset, l.sequence) {
		return nil, eris.Wrapf(ErrCorrupt, "batch %d of %s at byte %d", l.sequence, s.name, offset)
	}
	r.TornBytes = len(data) - offset
	return data[:offset], nil
}

// replayFrames replays the intact frames at the beginning of data and returns
// their length.
func (l *Log) replayFrames(r *replay, data []byte) (offset int, err error) {
	for offset < len(data) {
		f, ok := decodeFrame(data[offset:])
		if !ok || f.sequence != l.sequence {
			break
		}
		if err := r.apply(f.payload); err != nil {
			return 0, eris.Wrapf(err, "batch %d", f.sequence)
		}
		l.sequence++
		offset += f.size
	}
	return offset, nil
}

// openLast readies the last segment. What was read of it is written anew and
// synced: a batch whose sync failed may be in the page cache only, where a
// second sync no longer finds it. The segments before it were synced in full.
func (l *Log) openLast(data []byte) error {
	if len(l.segments) == 0 {
		return l.beginSegment()
	}
	name := l.segments[len(l.segments)-1].name
	if err := WriteSynced(l.fs, name, data); err != nil {
		return err
	}
	file, err := l.fs.OpenAppend(name)
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

func (l *Log) beginSegment() error {
	name := filepath.Join(l.dir, fmt.Sprintf("%020d%s", l.sequence, segmentSuffix))
	file, err := l.fs.Create(name)
	if err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		_ = file.Close()
		return err
	}
	var last uint64
	if len(l.segments) > 0 {
		last = l.segments[len(l.segments)-1].last
	}
	l.segments = append(l.segments, segment{name: name, first: l.sequence, last: last})
	l.file, l.size = file, 0
	return nil
}

// Append writes the batch and syncs it. After any error the log refuses every
// further call with that error: what is on disk is no longer known.
func (l *Log) Append(b Batch) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.append(b); err != nil {
		l.failure = eris.Wrap(err, "append to log")
	}
	return l.failure
}

func (l *Log) append(b Batch) error {
	payload, err := codec.Marshal(b)
	if err != nil {
		return err
	}
	if len(payload) > maxPayloadBytes {
		return eris.Errorf("batch of %d bytes", len(payload))
	}
	if l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	data := encodeFrame(l.sequence, payload)
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.syncs++
	l.sequence++
	l.size += int64(len(data))
	l.noteEntries(b.Entries)
	return nil
}

func (l *Log) noteEntries(entries []replication.Entry) {
	if len(entries) == 0 {
		return
	}
	s := &l.segments[len(l.segments)-1]
	s.last = max(s.last, entries[len(entries)-1].Index)
}

func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	return l.beginSegment()
}

// Compact removes the segments that hold only entries up to index, for which a
// snapshot has been persisted. The last segment always stays, and every batch
// repeats the hard state. Each removal is synced before the next, so that a
// crash leaves no gap between segments.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.fs.Remove(l.segments[0].name); err != nil {
			return err
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

// Syncs returns the number of batches synced since Open.
func (l *Log) Syncs() uint64 { return l.syncs }

// Close closes the log. Every batch appended is already synced.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }
