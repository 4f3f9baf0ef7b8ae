package fleetstate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// MaxDocumentBytes is the maximum size of a document before compression.
const MaxDocumentBytes = 8 << 20

// Compress compresses the content of a document.
func Compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress the document")
	}
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress the document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the document")
	}
	return out.Bytes(), nil
}

// Decompress reverses Compress. It fails if the result exceeds MaxDocumentBytes.
func Decompress(content []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), MaxDocumentBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the document")
	}
	if len(data) > MaxDocumentBytes {
		return nil, eris.New("the document exceeds the maximum size")
	}
	return data, nil
}
