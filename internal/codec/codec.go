// Package codec encodes messages between processes, and log entries and snapshots
// on disk, as deterministic CBOR. Fields are keyed by number, and a decoder skips
// fields that it does not know.
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"storj.io/drpc"
)

// maxCollectionElements limits the number of elements in one decoded array or map.
const maxCollectionElements = 16 << 20

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxCollectionElements, MaxMapPairs: maxCollectionElements,
		// Marshal encodes any string, and texts of callers and upstreams may be in any message.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the deterministic encoding of v.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	return data, eris.Wrapf(err, "encode %T", v)
}

// Unmarshal decodes data into v, which must be a pointer.
func Unmarshal(data []byte, v any) error {
	return eris.Wrapf(decMode.Unmarshal(data, v), "decode %T", v)
}

// Encoding implements drpc.Encoding for the messages between hosts.
type Encoding struct{}

var _ drpc.Encoding = Encoding{}

// Marshal implements drpc.Encoding.
func (Encoding) Marshal(msg drpc.Message) ([]byte, error) { return Marshal(msg) }

// Unmarshal implements drpc.Encoding.
func (Encoding) Unmarshal(buf []byte, msg drpc.Message) error { return Unmarshal(buf, msg) }
