// Package storagetest provides an in-memory file system that simulates crashes, full disks and disk
// errors. A failed sync drops the bytes that it should have made durable: they can still be read, and
// a later sync does not write them.
//
// # Usage
//
//	d := storagetest.New(seed)
//	store, state, err := storage.Open(d, storage.Options{})
//	d.Crash() // of the writes that were not synced, each survives, is lost or is torn
//	d.Fail = errors.New("no space left on device")
package storagetest

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// ErrPowerLoss is the error of operations that a power loss has interrupted. Crash has to follow.
var ErrPowerLoss = errors.New("power loss")

// Disk implements storage.FS in memory.
type Disk struct {
	// Fail, if not nil, is the error of every write, sync and change of the directory.
	Fail error
	// Space is the number of bytes that can still be written; negative means no limit.
	Space int
	// Full is the error of a write that exceeds Space.
	Full error
	// Syncs is the number of file syncs so far.
	Syncs int

	failAfter int   // number of operations until failLater takes effect
	failLater error // set by FailAfter

	rand        *rand.Rand
	files       map[string]*inode // directory entries
	syncedFiles map[string]*inode // directory entries at the last SyncDir
	crashes     int               // number of crashes; a file opened before the last one is unusable
}

// inode is the content of one file, as written and as synced.
type inode struct {
	data   []byte
	synced []byte
	writes []int // sizes of the file after each write since the last sync
	// A failed sync has dropped the bytes from droppedFrom up to droppedTo.
	droppedFrom, droppedTo int
}

// drop drops the bytes that are not synced.
func (n *inode) drop() {
	if n.droppedFrom >= n.droppedTo {
		n.droppedFrom = len(n.synced)
	}
	n.droppedTo = len(n.data)
}

// sync makes the bytes durable that no failed sync has dropped.
func (n *inode) sync() {
	n.synced, n.writes = slices.Clone(n.data), nil
	for i := n.droppedFrom; i < n.droppedTo; i++ {
		n.synced[i] = 0
	}
}

// New returns an empty disk without a space limit. The seed determines what survives crashes.
func New(seed uint64) *Disk {
	return &Disk{
		Space:       -1,
		Full:        &fs.PathError{Op: "write", Path: "disk", Err: fs.ErrInvalid},
		rand:        rand.New(rand.NewPCG(seed, 1)),
		files:       map[string]*inode{},
		syncedFiles: map[string]*inode{},
	}
}

// FailAfter makes the disk fail with err from the operation on that follows n further writes, syncs
// and changes of the directory. A nil error ends that.
func (d *Disk) FailAfter(n int, err error) { d.failAfter, d.failLater = n, err }

// failure returns the error of the next operation, nil if it succeeds.
func (d *Disk) failure() error {
	if d.failLater != nil {
		if d.failAfter--; d.failAfter < 0 {
			d.Fail = d.failLater
		}
	}
	return d.Fail
}

// Crash simulates a power loss. Each change of the directory that was not synced survives or is lost,
// and each write to a file that was not synced survives, is lost or is torn, independent of the others.
// Lost bytes before others that survive are zero. Open files become unusable.
func (d *Disk) Crash() {
	d.crashes++
	for _, name := range sortedNames(d.files, d.syncedFiles) {
		if d.rand.IntN(2) == 0 {
			setEntry(d.files, name, d.syncedFiles[name])
		}
	}
	d.syncedFiles = maps.Clone(d.files)
	for _, name := range sortedNames(d.files) {
		n := d.files[name]
		survived := slices.Clone(n.synced)
		if bytes.HasPrefix(n.data, n.synced) && n.droppedFrom >= n.droppedTo {
			survived = d.surviving(n)
		}
		*n = inode{data: survived, synced: slices.Clone(survived)}
	}
}

// surviving returns the content of a file after a power loss.
func (d *Disk) surviving(n *inode) []byte {
	content := slices.Clone(n.synced)
	start := len(n.synced)
	for _, end := range n.writes {
		kept := 0
		switch d.rand.IntN(3) {
		case 0:
			kept = end - start
		case 1:
			kept = d.rand.IntN(end - start + 1)
		}
		if kept > 0 {
			content = append(content, make([]byte, start-len(content))...)
			content = append(content, n.data[start:start+kept]...)
		}
		start = end
	}
	return content
}

// Flip inverts the lowest bit of the byte at offset, also in the synced content.
func (d *Disk) Flip(name string, offset int) {
	n := d.files[name]
	n.data[offset] ^= 1
	if offset < len(n.synced) {
		n.synced[offset] ^= 1
	}
}

// Open implements storage.FS.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(n.data))), nil
}

// Create implements storage.FS.
func (d *Disk) Create(name string) (storage.File, error) {
	if err := d.failure(); err != nil {
		return nil, err
	}
	n := &inode{}
	d.files[name] = n
	return &file{disk: d, inode: n, crashes: d.crashes}, nil
}

// Append implements storage.FS.
func (d *Disk) Append(name string) (storage.File, error) {
	n := d.files[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, inode: n, crashes: d.crashes}, nil
}

// Rename implements storage.FS.
func (d *Disk) Rename(from, to string) error {
	if err := d.failure(); err != nil {
		return err
	}
	n := d.files[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.files, from)
	d.files[to] = n
	return nil
}

// Remove implements storage.FS.
func (d *Disk) Remove(name string) error {
	if err := d.failure(); err != nil {
		return err
	}
	if d.files[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.files, name)
	return nil
}

// SyncDir implements storage.FS.
func (d *Disk) SyncDir() error {
	if err := d.failure(); err != nil {
		return err
	}
	d.syncedFiles = maps.Clone(d.files)
	return nil
}

// List implements storage.FS.
func (d *Disk) List() ([]string, error) { return sortedNames(d.files), nil }

// Truncate implements storage.FS.
func (d *Disk) Truncate(name string, size int64) error {
	n := d.files[name]
	if n == nil {
		return fs.ErrNotExist
	}
	if err := d.failure(); err != nil {
		return err
	}
	n.data = n.data[:size]
	n.droppedTo = min(n.droppedTo, len(n.data))
	n.sync()
	return nil
}

// Size implements storage.FS.
func (d *Disk) Size(name string) (int64, error) {
	n := d.files[name]
	if n == nil {
		return 0, fs.ErrNotExist
	}
	return int64(len(n.data)), nil
}

// file implements storage.File. It fails after a crash of the disk.
type file struct {
	disk    *Disk
	inode   *inode
	crashes int
}

// Write implements storage.File.
func (f *file) Write(b []byte) (int, error) {
	if f.crashes != f.disk.crashes {
		return 0, fs.ErrClosed
	}
	if err := f.disk.failure(); err != nil {
		return 0, err
	}
	n := len(b)
	if f.disk.Space >= 0 {
		n = min(n, f.disk.Space)
		f.disk.Space -= n
	}
	f.inode.data = append(f.inode.data, b[:n]...)
	f.inode.writes = append(f.inode.writes, len(f.inode.data))
	if n < len(b) {
		return n, f.disk.Full
	}
	return n, nil
}

// Sync implements storage.File.
func (f *file) Sync() error {
	if f.crashes != f.disk.crashes {
		return fs.ErrClosed
	}
	if err := f.disk.failure(); err != nil {
		if !errors.Is(err, ErrPowerLoss) {
			f.inode.drop()
		}
		return err
	}
	f.disk.Syncs++
	f.inode.sync()
	return nil
}

// Close implements storage.File.
func (f *file) Close() error { return nil }

// setEntry sets or, without a file, removes an entry of a directory.
func setEntry(dir map[string]*inode, name string, n *inode) {
	if n == nil {
		delete(dir, name)
		return
	}
	dir[name] = n
}

func sortedNames(dirs ...map[string]*inode) []string {
	var names []string
	for _, dir := range dirs {
		names = slices.AppendSeq(names, maps.Keys(dir))
	}
	slices.Sort(names)
	return slices.Compact(names)
}
