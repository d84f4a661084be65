package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mulberrylink/mulberrylink/state/codec"
)

// maxUnpacked bounds the size of a document.
const maxUnpacked = 64 << 20

// pack compresses news: the routes of a large document are much alike.
func pack(n *news) ([]byte, error) {
	data, err := codec.Marshal(n)
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

func unpack(data []byte) (*news, error) {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "decompress document")
	}
	var n news
	return &n, codec.Unmarshal(plain, &n)
}
