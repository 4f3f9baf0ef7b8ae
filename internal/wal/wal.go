// Package wal implements the write-ahead log of a replica: the replicated log and
// the hard state, stored in segment files. Each batch is one frame, which is
// written with one write and one sync.
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
	// DefaultSegmentBytes is the default size at which a new segment is created.
	DefaultSegmentBytes = 16 << 20
)

// Batch is the content of one frame. An entry replaces the stored entry with the
// same index and drops all entries after it.
type Batch struct {
	HardState replication.HardState `cbor:"1,keyasint"`
	Entries   []replication.Entry   `cbor:"2,keyasint,omitempty"`
	// Reset drops all stored entries before Entries are added. It is set when the
	// log restarts from a snapshot whose position is not in the log.
	Reset bool `cbor:"3,keyasint,omitempty"`
}

// segment is one file of the log.
type segment struct {
	name          string
	firstSequence uint64 // sequence number of its first frame
	largestIndex  uint64 // largest entry index in this and all earlier segments
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int64

	segments     []segment
	file         File
	size         int64
	nextSequence uint64 // sequence number of the next frame
	syncs        uint64
	failure      error
}

// Recovered is the content of a log when it was opened.
type Recovered struct {
	// HasBatches reports whether the log contained any batch.
	HasBatches bool
	HardState  replication.HardState
	// Entries are in order, but may begin before the end of the latest snapshot.
	Entries []replication.Entry
	// TornBytes is the length of the torn tail that was truncated.
	TornBytes int
}

// Open reads the log in dir, creates it if it does not exist, truncates a torn tail
// and prepares the log for Append. It returns an error that wraps ErrCorrupt for
// any other damage. If segmentBytes is 0, DefaultSegmentBytes is used.
func Open(fs FS, dir string, segmentBytes int64) (*Log, Recovered, error) {
	if segmentBytes == 0 {
		segmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: fs, dir: dir, segmentBytes: segmentBytes, nextSequence: 1}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, Recovered{}, err
	}
	r := &replay{}
	last, err := l.loadSegments(r)
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := l.reopenLastSegment(last); err != nil {
		return nil, Recovered{}, err
	}
	return l, r.Recovered, nil
}

// loadSegments replays all segments and returns the intact content of the last one.
func (l *Log) loadSegments(r *replay) (last []byte, err error) {
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
			return nil, eris.Wrapf(ErrCorrupt, "invalid segment name %s", name)
		}
		l.segments = append(l.segments, segment{name: filepath.Join(l.dir, name), firstSequence: first})
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
		l.nextSequence = s.firstSequence
	}
	if s.firstSequence != l.nextSequence {
		return nil, eris.Wrapf(ErrCorrupt, "segment %s found where batch %d is expected", s.name, l.nextSequence)
	}
	data, err := l.fs.ReadFile(s.name)
	if err != nil {
		return nil, err
	}
	offset, err := l.replayFrames(r, data)
	if err != nil {
		return nil, eris.Wrapf(err, "segment %s", s.name)
	}
	s.largestIndex = r.largestIndex
	l.size = int64(offset)
	if offset == len(data) {
		return data, nil
	}
	if i < len(l.segments)-1 || !isTornTail(data, offset, l.nextSequence) {
		return nil, eris.Wrapf(ErrCorrupt, "batch %d of segment %s at byte %d is damaged", l.nextSequence, s.name, offset)
	}
	r.TornBytes = len(data) - offset
	return data[:offset], nil
}

// replayFrames replays the intact frames at the start of data and returns their
// total length.
func (l *Log) replayFrames(r *replay, data []byte) (offset int, err error) {
	for offset < len(data) {
		f, ok := decodeFrame(data[offset:])
		if !ok || f.sequence != l.nextSequence {
			break
		}
		if err := r.apply(f.payload); err != nil {
			return 0, eris.Wrapf(err, "batch %d", f.sequence)
		}
		l.nextSequence++
		offset += f.size
	}
	return offset, nil
}

// reopenLastSegment rewrites and syncs the intact content of the last segment, and
// opens it for appending. A batch whose sync failed may be in the page cache only,
// marked as clean, so that another sync would not write it. All earlier segments
// were synced completely.
func (l *Log) reopenLastSegment(data []byte) error {
	if len(l.segments) == 0 {
		return l.createSegment()
	}
	name := l.segments[len(l.segments)-1].name
	if err := WriteFileAtomic(l.fs, name, data); err != nil {
		return err
	}
	file, err := l.fs.OpenAppend(name)
	if err != nil {
		return err
	}
	l.file = file
	return nil
}

func (l *Log) createSegment() error {
	name := filepath.Join(l.dir, fmt.Sprintf("%020d%s", l.nextSequence, segmentSuffix))
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
		last = l.segments[len(l.segments)-1].largestIndex
	}
	l.segments = append(l.segments, segment{name: name, firstSequence: l.nextSequence, largestIndex: last})
	l.file, l.size = file, 0
	return nil
}

// Append writes and syncs a batch. After an error, the content on disk is unknown,
// and every further Append and Compact returns the same error.
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
		return eris.Errorf("batch of %d bytes exceeds the maximum frame size", len(payload))
	}
	if l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	data := encodeFrame(l.nextSequence, payload)
	if _, err := l.file.Write(data); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.syncs++
	l.nextSequence++
	l.size += int64(len(data))
	l.recordEntries(b.Entries)
	return nil
}

func (l *Log) recordEntries(entries []replication.Entry) {
	if len(entries) == 0 {
		return
	}
	s := &l.segments[len(l.segments)-1]
	s.largestIndex = max(s.largestIndex, entries[len(entries)-1].Index)
}

func (l *Log) rotate() error {
	if err := l.file.Close(); err != nil {
		return err
	}
	return l.createSegment()
}

// Compact removes the segments that contain only entries up to index, which a
// persisted snapshot must cover. The last segment is always kept; every batch
// contains the hard state, so none is lost. Each removal is synced before the next
// one, so that a crash leaves no gap between segments.
func (l *Log) Compact(index uint64) error {
	if l.failure != nil {
		return l.failure
	}
	for len(l.segments) > 1 && l.segments[0].largestIndex <= index {
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

// Close closes the log. All appended batches are already synced.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }
