package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// maxUpdateBytes is the maximum size of a decompressed update. A node has less than 200 MB, and
// decoding takes several times this size.
const maxUpdateBytes = 8 << 20

// compressUpdate encodes and compresses an update. The routes of a large document are similar to one
// another and compress well.
func compressUpdate(update *documentUpdate) ([]byte, error) {
	data, err := codec.Marshal(update)
	if err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress document")
	}
	return buf.Bytes(), nil
}

// decompressUpdate reverses compressUpdate.
func decompressUpdate(data []byte) (*documentUpdate, error) {
	r := flate.NewReader(bytes.NewReader(data))
	decompressed, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	var update documentUpdate
	return &update, codec.Unmarshal(decompressed, &update)
}
