package streamorigin

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/codec"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const (
	// journalFile is the file that is written, and earlierJournalFile the one before it.
	journalFile        = "stream-origins.log"
	earlierJournalFile = "stream-origins.earlier.log"
	// maxJournalFileBytes is the size of a file at which the next one is begun. Both hold about as many
	// records as a table does.
	maxJournalFileBytes = 2 << 20
	// maxFrameRecords bounds the records in one frame, and maxQueuedRecords those that wait for the disk.
	maxFrameRecords  = 512
	maxQueuedRecords = 1 << 12
	// journalRetryInterval is the time after a failed write in which nothing is written.
	journalRetryInterval = time.Second
	// frameHeaderBytes is the size of a frame's header: the length of its payload and a checksum, four bytes each.
	frameHeaderBytes = 8
)

// journalFiles are the files of a journal in the order in which they were written.
var journalFiles = []string{earlierJournalFile, journalFile}

// JournalOptions are the settings and dependencies of a Journal.
type JournalOptions struct {
	FS        wal.FS
	Directory string
	// Boot identifies the boot of the machine, and BootTime returns the time since then, including suspended time.
	Boot     uint64
	BootTime func() time.Duration
	Scope    tally.Scope
}

// Journal keeps records in files, from which they are restored after the process was killed. The files are
// not synced: the records are many and needed for seconds, so that a loss of power may lose them.
type Journal struct {
	options  JournalOptions
	restored tally.Counter
	dropped  tally.Counter
	failures tally.Counter

	mu     sync.Mutex
	queue  []Record
	queued chan struct{}
	// lost reports that records were dropped since the latest frame.
	lost bool

	// The following belong to the goroutine that runs Run.
	file     wal.File
	size     int
	sequence uint64
	failedAt time.Duration
	failed   bool
}

// journalFrame is what one write adds to a file.
type journalFrame struct {
	Boot uint64 `cbor:"1,keyasint"`
	// At is the time since boot at which the lifetimes of the records began.
	At time.Duration `cbor:"2,keyasint"`
	// Sequence is one more than that of the frame before, unless records were lost between them.
	Sequence uint64   `cbor:"3,keyasint"`
	Records  []Record `cbor:"4,keyasint"`
}

// NewJournal returns a journal that writes nothing until Run is called.
func NewJournal(o JournalOptions) *Journal {
	return &Journal{
		options: o, queued: make(chan struct{}, 1), restored: o.Scope.Counter("stream_origins_restored"),
		dropped: o.Scope.Counter("stream_origins_not_journaled"), failures: o.Scope.Counter("stream_origin_journal_failures"),
	}
}

// Restore puts the records that earlier processes of the same boot wrote into the table, and returns how many. It must be
// called before Run, which writes them again.
func (j *Journal) Restore(t *Table, now time.Time) (int, error) {
	bootTime := j.options.BootTime()
	frames, err := j.readFrames(bootTime)
	if err != nil || len(frames) == 0 {
		j.removeFiles()
		return 0, err
	}
	j.sequence = frames[len(frames)-1].Sequence
	for r, lifetime := range neededRecords(frames, bootTime) {
		if r.Lifetime = lifetime; t.restore(r, now) {
			j.queue = append(j.queue, r)
		}
	}
	j.wake()
	j.restored.Inc(int64(len(j.queue)))
	return len(j.queue), nil
}

// neededRecords returns the records whose lifetimes are not over, with what is left of these. The same record may have been
// written several times.
func neededRecords(frames []journalFrame, bootTime time.Duration) map[Record]time.Duration {
	needed := map[Record]time.Duration{}
	for i := range frames {
		for _, r := range frames[i].Records {
			left := min(r.Lifetime, MaxLifetime) - (bootTime - frames[i].At)
			if r.Lifetime = 0; left > needed[r] {
				needed[r] = left
			}
		}
	}
	return needed
}

// readFrames returns the frames after the last missing one. A record of an earlier frame may be one that a missing frame
// made uncertain. After a loss of power any frame may be missing, so that those of another boot don't count.
func (j *Journal) readFrames(bootTime time.Duration) ([]journalFrame, error) {
	var frames []journalFrame
	for _, name := range journalFiles {
		data, err := j.options.FS.ReadFile(filepath.Join(j.options.Directory, name))
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, eris.Wrap(err, "read the journal of stream origins")
		}
		list, err := decodeFrames(data)
		if err != nil {
			return nil, err
		}
		frames = append(frames, list...)
	}
	first := 0
	for i := range frames {
		if frames[i].Boot != j.options.Boot || frames[i].At > bootTime {
			return nil, nil
		}
		if i > 0 && frames[i].Sequence != frames[i-1].Sequence+1 {
			first = i
		}
	}
	return frames[first:], nil
}

// Add queues a record to be written. It never waits.
func (j *Journal) Add(r Record) {
	j.mu.Lock()
	if len(j.queue) < maxQueuedRecords {
		j.queue = append(j.queue, r)
	} else {
		j.lost = true
		j.dropped.Inc(1)
	}
	j.mu.Unlock()
	j.wake()
}

func (j *Journal) wake() {
	select {
	case j.queued <- struct{}{}:
	default:
	}
}

// Run writes the records that are added until ctx ends.
func (j *Journal) Run(ctx context.Context) {
	defer j.close()
	for {
		select {
		case <-j.queued:
			j.writeQueued()
		case <-ctx.Done():
			return
		}
	}
}

func (j *Journal) writeQueued() {
	for {
		records, lost := j.take()
		if len(records) == 0 {
			return
		}
		if lost {
			j.sequence++
		}
		if j.failed && j.options.BootTime()-j.failedAt < journalRetryInterval {
			j.drop(len(records))
			continue
		}
		if err := j.write(records); err != nil {
			j.drop(len(records))
			j.fail(err)
			continue
		}
		j.failed = false
	}
}

func (j *Journal) take() (records []Record, lost bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(j.queue), maxFrameRecords)
	records = j.queue[:n:n]
	if j.queue = j.queue[n:]; len(j.queue) == 0 {
		j.queue = nil
	}
	if n > 0 {
		lost, j.lost = j.lost, false
	}
	return records, lost
}

func (j *Journal) drop(records int) {
	j.sequence++
	j.dropped.Inc(int64(records))
}

// write appends a frame.
func (j *Journal) write(records []Record) error {
	if j.file == nil || j.size >= maxJournalFileBytes {
		if err := j.rotate(); err != nil {
			return err
		}
	}
	data, err := encodeFrame(&journalFrame{Boot: j.options.Boot, At: j.options.BootTime(), Sequence: j.sequence + 1, Records: records})
	if err != nil {
		return err
	}
	if _, err := j.file.Write(data); err != nil {
		return eris.Wrap(err, "write the journal of stream origins")
	}
	j.sequence++
	j.size += len(data)
	return nil
}

// rotate makes the present file the earlier one, and begins another.
func (j *Journal) rotate() error {
	j.close()
	current := filepath.Join(j.options.Directory, journalFile)
	err := j.options.FS.Rename(current, filepath.Join(j.options.Directory, earlierJournalFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	j.file, err = j.options.FS.Create(current)
	j.size = 0
	return err
}

// fail removes the files, as the disk may be full.
func (j *Journal) fail(err error) {
	j.failed, j.failedAt = true, j.options.BootTime()
	j.failures.Inc(1)
	klog.ErrorS(err, "origins of streams not written: those from before now will not be restored")
	j.close()
	j.removeFiles()
}

func (j *Journal) removeFiles() {
	for _, name := range journalFiles {
		if err := j.options.FS.Remove(filepath.Join(j.options.Directory, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			klog.ErrorS(err, "journal of stream origins not removed", "file", name)
		}
	}
}

func (j *Journal) close() {
	if j.file == nil {
		return
	}
	if err := j.file.Close(); err != nil {
		klog.ErrorS(err, "journal of stream origins not closed")
	}
	j.file = nil
}

func encodeFrame(f *journalFrame) ([]byte, error) {
	payload, err := codec.Marshal(f)
	if err != nil {
		return nil, err
	}
	data := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(data, uint32(len(payload)))
	binary.LittleEndian.PutUint32(data[4:], crc32.ChecksumIEEE(payload))
	return append(data, payload...), nil
}

// decodeFrames returns the frames of a file. The last may be incomplete, as the process was killed while it wrote.
func decodeFrames(data []byte) (frames []journalFrame, err error) {
	for len(data) >= frameHeaderBytes {
		size := int(binary.LittleEndian.Uint32(data))
		if size > len(data)-frameHeaderBytes {
			return frames, nil
		}
		payload := data[frameHeaderBytes : frameHeaderBytes+size]
		if crc32.ChecksumIEEE(payload) != binary.LittleEndian.Uint32(data[4:]) {
			return nil, eris.New("a write of the journal of stream origins is torn")
		}
		var f journalFrame
		if err := codec.Unmarshal(payload, &f); err != nil {
			return nil, err
		}
		frames = append(frames, f)
		data = data[frameHeaderBytes+size:]
	}
	return frames, nil
}
