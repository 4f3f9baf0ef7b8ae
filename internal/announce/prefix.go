package announce

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size in bytes of the prompt blocks over which prefix hashes
// are computed.
const PrefixBlockBytes = 256

// PrefixHashes returns chained hashes of the model and the whole blocks of prompt: the
// i-th covers the first i+1 blocks. At most limit hashes are returned.
func PrefixHashes(model, prompt string, limit int) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, limit)
	hashes := make([]uint64, 0, n)
	last := xxhash.Sum64String(model)
	for i := range n {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], last)
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		last = digest.Sum64()
		hashes = append(hashes, last)
	}
	return hashes
}
