// Package disk provides an in-memory file system for tests. A simulated crash discards
// unsynced data; write errors, sync errors and corruption are injected on demand.
package disk

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/wal"
)

// inode is the content of a file.
type inode struct {
	data   []byte
	synced int // number of leading bytes that survive a crash
	// markedClean is set by a failed sync. As on Linux, the pages are marked clean
	// afterwards, so later syncs succeed without writing them.
	markedClean bool
}

// Disk implements wal.FS. It is safe for concurrent use.
type Disk struct {
	mu        sync.Mutex
	files     map[string]*inode
	durable   map[string]*inode
	freeBytes int // remaining bytes; negative means no limit
	syncErr   error
	syncs     int
	syncGate  chan struct{} // if not nil, file syncs wait until it is closed
	syncTime  time.Duration // duration of a file sync
	epoch     int           // incremented by each crash; invalidates open files
}

var _ wal.FS = (*Disk)(nil)

// New returns an empty disk without a size limit.
func New() *Disk {
	return &Disk{files: map[string]*inode{}, durable: map[string]*inode{}, freeBytes: -1}
}

// Crash discards unsynced data. Of the unsynced tail of each file, the first
// keep(name, length) bytes survive; a nil keep discards the tail.
func (d *Disk) Crash(keep func(name string, length int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.files = map[string]*inode{}
	for name, node := range d.durable {
		kept := 0
		if keep != nil {
			kept = keep(name, len(node.data)-node.synced)
		}
		node.data = slices.Clone(node.data[:node.synced+kept])
		node.synced, node.markedClean = len(node.data), false
		d.files[name] = node
	}
}

// PersistNames makes unsynced changes of names in directories durable for the names that persists selects, as a
// file system may do at any time. It calls persists in the order of the names.
func (d *Disk) PersistNames(persists func(name string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.AppendSeq(slices.Collect(maps.Keys(d.files)), maps.Keys(d.durable))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		node, exists := d.files[name]
		if node == d.durable[name] || !persists(name) {
			continue
		}
		if exists {
			d.durable[name] = node
		} else {
			delete(d.durable, name)
		}
	}
}

// SetFreeBytes limits the number of bytes that can still be written; negative means no limit.
func (d *Disk) SetFreeBytes(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeBytes = bytes
}

// FailSync makes all later syncs return err, until it is called with nil.
func (d *Disk) FailSync(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncErr = err
}

// BlockSync blocks file syncs until release is called.
func (d *Disk) BlockSync() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gate := make(chan struct{})
	d.syncGate = gate
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.syncGate = nil
		close(gate)
	}
}

// SetSyncTime sets the time that a file sync takes; 0 at first.
func (d *Disk) SetSyncTime(t time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncTime = t
}

// waitSync waits for the time of a file sync, and while file syncs are blocked.
func (d *Disk) waitSync() {
	d.mu.Lock()
	gate, wait := d.syncGate, d.syncTime
	d.mu.Unlock()
	if gate != nil {
		<-gate
	}
	time.Sleep(wait)
}

// Syncs returns the number of successful file syncs.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// ReplaceContent replaces the content of a file by the result of change and marks it synced.
func (d *Disk) ReplaceContent(name string, change func(data []byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.files[name]
	node.data = change(node.data)
	node.synced = len(node.data)
}

// Files returns the names of all files under dir, sorted.
func (d *Disk) Files(dir string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		if strings.HasPrefix(name, dir+"/") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// MkdirAll implements wal.FS. Directories always exist.
func (d *Disk) MkdirAll(string) error { return nil }

// List implements wal.FS.
func (d *Disk) List(dir string) ([]string, error) {
	var names []string
	for _, name := range d.Files(dir) {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

// ReadFile implements wal.FS.
func (d *Disk) ReadFile(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.files[name]
	if node == nil {
		return nil, eris.Wrap(syscall.ENOENT, name)
	}
	return slices.Clone(node.data), nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.freeBytes == 0 {
		return nil, eris.Wrap(syscall.ENOSPC, name)
	}
	node := &inode{}
	d.files[name] = node
	return &file{disk: d, node: node, epoch: d.epoch}, nil
}

// OpenAppend implements wal.FS.
func (d *Disk) OpenAppend(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.files[name]
	if node == nil {
		return nil, eris.Wrap(syscall.ENOENT, name)
	}
	return &file{disk: d, node: node, epoch: d.epoch}, nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[from] == nil {
		return eris.Wrap(syscall.ENOENT, from)
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return eris.Wrap(syscall.ENOENT, name)
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements wal.FS.
func (d *Disk) SyncDir(dir string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.syncErr != nil {
		return d.syncErr
	}
	for name := range d.durable {
		if filepath.Dir(name) == dir && d.files[name] == nil {
			delete(d.durable, name)
		}
	}
	for name, node := range d.files {
		if filepath.Dir(name) == dir {
			d.durable[name] = node
		}
	}
	return nil
}

// file is an open file; a crash of the disk invalidates it.
type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

var errCrashed = eris.New("the disk has crashed since the file was opened")

// Write implements wal.File. If the disk is full, it writes the part that fits.
func (f *file) Write(p []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.epoch != d.epoch {
		return 0, errCrashed
	}
	n := len(p)
	if d.freeBytes >= 0 {
		n = min(n, d.freeBytes)
		d.freeBytes -= n
	}
	f.node.data = append(f.node.data, p[:n]...)
	if n < len(p) {
		return n, eris.Wrap(syscall.ENOSPC, "write")
	}
	return n, nil
}

// Sync implements wal.File.
func (f *file) Sync() error {
	d := f.disk
	d.waitSync()
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.epoch != d.epoch {
		return errCrashed
	}
	if d.syncErr != nil {
		f.node.markedClean = true
		return d.syncErr
	}
	d.syncs++
	if !f.node.markedClean {
		f.node.synced = len(f.node.data)
	}
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
