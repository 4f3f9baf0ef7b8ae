package controlnode

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/fake/disk"
)

func newContactsNode(files *disk.Disk) *Node {
	return New(Options{Address: "10.0.0.1:7040", Directory: "data", FS: files, Seeds: func() []string { return []string{"10.0.0.2:7040"} }})
}

// Guards against a host that forgets at a restart whom it knew besides its seeds.
func TestContactsOutliveTheProcess(t *testing.T) {
	g := NewWithT(t)
	files := disk.New()
	n := newContactsNode(files)
	n.hear("10.0.0.3:7040")
	files.SetFreeBytes(0)
	g.Expect(n.saveContacts()).NotTo(Succeed())
	files.SetFreeBytes(-1)
	g.Expect(n.saveContacts()).To(Succeed())
	files.Crash(nil)

	next := newContactsNode(files)
	next.loadContacts()
	g.Expect(next.knownControlHosts()).To(ConsistOf("10.0.0.2:7040", "10.0.0.3:7040"))
	next.forget("10.0.0.3:7040")
	g.Expect(next.saveContacts()).To(Succeed())
	last := newContactsNode(files)
	last.loadContacts()
	g.Expect(last.knownControlHosts()).To(ConsistOf("10.0.0.2:7040"))
}

// Guards against a damaged file of addresses that keeps a host from starting.
func TestDamagedContactsAreIgnored(t *testing.T) {
	g := NewWithT(t)
	files := disk.New()
	n := newContactsNode(files)
	n.hear("10.0.0.3:7040")
	g.Expect(n.saveContacts()).To(Succeed())
	files.ReplaceContent("data/"+contactsFile, func([]byte) []byte { return []byte("{") })
	next := newContactsNode(files)
	next.loadContacts()
	g.Expect(next.knownControlHosts()).To(ConsistOf("10.0.0.2:7040"))
}

// Guards against a list of control hosts that grows with each replacement.
func TestContactsAreBounded(t *testing.T) {
	g := NewWithT(t)
	c := contacts{heardAt: map[string]time.Time{}}
	start := time.Unix(0, 0)
	for i := range 2 * maxContacts {
		c.hear(fmt.Sprint("host-", i), start.Add(time.Duration(i)*time.Second))
	}
	g.Expect(c.byRecency()).To(HaveLen(maxContacts))
	g.Expect(c.byRecency()[0]).To(Equal(fmt.Sprint("host-", 2*maxContacts-1)))
	c.expire(start.Add((2*maxContacts - 3) * time.Second))
	g.Expect(c.byRecency()).To(HaveLen(3))
}

// Guards against hosts that keep the address of a dead one young by telling each other of it.
func TestContactsOfOthersDoNotRenewThemselves(t *testing.T) {
	g := NewWithT(t)
	n, now := newContactsNode(disk.New()), time.Now()
	n.contacts.hear("10.0.0.3:7040", now.Add(-time.Minute))
	list := n.contacts.list(nil, now)
	n.hearOf(list, now.Add(time.Second))
	n.hearOf([]Contact{{Address: "10.0.0.3:7040", Age: 2 * time.Minute}, {Address: n.options.Address}, {Address: "10.0.0.4:7040", Age: contactRetention}}, now)
	n.hear(n.options.Address)
	g.Expect(n.contacts.heardSince(now.Add(-50 * time.Second))).To(BeEmpty())
	g.Expect(n.contacts.byRecency()).To(ConsistOf("10.0.0.3:7040"))
}
