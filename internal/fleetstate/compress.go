package fleetstate

import (
	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/codec"
)

// MaxDocumentBytes is the maximum size of a document before compression.
const MaxDocumentBytes = 8 << 20

// Compress compresses the content of a document.
func Compress(content []byte) ([]byte, error) {
	data, err := codec.Compress(content)
	return data, eris.Wrap(err, "document")
}

// Decompress reverses Compress. It fails if the result exceeds MaxDocumentBytes.
func Decompress(content []byte) ([]byte, error) {
	data, err := codec.Decompress(content, MaxDocumentBytes)
	return data, eris.Wrap(err, "document")
}
