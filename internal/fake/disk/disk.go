// Package disk is an in-memory file system for tests. It loses what was not
// synced when it crashes, and fails or damages data on demand.
package disk

import (
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/wal"
)

// inode is the content of a file.
type inode struct {
	data   []byte
	synced int // bytes that survive a crash
	// stuck is set by a failed sync: as on Linux, the pages count as clean
	// afterwards, so that later syncs succeed without writing them.
	stuck bool
}

// Disk implements wal.FS. It is safe for concurrent use.
type Disk struct {
	mu       sync.Mutex
	names    map[string]*inode
	durable  map[string]*inode
	capacity int // bytes still free; negative for no limit
	syncErr  error
	syncs    int
	hold     chan struct{} // syncs wait for it to close; nil if they don't
	epoch    int           // raised by a crash; files opened before are dead
}

var _ wal.FS = (*Disk)(nil)

// New returns an empty disk without a size limit.
func New() *Disk {
	return &Disk{names: map[string]*inode{}, durable: map[string]*inode{}, capacity: -1}
}

// Crash drops what is not synced. Of the unsynced tail of each file the first
// keep(name, length) bytes survive; a nil keep stands for none.
func (d *Disk) Crash(keep func(name string, length int) int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch++
	d.names = map[string]*inode{}
	for name, node := range d.durable {
		extra := 0
		if keep != nil {
			extra = keep(name, len(node.data)-node.synced)
		}
		node.data = slices.Clone(node.data[:node.synced+extra])
		node.synced, node.stuck = len(node.data), false
		d.names[name] = node
	}
}

// SetFree limits the bytes that may still be written; negative for no limit.
func (d *Disk) SetFree(bytes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capacity = bytes
}

// FailSync makes every further sync return err, until it is called with nil.
func (d *Disk) FailSync(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncErr = err
}

// HoldSync makes file syncs wait until release is called.
func (d *Disk) HoldSync() (release func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hold := make(chan struct{})
	d.hold = hold
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.hold = nil
		close(hold)
	}
}

// waitSync waits while syncs are held.
func (d *Disk) waitSync() {
	d.mu.Lock()
	hold := d.hold
	d.mu.Unlock()
	if hold != nil {
		<-hold
	}
}

// Syncs returns the number of file syncs so far.
func (d *Disk) Syncs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.syncs
}

// Edit replaces the content of a file by what change returns, synced.
func (d *Disk) Edit(name string, change func(data []byte) []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	node.data = change(node.data)
	node.synced = len(node.data)
}

// Files returns the names of all files under dir, sorted.
func (d *Disk) Files(dir string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.names {
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
	node := d.names[name]
	if node == nil {
		return nil, eris.Wrap(syscall.ENOENT, name)
	}
	return slices.Clone(node.data), nil
}

// Create implements wal.FS.
func (d *Disk) Create(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.capacity == 0 {
		return nil, eris.Wrap(syscall.ENOSPC, name)
	}
	node := &inode{}
	d.names[name] = node
	return &file{disk: d, node: node, epoch: d.epoch}, nil
}

// OpenAppend implements wal.FS.
func (d *Disk) OpenAppend(name string) (wal.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.names[name]
	if node == nil {
		return nil, eris.Wrap(syscall.ENOENT, name)
	}
	return &file{disk: d, node: node, epoch: d.epoch}, nil
}

// Rename implements wal.FS.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[to] = d.names[from]
	delete(d.names, from)
	return nil
}

// Remove implements wal.FS.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.names, name)
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
		if filepath.Dir(name) == dir && d.names[name] == nil {
			delete(d.durable, name)
		}
	}
	for name, node := range d.names {
		if filepath.Dir(name) == dir {
			d.durable[name] = node
		}
	}
	return nil
}

// file is an open file.
type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

var errCrashed = eris.New("the disk has crashed since the file was opened")

// Write implements wal.File. A full disk takes what fits.
func (f *file) Write(p []byte) (int, error) {
	d := f.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.epoch != d.epoch {
		return 0, errCrashed
	}
	n := len(p)
	if d.capacity >= 0 {
		n = min(n, d.capacity)
		d.capacity -= n
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
		f.node.stuck = true
		return d.syncErr
	}
	d.syncs++
	if !f.node.stuck {
		f.node.synced = len(f.node.data)
	}
	return nil
}

// Close implements wal.File.
func (f *file) Close() error { return nil }
