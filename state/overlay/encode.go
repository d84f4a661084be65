package overlay

import (
	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// Encode returns the deterministic encoding of cfg: equal configurations have equal bytes.
func Encode(cfg *Config) []byte {
	raw, err := codec.Marshal(cfg)
	if err != nil {
		panic(err) // cannot happen: all types in Config can be encoded
	}
	return raw
}

// Decode decodes a configuration that Encode has encoded.
func Decode(raw []byte) (*Config, error) {
	cfg := &Config{}
	if err := codec.Unmarshal(raw, cfg); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return cfg, nil
}
