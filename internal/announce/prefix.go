package announce

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the prompt blocks that prefix hashes cover.
const PrefixBlockBytes = 256

// PrefixHashes returns one hash for each whole block of prompt; the i-th
// covers the first i+1 blocks. At most limit hashes are returned.
func PrefixHashes(model, prompt string, limit int) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, limit)
	hashes := make([]uint64, 0, n)
	last := xxhash.Sum64String(model)
	for i := range n {
		var chain [8]byte
		binary.LittleEndian.PutUint64(chain[:], last)
		d := xxhash.New()
		_, _ = d.Write(chain[:])
		_, _ = d.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		last = d.Sum64()
		hashes = append(hashes, last)
	}
	return hashes
}
