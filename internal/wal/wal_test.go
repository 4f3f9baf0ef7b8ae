package wal_test

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/replication"
	"github.com/godwitbend/godwitbend/internal/wal"
)

const dir = "/log"

func newBatch(term uint64, indexes ...uint64) wal.Batch {
	b := wal.Batch{HardState: replication.HardState{Term: term}}
	for _, i := range indexes {
		b.Entries = append(b.Entries, replication.Entry{Index: i, Term: term, Data: []byte{byte(i), byte(term), 7}})
	}
	return b
}

func openLog(g *WithT, d *disk.Disk, segmentBytes int64) (*wal.Log, wal.Recovered) {
	l, r, err := wal.Open(d, dir, segmentBytes)
	g.Expect(err).NotTo(HaveOccurred())
	return l, r
}

// newFilledDisk returns a disk with a log of the given number of batches, one entry
// each.
func newFilledDisk(g *WithT, batches uint64, segmentBytes int64) *disk.Disk {
	d := disk.New()
	l, _ := openLog(g, d, segmentBytes)
	for i := range batches {
		g.Expect(l.Append(newBatch(3, i+2))).To(Succeed())
	}
	g.Expect(l.Close()).To(Succeed())
	return d
}

func entryIndexes(r wal.Recovered) []uint64 {
	var all []uint64
	for _, e := range r.Entries {
		all = append(all, e.Index)
	}
	return all
}

func TestAppendSurvivesCrash(t *testing.T) {
	g := NewWithT(t)
	d := disk.New()
	l, r := openLog(g, d, 0)
	g.Expect(r.HasBatches).To(BeFalse())
	g.Expect(l.Append(newBatch(1, 2, 3, 4))).To(Succeed())
	g.Expect(l.Append(newBatch(2, 3))).To(Succeed())
	g.Expect(d.Syncs()).To(Equal(2))
	d.Crash(nil)
	_, r = openLog(g, d, 0)
	g.Expect(r.HardState.Term).To(Equal(uint64(2)))
	g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3}))
	g.Expect(r.Entries[1].Term).To(Equal(uint64(2)))
}

func TestResetDropsEarlierEntries(t *testing.T) {
	g := NewWithT(t)
	d := disk.New()
	l, _ := openLog(g, d, 0)
	g.Expect(l.Append(newBatch(1, 2, 3))).To(Succeed())
	reset := newBatch(2, 81)
	reset.Reset = true
	g.Expect(l.Append(reset)).To(Succeed())
	_, r := openLog(g, d, 0)
	g.Expect(entryIndexes(r)).To(Equal([]uint64{81}))
}

func TestCompactKeepsEntriesAfterSnapshot(t *testing.T) {
	g := NewWithT(t)
	d := newFilledDisk(g, 40, 256)
	l, _ := openLog(g, d, 256)
	before := len(d.Files(dir))
	g.Expect(l.Compact(30)).To(Succeed())
	g.Expect(len(d.Files(dir))).To(BeNumerically("<", before))
	d.Crash(nil)
	_, r := openLog(g, d, 256)
	g.Expect(r.HardState.Term).To(Equal(uint64(3)))
	g.Expect(r.Entries[0].Index).To(BeNumerically("<=", 31))
	g.Expect(r.Entries[len(r.Entries)-1].Index).To(Equal(uint64(41)))
}

// TestOpenTruncatesTornTail truncates the last batch at every byte, as a crash in
// the middle of a write may do.
func TestOpenTruncatesTornTail(t *testing.T) {
	g := NewWithT(t)
	whole := newFilledDisk(g, 5, 0)
	name := whole.Files(dir)[0]
	data, _ := whole.ReadFile(name)
	start := len(data) / 5 * 4
	for size := start; size < len(data); size++ {
		d := newFilledDisk(g, 5, 0)
		d.ReplaceContent(name, func(data []byte) []byte { return data[:size] })
		l, r := openLog(g, d, 0)
		g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3, 4, 5}), "truncated to %d bytes", size)
		g.Expect(r.TornBytes).To(Equal(size - start))
		g.Expect(l.Append(newBatch(3, 6))).To(Succeed())
		_, r = openLog(g, d, 0)
		g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3, 4, 5, 6}))
	}
}

// TestOpenTruncatesUnwrittenSector covers a crash that extended the file but wrote
// only some sectors of the last batch.
func TestOpenTruncatesUnwrittenSector(t *testing.T) {
	const sector = 512
	for hole := range 4 {
		g := NewWithT(t)
		d := newFilledDisk(g, 3, 0)
		l, _ := openLog(g, d, 0)
		name := d.Files(dir)[0]
		before, _ := d.ReadFile(name)
		big := newBatch(3, 5)
		big.Entries[0].Data = slices.Repeat([]byte{9}, 4*sector)
		g.Expect(l.Append(big)).To(Succeed())
		d.ReplaceContent(name, func(data []byte) []byte {
			from := max(len(before), hole*sector)
			clear(data[from : (hole+1)*sector])
			return data
		})
		_, r := openLog(g, d, 0)
		g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3, 4}), "unwritten sector %d", hole)
	}
}

// TestOpenDetectsBitFlips flips one bit in each byte of synced batches, including
// the last one.
func TestOpenDetectsBitFlips(t *testing.T) {
	g := NewWithT(t)
	name := newFilledDisk(g, 6, 0).Files(dir)[0]
	data, _ := newFilledDisk(g, 6, 0).ReadFile(name)
	random := rand.New(rand.NewPCG(1, 1))
	for at := range data {
		d := newFilledDisk(g, 6, 0)
		d.ReplaceContent(name, func(data []byte) []byte {
			data[at] ^= 1 << random.IntN(8)
			return data
		})
		_, _, err := wal.Open(d, dir, 0)
		g.Expect(errors.Is(err, wal.ErrCorrupt)).To(BeTrue(), "byte %d: %v", at, err)
	}
}

func TestOpenDetectsZeroedSectorBeforeLaterBatch(t *testing.T) {
	g := NewWithT(t)
	d := newFilledDisk(g, 60, 0)
	name := d.Files(dir)[0]
	d.ReplaceContent(name, func(data []byte) []byte {
		clear(data[512:1024])
		return data
	})
	_, _, err := wal.Open(d, dir, 0)
	g.Expect(errors.Is(err, wal.ErrCorrupt)).To(BeTrue())
}

func TestOpenDetectsMissingOrTruncatedSegment(t *testing.T) {
	g := NewWithT(t)
	for name, damage := range map[string]func(d *disk.Disk, file string){
		"removed": func(d *disk.Disk, file string) { _ = d.Remove(file) },
		"cut":     func(d *disk.Disk, file string) { d.ReplaceContent(file, func(b []byte) []byte { return b[:len(b)-1] }) },
	} {
		d := newFilledDisk(g, 40, 256)
		damage(d, d.Files(dir)[2])
		_, _, err := wal.Open(d, dir, 256)
		g.Expect(errors.Is(err, wal.ErrCorrupt)).To(BeTrue(), name)
	}
}

func TestWriteErrorsAreSticky(t *testing.T) {
	g := NewWithT(t)
	for name, fault := range map[string]func(d *disk.Disk, on bool){
		"full disk": func(d *disk.Disk, on bool) { d.SetFreeBytes(map[bool]int{true: 10, false: -1}[on]) },
		"sync": func(d *disk.Disk, on bool) {
			if on {
				d.FailSync(syscall.EIO)
				return
			}
			d.FailSync(nil)
		},
	} {
		d := newFilledDisk(g, 2, 0)
		l, _ := openLog(g, d, 0)
		fault(d, true)
		first := l.Append(newBatch(3, 4))
		g.Expect(first).To(HaveOccurred(), name)
		fault(d, false)
		g.Expect(l.Append(newBatch(3, 4))).To(Equal(first), name)
		g.Expect(l.Compact(4)).To(Equal(first), name)
		d.Crash(nil)
		_, r := openLog(g, d, 0)
		g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3}), name)
	}
}

// TestOpenMakesRecoveredBatchesDurable reopens the log after a failed sync: the batch
// is read back from the page cache, and must survive a subsequent power failure.
func TestOpenMakesRecoveredBatchesDurable(t *testing.T) {
	g := NewWithT(t)
	d := newFilledDisk(g, 2, 0)
	l, _ := openLog(g, d, 0)
	d.FailSync(syscall.EIO)
	g.Expect(l.Append(newBatch(3, 4))).NotTo(Succeed())
	d.FailSync(nil)
	l, r := openLog(g, d, 0)
	g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3, 4}))
	g.Expect(l.Append(newBatch(3, 5))).To(Succeed())
	d.Crash(nil)
	_, r = openLog(g, d, 0)
	g.Expect(entryIndexes(r)).To(Equal([]uint64{2, 3, 4, 5}))
}

func TestLogOnOSFileSystem(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "log")
	l, _, err := wal.Open(wal.OS{}, path, 256)
	g.Expect(err).NotTo(HaveOccurred())
	for i := range uint64(20) {
		g.Expect(l.Append(newBatch(1, i+2))).To(Succeed())
	}
	g.Expect(l.Compact(10)).To(Succeed())
	g.Expect(l.Close()).To(Succeed())
	_, r, err := wal.Open(wal.OS{}, path, 256)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Entries[len(r.Entries)-1].Index).To(Equal(uint64(21)))
}

// Guards against temporary files that keep a disk full.
func TestFileThatDoesNotFitLeavesNothing(t *testing.T) {
	g := NewWithT(t)
	d := disk.New()
	g.Expect(wal.WriteFileAtomic(d, dir+"/file", []byte("first"))).To(Succeed())
	for free := range 4 {
		d.SetFreeBytes(free)
		g.Expect(wal.WriteFileAtomic(d, dir+"/file", []byte("second"))).To(MatchError(syscall.ENOSPC))
		g.Expect(d.Files(dir)).To(ConsistOf(dir + "/file"))
	}
	content, err := d.ReadFile(dir + "/file")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(content).To(BeEquivalentTo("first"))
}
