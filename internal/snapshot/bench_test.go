package snapshot_test

import (
	"fmt"
	"testing"

	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/snapshot"
	"github.com/godwitbend/godwitbend/internal/wal"
)

func BenchmarkSave(b *testing.B) {
	for _, megabytes := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("MiB=%d", megabytes), func(b *testing.B) {
			st, err := snapshot.Open(wal.OS{}, b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			data := make([]byte, megabytes<<20)
			b.SetBytes(int64(len(data)))
			for i := range b.N {
				s := replication.Snapshot{Meta: replication.SnapshotMeta{Index: uint64(i)}, Data: data}
				if err := st.Save(s); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
