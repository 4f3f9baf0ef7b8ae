package request

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// newSmallTable returns a table with a limit of two records in each retention class.
func newSmallTable() *Table {
	t := NewTable()
	t.recordLimits = [retentionClassCount]int{2, 2, 2}
	return t
}

func openRecord(id string, repeatable, unkeyed bool) *Record {
	return New(&controlapi.BeginRequest{RequestID: id, Repeatable: repeatable, Unkeyed: unkeyed, Session: "s"})
}

// settleNew adds a record and settles it at nowMS.
func (t *Table) settleNew(r *Record, nowMS int64) {
	t.Add(r)
	r.Settle(0, nil)
	t.Close(r, nowMS)
}

func TestTableKeepsKeyedRecordsAtLimit(t *testing.T) {
	g := NewWithT(t)
	table := newSmallTable()
	table.settleNew(openRecord("a", true, false), 1)
	table.Add(openRecord("b", true, false))
	g.Expect(table.Full(openRecord("c", true, false))).To(BeTrue())
	g.Expect(table.Full(openRecord("c", false, false))).To(BeFalse())
	g.Expect(table.Full(openRecord("c", true, true))).To(BeFalse())
	table.Expire(1+RepeatableRetentionMS, nil)
	g.Expect(table.Get("a")).To(BeNil())
	g.Expect(table.Full(openRecord("c", true, false))).To(BeFalse())
}

func TestTableDropsOldestUnkeyedRecordAtLimit(t *testing.T) {
	g := NewWithT(t)
	table := newSmallTable()
	for i := range 3 {
		table.settleNew(openRecord(fmt.Sprint(i), true, true), 1)
	}
	g.Expect(table.Get("0")).To(BeNil())
	g.Expect(table.Get("1")).NotTo(BeNil())
	g.Expect(table.Len()).To(Equal(2))
}

func TestExpireKeepsReopenedRecord(t *testing.T) {
	g := NewWithT(t)
	table := newSmallTable()
	r := openRecord("a", true, false)
	table.Add(r)
	r.Release()
	table.Close(r, 1)
	again := table.Get("a")
	table.Reopen(again, func() { again.Restart(&controlapi.BeginRequest{Session: "s"}) })
	table.Expire(1+RepeatableRetentionMS, nil)
	g.Expect(table.Get("a").State).To(Equal(Open))
	again.Release()
	table.Close(again, 1+RepeatableRetentionMS)
	table.Expire(2*RepeatableRetentionMS, nil)
	g.Expect(table.Get("a").Attempt).To(Equal(uint32(2)))
	table.Expire(1+2*RepeatableRetentionMS, nil)
	g.Expect(table.Len()).To(BeZero())
}

func TestSettleOmitsLargeAnswer(t *testing.T) {
	g := NewWithT(t)
	r := openRecord("a", false, false)
	r.Settle(0, &controlapi.StoredAnswer{Body: make([]byte, MaxAnswerBytes+1)})
	g.Expect(r.Answer).To(BeNil())
}
