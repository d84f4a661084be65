package controlhost

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/coordination/quorum"
	"github.com/mulberrylink/mulberrylink/state/storage"
)

// resetIdentity discards an identity that was removed from the group: it clears the data directory
// and opens a replica with a new identity, under which the host asks to join. After an error, for
// example of a full disk, it may be called again.
func (h *Host) resetIdentity(ctx context.Context) error {
	old := h.replica.Load()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := old.quorumHost.Stop(ctx); err != nil && !errors.Is(old.quorumHost.Status().Err, quorum.ErrStopped) {
		return err // its sync has not returned
	}
	old.links.Close()
	dir, err := storage.NewDir(h.cfg.Dir)
	if err != nil {
		return err
	}
	if err := errors.CombineErrors(storage.Clear(dir), dir.Close()); err != nil {
		return errors.Wrapf(err, "clear data directory %s", h.cfg.Dir)
	}
	return h.openReplica()
}
