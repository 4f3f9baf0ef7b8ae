package streamorigin_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
	"github.com/godwitbend/godwitbend/internal/streamorigin"
)

const journalDir = "data"

// journalHost is a control host whose process is killed and started again on one machine.
type journalHost struct {
	g       *WithT
	disk    *disk.Disk
	boot    uint64
	uptime  time.Duration
	table   *streamorigin.Table
	journal *streamorigin.Journal
	kill    func()
	now     time.Time
}

func newJournalHost(t *testing.T) *journalHost {
	h := &journalHost{g: NewWithT(t), disk: disk.New(), boot: 7, uptime: time.Minute, now: time.Now(), kill: func() {}}
	h.g.Expect(h.disk.MkdirAll(journalDir)).To(Succeed())
	t.Cleanup(func() { h.kill() })
	h.start()
	return h
}

// start starts a process and returns how many records it restores, or -1 if that failed.
func (h *journalHost) start() int {
	h.kill()
	uptime := h.uptime
	h.journal = streamorigin.NewJournal(streamorigin.JournalOptions{
		FS: h.disk, Directory: journalDir, Boot: h.boot, BootTime: func() time.Duration { return uptime }, Scope: tally.NoopScope,
	})
	h.table = streamorigin.NewTable()
	restored, err := h.journal.Restore(h.table, h.now)
	if err != nil {
		restored = -1
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	journal := h.journal
	go func() {
		defer close(done)
		journal.Run(ctx)
	}()
	h.kill = func() {
		cancel()
		<-done
	}
	return restored
}

// keep keeps a record, and returns when it is in the file.
func (h *journalHost) keep(callID, version string, lifetime time.Duration) {
	r := streamorigin.Record{Fingerprint: 1, CallID: callID, Origin: streamorigin.Origin{Service: "s", Version: version}, Lifetime: lifetime}
	h.g.Expect(h.table.Put(r, h.now)).To(BeTrue())
	h.journal.Add(r)
	h.g.Eventually(h.written, "5s", "1ms").Should(ContainSubstring(callID))
}

func (h *journalHost) written() string {
	data, _ := h.disk.ReadFile(filepath.Join(journalDir, "stream-origins.log"))
	return string(data)
}

// overwrite replaces the content of the file.
func (h *journalHost) overwrite(data []byte) {
	file, err := h.disk.Create(filepath.Join(journalDir, "stream-origins.log"))
	h.g.Expect(err).NotTo(HaveOccurred())
	_, err = file.Write(data)
	h.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against streams that can't be resumed because all hosts that knew their software version were killed.
func TestRecordsOutliveKillsOfTheirHost(t *testing.T) {
	h := newJournalHost(t)
	h.keep("call-a", "v1", 20*time.Second)
	for kills := range 4 {
		h.uptime, h.now = h.uptime+4*time.Second, h.now.Add(4*time.Second)
		h.g.Expect(h.start()).To(Equal(1 + kills))
		reply := h.table.Get(1, "call-a", h.now)
		h.g.Expect(reply.Known && reply.Restored && reply.Origin.Version == "v1").To(BeTrue(), "after %d kills", kills+1)
		h.keep(fmt.Sprint("later-", kills), "v1", time.Minute)
	}
	h.uptime, h.now = h.uptime+4*time.Second, h.now.Add(4*time.Second)
	h.g.Expect(h.start()).To(Equal(4), "the lifetime of the first record is over")
	h.g.Expect(h.table.Get(1, "call-a", h.now).Known).To(BeFalse())
}

// Guards against a record that goes on to be used though a later one, which made it uncertain, is lost.
func TestNoRecordIsRestoredFromBeforeALostOne(t *testing.T) {
	lose := map[string]func(h *journalHost){
		"another boot":   func(h *journalHost) { h.boot++ },
		"clock restarts": func(h *journalHost) { h.uptime = time.Second },
		"torn write": func(h *journalHost) {
			data := []byte(h.written())
			data[len(data)/4] ^= 1
			h.overwrite(data)
		},
		"disk full": func(h *journalHost) {
			h.disk.SetFreeBytes(0)
			r := streamorigin.Record{Fingerprint: 1, CallID: "call-a", Origin: streamorigin.Origin{Service: "s"}, Lifetime: time.Minute}
			h.journal.Add(r)
			h.g.Eventually(h.written, "5s", "1ms").Should(BeEmpty())
		},
	}
	for name, fault := range lose {
		t.Run(name, func(t *testing.T) {
			h := newJournalHost(t)
			h.keep("call-a", "v1", time.Minute)
			h.keep("call-b", "v1", time.Minute)
			fault(h)
			h.g.Expect(h.start()).To(BeNumerically("<=", 0))
			h.g.Expect(h.table.Get(1, "call-a", h.now).Known).To(BeFalse())
		})
	}
}

// Guards against a write cut off by the kill that costs the records before it.
func TestIncompleteLastWriteIsLeftOut(t *testing.T) {
	h := newJournalHost(t)
	h.keep("call-a", "v1", time.Minute)
	h.keep("call-b", "v1", time.Minute)
	h.kill()
	data := h.written()
	h.overwrite([]byte(data[:len(data)-3]))
	h.g.Expect(h.start()).To(Equal(1))
}

// Guards against two versions in one stream if a later stream of the same request began while the host was down.
func TestRestoredRecordsDecideOnlyForCallsThatAreNamed(t *testing.T) {
	h := newJournalHost(t)
	h.keep("call-a", "v1", time.Minute)
	h.g.Expect(h.start()).To(Equal(1))
	h.g.Expect(h.table.Get(1, "call-a", h.now).Known).To(BeTrue())
	h.g.Expect(h.table.Get(1, "", h.now).Known).To(BeFalse())
	h.keep("call-b", "v1", time.Minute)
	h.g.Expect(h.table.Get(1, "", h.now).Known).To(BeTrue())
	h.keep("call-c", "v2", time.Minute)
	h.g.Expect(h.table.Get(1, "", h.now).Ambiguous).To(BeTrue())
}

// Guards against a restored record that is used though another host knows that its version is uncertain.
func TestRestoredRecordWaitsForAllHosts(t *testing.T) {
	g := NewWithT(t)
	unknown, restored := streamorigin.Reply{}, found("v1")
	restored.Restored = true
	g.Expect(search("a", 4, unknown, restored).Verdict()).To(Equal(streamorigin.Undecided))
	g.Expect(search("a", 4, unknown, restored, found("v1")).Verdict()).To(Equal(streamorigin.Found))
	g.Expect(search("a", 4, unknown, restored, unknown, unknown).Verdict()).To(Equal(streamorigin.Found))
	g.Expect(search("a", 4, unknown, restored, unknown, found("")).Verdict()).To(Equal(streamorigin.Ambiguous))
	earlier := streamorigin.Reply{Origin: streamorigin.Origin{Service: "s", Version: "v2"}, Restored: true}
	g.Expect(search("", 4, found("v1"), unknown, unknown, earlier).Verdict()).To(Equal(streamorigin.Ambiguous))
	g.Expect(search("", 4, earlier, unknown, unknown, unknown).Verdict()).To(Equal(streamorigin.Unknown))
}
