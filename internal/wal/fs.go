package wal

import (
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	// Sync makes all written data durable.
	Sync() error
	Close() error
}

// FS is the set of file system operations that the log and the snapshots need.
// Tests inject faults through it.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names of the files in dir, sorted.
	List(dir string) ([]string, error)
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// OpenAppend opens an existing file for appending.
	OpenAppend(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes the directory entries of dir durable.
	SyncDir(dir string) error
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// OS is the file system of the operating system.
type OS struct{}

var _ FS = OS{}

// MkdirAll implements FS. It syncs the parent, so that the directory is durable.
func (o OS) MkdirAll(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "create directory")
	}
	return o.SyncDir(filepath.Dir(dir))
}

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "list directory")
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(name)
	return data, eris.Wrap(err, "read file")
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "create file")
	}
	return f, nil
}

// OpenAppend implements FS.
func (OS) OpenAppend(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, eris.Wrap(err, "open file")
	}
	return f, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return eris.Wrap(os.Rename(from, to), "rename file") }

// Remove implements FS.
func (OS) Remove(name string) error { return eris.Wrap(os.Remove(name), "remove file") }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open directory")
	}
	defer func() { _ = d.Close() }()
	return eris.Wrap(d.Sync(), "sync directory")
}

// TemporarySuffix is the suffix of files that WriteFileAtomic has not completed.
const TemporarySuffix = ".tmp"

// WriteFileAtomic replaces the content of the named file. A crash leaves either the
// old or the new content; after a return without error the new one is durable. What
// it could write of a file that doesn't fit is removed, as it would keep the disk full.
func WriteFileAtomic(fs FS, name string, data []byte) error {
	if err := writeTemporary(fs, name+TemporarySuffix, data); err != nil {
		_ = fs.Remove(name + TemporarySuffix)
		return err
	}
	if err := fs.Rename(name+TemporarySuffix, name); err != nil {
		return err
	}
	return fs.SyncDir(filepath.Dir(name))
}

func writeTemporary(fs FS, name string, data []byte) error {
	file, err := fs.Create(name)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "write file")
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return eris.Wrap(err, "sync file")
	}
	return eris.Wrap(file.Close(), "close file")
}
