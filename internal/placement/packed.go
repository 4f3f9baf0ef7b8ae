package placement

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/rotisserie/eris"
)

// packedKVUnit is the unit in which packed loads state KVTokens.
const packedKVUnit = 1 << 10

// packedBacklogUnit is the unit in which packed sums state Backlog.
const packedBacklogUnit = 1 << 7

// errPackedLoads means that packed loads are truncated or damaged.
var errPackedLoads = eris.New("packed loads are invalid")

// PackLoads returns a compact form of loads by short id. It leaves out the backlogs, which are
// outdated when a message arrives, and rounds KVTokens to the nearest packedKVUnit.
func PackLoads(loads map[uint32]Load) []byte {
	return packLoads(loads, func(packed []byte, load Load) []byte {
		packed = binary.AppendUvarint(packed, uint64(max(load.InFlight, 0)))
		return binary.AppendUvarint(packed, units(load.KVTokens, packedKVUnit))
	})
}

// PackSums returns a compact form of loads by short id with the backlogs, rounded to the nearest packedBacklogUnit.
func PackSums(loads map[uint32]Load) []byte {
	return packLoads(loads, func(packed []byte, load Load) []byte {
		packed = binary.AppendUvarint(packed, uint64(max(load.InFlight, 0)))
		packed = binary.AppendUvarint(packed, units(load.KVTokens, packedKVUnit))
		return binary.AppendUvarint(packed, units(load.Backlog, packedBacklogUnit))
	})
}

func packLoads(loads map[uint32]Load, appendLoad func([]byte, Load) []byte) []byte {
	var packed []byte
	previous := uint32(0)
	for _, id := range slices.Sorted(maps.Keys(loads)) {
		packed = appendLoad(binary.AppendUvarint(packed, uint64(id-previous)), loads[id])
		previous = id
	}
	return packed
}

func units(tokens, unit int64) uint64 { return uint64(max(tokens+unit/2, 0) / unit) }

// UnpackLoads reverses PackLoads. An error means that packed is damaged.
func UnpackLoads(packed []byte) (map[uint32]Load, error) { return unpackLoads(packed, 2) }

// UnpackSums reverses PackSums. An error means that packed is damaged.
func UnpackSums(packed []byte) (map[uint32]Load, error) { return unpackLoads(packed, 3) }

// unpackLoads unpacks loads of which each has a number of values after its id.
func unpackLoads(packed []byte, values int) (map[uint32]Load, error) {
	loads := map[uint32]Load{}
	id := uint32(0)
	for len(packed) > 0 {
		var fields [4]uint64
		for i := range values + 1 {
			value, n := binary.Uvarint(packed)
			if n <= 0 {
				return nil, errPackedLoads
			}
			fields[i], packed = value, packed[n:]
		}
		id += uint32(fields[0])
		loads[id] = Load{InFlight: int(fields[1]), KVTokens: int64(fields[2]) * packedKVUnit, Backlog: int64(fields[3]) * packedBacklogUnit}
	}
	return loads, nil
}

// ByShortID returns loads by the short ids of the upstreams.
func ByShortID(loads map[string]Load) map[uint32]Load {
	short := make(map[uint32]Load, len(loads))
	for id, load := range loads {
		short[ShortID(id)] = load
	}
	return short
}

// AddLoads adds loads to sums.
func AddLoads(sums, loads map[uint32]Load) {
	for id, load := range loads {
		sums[id] = sums[id].Plus(load)
	}
}

// SubtractLoads subtracts loads from sums and removes what is left without a load.
func SubtractLoads(sums, loads map[uint32]Load) {
	for id, load := range loads {
		rest := sums[id].Minus(load)
		rest.InFlight, rest.KVTokens = max(rest.InFlight, 0), max(rest.KVTokens, 0)
		if sums[id] = rest; rest.InFlight == 0 && rest.KVTokens == 0 {
			delete(sums, id)
		}
	}
}
