// Package storage keeps the durable state of one member of a replicated log:
// a write-ahead log, hard state (term, vote, identity) and snapshots. Nothing
// counts as written before its method has returned without an error, because
// every method syncs what it wrote.
//
// # Usage
//
//	fs, err := storage.NewDir("/var/lib/mulberry")
//	store, state, err := storage.Open(fs, storage.Options{})
//	if !state.Exists {
//		err = store.Init(storage.Hard{ID: id})
//	}
//	err = store.Append(entries) // one write and one sync for the whole batch
//
// # Files
//
// The log is a sequence of segments log-SEQ. A segment is a sequence of
// frames: magic, length, checksum, payload. One frame holds one batch, so a
// crash during a write damages at most the last frame. After each sync a small
// mark frame follows without a sync of its own: a damaged frame with a valid
// frame behind it is therefore corruption and not a torn write. Open cuts a
// torn tail off the last segment and reports corruption as ErrDamaged. When
// the host loses power before the mark has reached the disk, corruption of
// exactly the last batch cannot be told from a torn write.
//
// A batch that starts at or below the last index replaces the suffix from
// there on. The hard state and snapshots are replaced by writing a temporary
// file, syncing it, renaming it and syncing the directory.
//
// A Store is used by one goroutine. After the first error each method returns
// that error: a failed sync may have dropped pages, so a retry proves nothing.
package storage
