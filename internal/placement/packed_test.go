package placement

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

func TestPackedLoadsKeepRequestsAndRoundTokens(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	loads := map[uint32]Load{}
	for range 1000 {
		loads[random.Uint32()] = Load{InFlight: random.IntN(64), Backlog: random.Int64N(9000), KVTokens: random.Int64N(500_000)}
	}
	packed := PackLoads(loads)
	got, err := UnpackLoads(packed)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(len(loads)))
	for id, load := range loads {
		g.Expect(got[id].InFlight).To(Equal(load.InFlight))
		g.Expect(got[id].KVTokens).To(BeNumerically("~", load.KVTokens, packedKVUnit/2))
	}
	_, err = UnpackLoads(packed[:len(packed)-1])
	g.Expect(err).To(MatchError(errPackedLoads))
	g.Expect(UnpackLoads(nil)).To(BeEmpty())
}

func TestLoadsOfAHostAreTakenOutOfTheSums(t *testing.T) {
	g := NewWithT(t)
	sums := map[uint32]Load{1: {InFlight: 3, KVTokens: 5000}, 2: {InFlight: 1, KVTokens: 1000}}
	SubtractLoads(sums, map[uint32]Load{1: {InFlight: 1, KVTokens: 1000}, 2: {InFlight: 1, KVTokens: 2000}})
	g.Expect(sums).To(Equal(map[uint32]Load{1: {InFlight: 2, KVTokens: 4000}}), "rounding leaves no negative load")
}

func FuzzUnpackLoads(f *testing.F) {
	f.Add(PackLoads(map[uint32]Load{7: {InFlight: 1, KVTokens: 4096}, 1 << 31: {InFlight: 300}}))
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, packed []byte) {
		loads, err := UnpackLoads(packed)
		if err == nil && len(loads) > len(packed) {
			t.Fatalf("%d loads of %d bytes", len(loads), len(packed))
		}
	})
}
