package control

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// chunkSize is the number of claims in one array of a snapshot. The decoder
// limits the length of an array, not the number of arrays.
const chunkSize = 4_096

// image is the whole state as a snapshot holds it.
type image struct {
	Now     int64          `cbor:"t"`
	Version uint64         `cbor:"v"`
	Raw     []byte         `cbor:"r"`
	Changes []ChangeRecord `cbor:"c"`
	Sources []source       `cbor:"s"`
	Claims  [][]record     `cbor:"k"`
}

// Snapshot returns the whole state. Equal states have equal bytes.
func (m *Machine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return mustEncode(image{
		Now:     m.now,
		Version: m.configs.current.Version,
		Raw:     m.configs.current.EncodedConfig,
		Changes: m.configs.changes,
		Sources: m.configs.files,
		Claims:  m.claims.chunks(),
	})
}

// Restore replaces the whole state by that of a snapshot. On an error the
// state is unchanged.
func (m *Machine) Restore(data []byte) error {
	var img image
	if err := codec.Unmarshal(data, &img); err != nil {
		return errors.Wrap(err, "read control snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	newer := img.Version > m.configs.current.Version
	m.now = img.Now
	m.configs = newConfigs()
	m.configs.current = CurrentConfig{Version: img.Version, EncodedConfig: img.Raw}
	m.configs.files = img.Sources
	for _, c := range img.Changes {
		m.configs.remember(c)
	}
	m.claims = newClaims(m.claims.limit, m.claims.maxBytes)
	m.claims.restore(img.Claims)
	if newer {
		m.notify()
	}
	return nil
}

func (c *claims) chunks() [][]record {
	all := make([]record, 0, len(c.records))
	for _, r := range c.records {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b record) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Collect(slices.Chunk(all, chunkSize))
}

func (c *claims) restore(chunks [][]record) {
	var held []*record
	for _, chunk := range chunks {
		for _, r := range chunk {
			c.put(&r)
			if r.State == claimFinished {
				held = append(held, &r)
			}
		}
	}
	slices.SortFunc(held, func(a, b *record) int { return cmp.Compare(a.Index, b.Index) })
	for _, r := range held {
		c.hold(c.records[r.ID])
	}
}
