// Package storage keeps the durable state of one member of a replicated log: a write-ahead log,
// the hard state (term, vote, identity) and snapshots. Every method that writes data syncs it before
// it returns. Data counts as durable only when the method has returned without an error.
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
// The log is a sequence of segment files log-SEQ. A segment is a sequence of frames, each of magic
// bytes, length, checksum and payload. One frame holds one batch of entries, so a crash during a
// write damages at most the last frame.
//
// After each sync the log writes a small sync marker frame, which is not synced itself. An invalid
// frame with a valid sync marker after it is therefore corruption. Without one it is a write that a
// power loss has torn or dropped, even if a later batch is valid: a marker and the batch after it are
// written before the same sync. Open truncates such writes at the end of the last segment and reports
// corruption as ErrDamaged. If the host loses power before the sync marker reaches the disk,
// corruption of the last batch cannot be distinguished from a torn write.
//
// A batch that starts at or below the last index replaces the entries from there on. The hard state
// and snapshots are replaced atomically: the store writes a temporary file, syncs it, renames it
// and syncs the directory.
//
// A Store must be used by one goroutine at a time. After a failed write, every later write returns
// the same error until Recover succeeds: a failed sync may have dropped dirty pages, and a retry of
// the sync alone would not show that they are lost. Recover cuts the log back to what was synced, and
// the caller writes the failed data again.
package storage
