package standby

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

func entryRecord(sequence uint64) Record {
	return Record{Entry: &controlapi.JournalEntry{Sequence: sequence, RequestID: "r", Budget: "b", Tokens: 5}}
}

func newJournalsWithTwoRecords(t *testing.T, g *WithT) *Journals {
	j, err := OpenJournals(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(j.Append("s", []Record{entryRecord(1)})).To(Succeed())
	g.Expect(j.Append("s", []Record{entryRecord(2)})).To(Succeed())
	g.Expect(j.Close()).To(Succeed())
	return j
}

func TestTornTailIsDroppedAndOverwritten(t *testing.T) {
	g := NewWithT(t)
	j := newJournalsWithTwoRecords(t, g)
	data, err := os.ReadFile(j.path("s"))
	g.Expect(err).NotTo(HaveOccurred())
	for cut := len(data)/2 + 1; cut < len(data); cut++ {
		g.Expect(os.WriteFile(j.path("s"), data[:cut], journalPerm)).To(Succeed())
		records, err := j.Read("s")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(records).To(HaveLen(1))
		g.Expect(j.Append("s", []Record{entryRecord(2)})).To(Succeed())
		records, err = j.Read("s")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(records).To(HaveLen(2))
		g.Expect(j.Close()).To(Succeed())
	}
}

func TestCorruptRecordBeforeTailIsAnError(t *testing.T) {
	g := NewWithT(t)
	j := newJournalsWithTwoRecords(t, g)
	data, err := os.ReadFile(j.path("s"))
	g.Expect(err).NotTo(HaveOccurred())
	data[frameHeaderBytes+2] ^= 0x40
	g.Expect(os.WriteFile(j.path("s"), data, journalPerm)).To(Succeed())
	_, err = j.Read("s")
	g.Expect(err).To(HaveOccurred())
}
