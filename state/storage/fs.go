package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is an open file that is written sequentially.
type File interface {
	io.Writer
	// Sync returns when everything written so far is durable.
	Sync() error
	Close() error
}

// FS is the directory that holds the files of one member. Names have no
// directory part.
type FS interface {
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create makes an empty file, replacing one of the same name.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes created, renamed and removed names durable.
	SyncDir() error
	List() ([]string, error)
	// Truncate cuts the file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Size(name string) (int64, error)
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// lockName is the file whose lock keeps a second process out of a directory.
const lockName = "lock"

// Dir implements FS on a directory of the operating system.
type Dir struct {
	path string
	lock *os.File
}

// NewDir opens the directory at path and makes it when it does not exist. The
// directory stays locked against other processes until Close.
func NewDir(path string) (*Dir, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "create data directory")
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "open lock file")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, errors.Wrapf(err, "data directory %q is in use", path)
	}
	return &Dir{path: path, lock: lock}, nil
}

// Close releases the lock on the directory.
func (d *Dir) Close() error { return d.lock.Close() }

// Open implements FS.
func (d *Dir) Open(name string) (io.ReadCloser, error) { return os.Open(d.join(name)) }

// Create implements FS.
func (d *Dir) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (d *Dir) Append(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename implements FS.
func (d *Dir) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove implements FS.
func (d *Dir) Remove(name string) error { return os.Remove(d.join(name)) }

// SyncDir implements FS.
func (d *Dir) SyncDir() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.CombineErrors(f.Sync(), f.Close())
}

// List implements FS.
func (d *Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Truncate implements FS.
func (d *Dir) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.CombineErrors(err, f.Close())
}

// Size implements FS.
func (d *Dir) Size(name string) (int64, error) {
	info, err := os.Stat(d.join(name))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d *Dir) join(name string) string { return filepath.Join(d.path, name) }

func readFile(fs FS, name string) ([]byte, error) {
	f, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(f)
	return data, errors.CombineErrors(err, f.Close())
}

// replaceFile writes data under name so that after a crash either the old or
// the new content is there.
func replaceFile(fs FS, name string, data []byte) error {
	tmp := name + tempSuffix
	f, err := fs.Create(tmp)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.CombineErrors(err, f.Close()); err != nil {
		return err
	}
	if err := fs.Rename(tmp, name); err != nil {
		return err
	}
	return fs.SyncDir()
}
