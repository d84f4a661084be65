package main

import "github.com/mulberrylink/mulberrylink/state/overlay"

// decodeConfig reads the canonical bytes of a committed configuration.
func decodeConfig(version uint64, data []byte) (*overlay.Config, error) {
	cfg, err := overlay.Decode(data)
	if err != nil {
		return nil, err
	}
	cfg.Version = version
	return cfg, nil
}
