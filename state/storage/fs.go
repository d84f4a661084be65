package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// File is a file that is open for sequential writes.
type File interface {
	io.Writer
	// Sync makes everything written so far durable.
	Sync() error
	Close() error
}

// FS is the directory that holds the files of one member. File names contain no path separator.
type FS interface {
	// Open opens a file for reading.
	Open(name string) (io.ReadCloser, error)
	// Create creates an empty file and replaces an existing one of that name.
	Create(name string) (File, error)
	// Append opens an existing file for writes at its end.
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals durable.
	SyncDir() error
	// List returns the names of the files.
	List() ([]string, error)
	// Truncate truncates the file to size bytes and syncs it.
	Truncate(name string, size int64) error
	Size(name string) (int64, error)
}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// lockName is the file that a process locks to have the directory to itself.
const lockName = "lock"

// Dir implements FS on a directory of the local file system.
type Dir struct {
	path string
	lock *os.File
}

// NewDir opens the directory at path and creates it if it does not exist. It locks the directory
// against other processes until Close, and fails if another process holds the lock.
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

// List implements FS. It leaves out the lock file and everything that is not a regular file.
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

// replaceFile replaces the content of the named file atomically: after a crash the file has either
// the old or the new content.
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
