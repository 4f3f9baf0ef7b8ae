package presence

import (
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of parts of a table that are compared by digests: the larger,
	// the less is sent for one difference, and the larger are the digests.
	digestBuckets = 64
	digestBytes   = 4
)

// Digest returns a hash of the upstream without its sequence.
func (u *Upstream) Digest() uint64 {
	buffer := make([]byte, 0, 128)
	for _, text := range []string{u.ID, u.Address, u.Service, u.Zone} {
		buffer = append(append(buffer, text...), 0)
	}
	for _, number := range []int64{int64(u.Slots), int64(u.State), u.StartedMS} {
		buffer = binary.AppendVarint(buffer, number)
	}
	buffer = append(buffer, u.Version...)
	return xxhash.Sum64(buffer)
}

// StateDigest returns a hash of the upstream without its sequence, and of its coldness.
func (r *Record) StateDigest() uint64 { return r.Digest() ^ r.Cold.digest() }

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// addDigest adds a record to the digest of its bucket, or removes it if sign is -1.
func (t *Table) addDigest(r *Record, sign int) {
	digest := r.StateDigest()
	if r.Unresponsive {
		digest = bits.RotateLeft64(digest, 1)
	}
	t.digests[bucketOf(r.ID)] += uint32(sign) * uint32(digest)
}

// Digests returns the digests of the parts of the table, for Differences on another host.
func (t *Table) Digests() []byte {
	data := make([]byte, 0, digestBuckets*digestBytes)
	for _, d := range t.digests {
		data = binary.LittleEndian.AppendUint32(data, d)
	}
	return data
}

// Differences returns the records in the parts of the table that differ from those of another
// table with the given digests, in no particular order. It returns all records if the digests are
// not valid.
func (t *Table) Differences(digests []byte) []*Record {
	if len(digests) != digestBuckets*digestBytes {
		return t.All()
	}
	var differs [digestBuckets]bool
	equal := true
	for i := range differs {
		differs[i] = binary.LittleEndian.Uint32(digests[i*digestBytes:]) != t.digests[i]
		equal = equal && !differs[i]
	}
	if equal {
		return nil
	}
	var records []*Record
	for _, r := range t.records {
		if differs[bucketOf(r.ID)] {
			records = append(records, r)
		}
	}
	return records
}
