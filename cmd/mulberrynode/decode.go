package main

import "github.com/mulberrylink/mulberrylink/state/overlay"

// decodeConfig decodes a committed configuration, which is encoded by overlay.Encode.
func decodeConfig(version uint64, data []byte) (*overlay.Config, error) {
	cfg, err := overlay.Decode(data)
	if err != nil {
		return nil, err
	}
	cfg.Version = version
	return cfg, nil
}
