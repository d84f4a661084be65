package overlay

import (
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Encode returns the canonical bytes of cfg: equal configurations have equal
// bytes.
func Encode(cfg *Config) []byte {
	raw, err := codec.Marshal(cfg)
	if err != nil {
		panic(err) // a Config holds only types that always encode
	}
	return raw
}

// Decode reads the bytes that Encode made.
func Decode(raw []byte) (*Config, error) {
	cfg := &Config{}
	if err := codec.Unmarshal(raw, cfg); err != nil {
		return nil, errors.Wrap(err, "read configuration")
	}
	return cfg, nil
}
