package control

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// claimsPerChunk is the number of claims in one array of a snapshot. The decoder limits the
// length of an array but not the number of arrays, so the claims are split into several.
const claimsPerChunk = 4_096

// snapshot is the encoded form of the state.
type snapshot struct {
	Now           int64           `cbor:"t"`
	Version       uint64          `cbor:"v"`
	EncodedConfig []byte          `cbor:"r"`
	Changes       []ChangeRecord  `cbor:"c"`
	SourceFiles   []versionFiles  `cbor:"s"`
	Claims        [][]claimRecord `cbor:"k"`
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return mustEncode(snapshot{
		Now:           m.now,
		Version:       m.configs.current.Version,
		EncodedConfig: m.configs.current.EncodedConfig,
		Changes:       m.configs.changes,
		SourceFiles:   m.configs.sourceFiles,
		Claims:        m.claims.chunks(),
	})
}

// Restore replaces the state with that of a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode control snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := s.Version > m.configs.current.Version
	m.now = s.Now
	m.configs = newConfigStore()
	m.configs.current = CurrentConfig{Version: s.Version, EncodedConfig: s.EncodedConfig}
	m.configs.sourceFiles = s.SourceFiles
	for _, c := range s.Changes {
		m.configs.addRecord(c)
	}
	m.claims = newClaims(m.claims.maxRecords, m.claims.maxBytes)
	m.claims.restore(s.Claims)
	if newer {
		m.notify()
	}
	return nil
}

// chunks returns all claims, sorted by identifier, in slices of at most claimsPerChunk.
func (c *claims) chunks() [][]claimRecord {
	all := make([]claimRecord, 0, len(c.records))
	for _, r := range c.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b claimRecord) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Collect(slices.Chunk(all, claimsPerChunk))
}

func (c *claims) restore(chunks [][]claimRecord) {
	var finished []*claimRecord
	for _, chunk := range chunks {
		for _, r := range chunk {
			c.put(&r)
			if r.State == claimFinished {
				finished = append(finished, &r)
			}
		}
	}
	slices.SortFunc(finished, func(a, b *claimRecord) int { return cmp.Compare(a.FinishIndex, b.FinishIndex) })
	for _, r := range finished {
		c.retainResponse(c.records[r.ID])
	}
}
