package codec

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

// Compress compresses content.
func Compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := w.Write(content); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// Decompress reverses Compress. It fails if the result exceeds limit bytes.
func Decompress(content []byte, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if int64(len(data)) > limit {
		return nil, eris.Errorf("the decompressed content exceeds %d bytes", limit)
	}
	return data, nil
}

// MarshalCompressed returns the compressed encoding of v.
func MarshalCompressed(v any) ([]byte, error) {
	data, err := Marshal(v)
	if err != nil {
		return nil, err
	}
	return Compress(data)
}

// UnmarshalCompressed decodes the result of MarshalCompressed into v, which must be a pointer.
// It fails if the encoding exceeds limit bytes before compression.
func UnmarshalCompressed(data []byte, limit int64, v any) error {
	encoded, err := Decompress(data, limit)
	if err != nil {
		return err
	}
	return Unmarshal(encoded, v)
}
