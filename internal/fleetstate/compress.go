package fleetstate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// MaxDocumentBytes bounds a document before compression.
const MaxDocumentBytes = 8 << 20

// Compress returns the compressed form of a document.
func Compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	return out.Bytes(), nil
}

// Decompress returns a document as it was before Compress.
func Decompress(content []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a document")
	}
	if len(data) > MaxDocumentBytes {
		return nil, eris.New("the document is too large")
	}
	return data, nil
}
