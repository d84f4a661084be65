// Package storagetest has a file system in memory for tests of crashes and
// disk errors.
//
// # Usage
//
//	d := storagetest.New(seed)
//	store, state, err := storage.Open(d, storage.Options{})
//	d.Crash() // unsynced bytes and names are lost, a part may survive
//	d.Fail = errors.New("no space left on device")
package storagetest

import (
	"bytes"
	"io"
	"io/fs"
	"math/rand/v2"
	"slices"

	"github.com/mulberrylink/mulberrylink/state/storage"
)

// Disk implements storage.FS.
type Disk struct {
	// Fail is returned by each write, sync and change of a name while it is set.
	Fail error
	// Space is the number of bytes that still fit; negative means no limit.
	Space int
	// Full is returned when the space is used up.
	Full error
	// Syncs counts the syncs of files.
	Syncs int

	rand   *rand.Rand
	names  map[string]*inode
	synced map[string]*inode
	epoch  int
}

type inode struct {
	data   []byte
	synced []byte
}

// New returns an empty disk.
func New(seed uint64) *Disk {
	return &Disk{
		Space:  -1,
		Full:   &fs.PathError{Op: "write", Path: "disk", Err: fs.ErrInvalid},
		rand:   rand.New(rand.NewPCG(seed, 1)),
		names:  map[string]*inode{},
		synced: map[string]*inode{},
	}
}

// Crash drops what was not synced. Of unsynced appended bytes a random prefix
// survives, as after a torn write. Open files become unusable.
func (d *Disk) Crash() {
	d.epoch++
	d.names = map[string]*inode{}
	for _, name := range sortedNames(d.synced) {
		n := d.synced[name]
		d.names[name] = n
		kept := slices.Clone(n.synced)
		if extra, ok := bytes.CutPrefix(n.data, n.synced); ok && len(extra) > 0 {
			kept = append(kept, extra[:d.rand.IntN(len(extra)+1)]...)
		}
		n.data, n.synced = kept, slices.Clone(kept)
	}
}

// Flip inverts one bit of the byte at offset.
func (d *Disk) Flip(name string, offset int) {
	n := d.names[name]
	n.data[offset] ^= 1
	if offset < len(n.synced) {
		n.synced[offset] ^= 1
	}
}

// Open implements storage.FS.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(bytes.NewReader(slices.Clone(n.data))), nil
}

// Create implements storage.FS.
func (d *Disk) Create(name string) (storage.File, error) {
	if d.Fail != nil {
		return nil, d.Fail
	}
	n := &inode{}
	d.names[name] = n
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// Append implements storage.FS.
func (d *Disk) Append(name string) (storage.File, error) {
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	return &file{disk: d, node: n, epoch: d.epoch}, nil
}

// Rename implements storage.FS.
func (d *Disk) Rename(from, to string) error {
	if d.Fail != nil {
		return d.Fail
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	return nil
}

// Remove implements storage.FS.
func (d *Disk) Remove(name string) error {
	if d.Fail != nil {
		return d.Fail
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	return nil
}

// SyncDir implements storage.FS.
func (d *Disk) SyncDir() error {
	if d.Fail != nil {
		return d.Fail
	}
	d.synced = map[string]*inode{}
	for name, n := range d.names {
		d.synced[name] = n
	}
	return nil
}

// List implements storage.FS.
func (d *Disk) List() ([]string, error) { return sortedNames(d.names), nil }

// Truncate implements storage.FS.
func (d *Disk) Truncate(name string, size int64) error {
	n := d.names[name]
	if n == nil {
		return fs.ErrNotExist
	}
	if d.Fail != nil {
		return d.Fail
	}
	n.data = n.data[:size]
	n.synced = slices.Clone(n.data)
	return nil
}

// Size implements storage.FS.
func (d *Disk) Size(name string) (int64, error) {
	n := d.names[name]
	if n == nil {
		return 0, fs.ErrNotExist
	}
	return int64(len(n.data)), nil
}

type file struct {
	disk  *Disk
	node  *inode
	epoch int
}

// Write implements storage.File.
func (f *file) Write(b []byte) (int, error) {
	if f.epoch != f.disk.epoch {
		return 0, fs.ErrClosed
	}
	if f.disk.Fail != nil {
		return 0, f.disk.Fail
	}
	n := len(b)
	if f.disk.Space >= 0 {
		n = min(n, f.disk.Space)
		f.disk.Space -= n
	}
	f.node.data = append(f.node.data, b[:n]...)
	if n < len(b) {
		return n, f.disk.Full
	}
	return n, nil
}

// Sync implements storage.File.
func (f *file) Sync() error {
	if f.epoch != f.disk.epoch {
		return fs.ErrClosed
	}
	if f.disk.Fail != nil {
		return f.disk.Fail
	}
	f.disk.Syncs++
	f.node.synced = slices.Clone(f.node.data)
	return nil
}

// Close implements storage.File.
func (f *file) Close() error { return nil }

func sortedNames(m map[string]*inode) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
