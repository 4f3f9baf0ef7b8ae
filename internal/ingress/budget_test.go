package ingress

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const megabyte = 1 << 20

// clients is a budget whose clients are played without connections.
type clients struct {
	*Budget
	g       *WithT
	now     time.Time
	evicted map[string]bool
}

func newClients(t *testing.T, memory, descriptors int64) *clients {
	c := &clients{Budget: NewBudget(Options{Memory: memory, Descriptors: descriptors}), g: NewWithT(t), now: time.Now(), evicted: map[string]bool{}}
	c.serves(Callers)
	return c
}

// connect returns a client of an address, or nil.
func (c *clients) connect(name, address string) *account {
	a := c.open(Callers, address, connectionBytes, func() { c.evicted[name] = true }, c.now)
	if a != nil {
		a.enter(phaseBody, c.now)
	}
	return a
}

func (c *clients) hold(a *account, bytes int64) bool { return a.resize(bytes, c.now) }

// Guards against clients that keep memory from others and send nothing.
func TestClientWithoutProgressYieldsFirst(t *testing.T) {
	c := newClients(t, 16*megabyte, 1000)
	silent, slow, busy := c.connect("silent", "a"), c.connect("slow", "a"), c.connect("busy", "a")
	for _, a := range []*account{silent, slow, busy} {
		c.g.Expect(c.hold(a, 3*megabyte)).To(BeTrue())
	}
	busy.enter(phaseBusy, c.now)
	c.now = c.now.Add(2 * DefaultStallTime)
	slow.received(progressBytes, c.now)
	next := c.connect("next", "a")
	c.g.Expect(c.hold(next, 4*megabyte)).To(BeTrue())
	c.g.Expect(c.evicted).To(Equal(map[string]bool{"silent": true}))
	c.g.Expect(c.hold(silent, connectionBytes)).To(BeFalse(), "it has ended")
	further := c.connect("further", "a")
	c.g.Expect(c.hold(further, 4*megabyte)).To(BeFalse(), "nobody else of the address yields")
	c.g.Expect(c.evicted).To(HaveLen(1), "none is evicted for a request that is refused")
	busy.close()
	c.g.Expect(c.hold(further, 3*megabyte)).To(BeTrue())
}

// Guards against large requests that leave no room for ordinary ones.
func TestOrdinaryRequestsHaveAReserve(t *testing.T) {
	c := newClients(t, 16*megabyte, 1000)
	for i := 0; ; i++ {
		a := c.connect(fmt.Sprint("large ", i), "a")
		a.enter(phaseBusy, c.now)
		if !c.hold(a, megabyte) {
			break
		}
	}
	for i := range 16 {
		ordinary := c.connect(fmt.Sprint("ordinary ", i), "a")
		c.g.Expect(ordinary).NotTo(BeNil())
		c.g.Expect(c.hold(ordinary, smallBytes)).To(BeTrue())
	}
	c.g.Expect(c.evicted).To(BeEmpty())
}

// Guards against one organisation or address that shuts out the others.
func TestCrowdOfOneGroupYieldsToAnother(t *testing.T) {
	c := newClients(t, 16*megabyte, 1000)
	for i := range 11 {
		a := c.connect(fmt.Sprint("crowd ", i), "address")
		a.identify("north")
		c.g.Expect(c.hold(a, megabyte)).To(BeTrue())
	}
	other := c.connect("other", "address")
	other.identify("south")
	c.g.Expect(c.hold(other, 4*megabyte)).To(BeTrue())
	c.g.Expect(len(c.evicted)).To(BeNumerically(">=", 3))
	c.g.Expect(c.evicted).NotTo(HaveKey("other"))
}

// Guards against an organisation whose running requests, which can't yield, keep the memory that others were refused.
func TestGroupsAreHeldToTheirSharesOnceOthersWereRefused(t *testing.T) {
	c := newClients(t, 16*megabyte, 1000)
	run := func(name, group string, bytes int64) (*account, bool) {
		a := c.connect(name, group)
		ok := c.hold(a, bytes)
		a.enter(phaseBusy, c.now)
		return a, ok
	}
	var north []*account
	for i := range 11 {
		a, ok := run(fmt.Sprint("north ", i), "north", megabyte)
		c.g.Expect(ok).To(BeTrue())
		north = append(north, a)
	}
	_, ok := run("south", "south", 4*megabyte)
	c.g.Expect(ok).To(BeFalse())
	north[0].close()
	north[1].close()
	_, ok = run("again", "north", 2*megabyte)
	c.g.Expect(ok).To(BeFalse(), "it has more than its share")
	north[2].close()
	north[3].close()
	_, ok = run("south again", "south", 4*megabyte)
	c.g.Expect(ok).To(BeTrue())
	c.now = c.now.Add(2 * contentionTime)
	north[4].close()
	_, ok = run("calm", "north", megabyte)
	c.g.Expect(ok).To(BeTrue(), "nobody was refused lately")
}

// Guards against connections that use up the descriptors, and against the eviction of those that are in use.
func TestIdleConnectionsYieldTheirDescriptors(t *testing.T) {
	c := newClients(t, 64*megabyte, 20)
	var all []*account
	for i := range 10 {
		a := c.connect(fmt.Sprint(i), "a")
		c.g.Expect(a).NotTo(BeNil())
		a.enter(phaseIdle, c.now)
		all = append(all, a)
	}
	c.g.Expect(c.connect("refused", "a")).To(BeNil(), "nobody has been idle for long")
	all[0].enter(phaseBusy, c.now)
	c.now = c.now.Add(time.Millisecond)
	for _, a := range all[2:] {
		a.enter(phaseIdle, c.now)
	}
	c.now = c.now.Add(DefaultStallTime)
	c.g.Expect(c.connect("next", "a")).NotTo(BeNil())
	c.g.Expect(c.evicted).To(Equal(map[string]bool{"1": true}), "the one that was idle for longest")
}

// Guards against one class of clients that takes what is guaranteed to another, and against answers that don't count.
func TestEachClassHasAGuaranteedPart(t *testing.T) {
	c := newClients(t, 32*megabyte, 1000)
	c.serves(Hosts)
	inUse := int64(0)
	c.CountAsUsed(func() int64 { return inUse })
	for range 1000 {
		if a := c.connect("", "a"); a != nil {
			a.enter(phaseBusy, c.now)
			c.hold(a, smallBytes)
		}
	}
	c.g.Expect(c.used[Callers]).To(BeNumerically("<=", 28*megabyte))
	c.g.Expect(c.used[Callers]).To(BeNumerically(">", 27*megabyte))
	host := c.open(Hosts, "b", hostConnectionBytes, func() {}, c.now)
	c.g.Expect(host.resize(3*megabyte, c.now)).To(BeTrue())
	inUse = 32 * megabyte
	c.g.Expect(c.memoryLimit(Callers)).To(BeEquivalentTo(8 * megabyte))
	c.g.Expect(c.memoryLimit(Hosts)).To(BeEquivalentTo(4 * megabyte))
}

// Guards against heads that count for less than they take, however they arrive.
func TestHeadIsMeteredHoweverItArrives(t *testing.T) {
	g := NewWithT(t)
	const body = "\r\n\r\nbody"
	for name, text := range map[string]string{
		"usual":           "GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n\r\n",
		"bare line feeds": "GET / HTTP/1.1\nHost: a\n\n",
		"empty lines":     "\r\n\n\r\nGET / HTTP/1.1\r\n\r\n",
		"odd returns":     "GET / HTTP/1.1\r\n\r \r\nA:\r\r\n\r\n",
	} {
		for _, size := range []int{1, 2, 3, 7, 1000} {
			var m headMeter
			read := 0
			for rest := text + body; rest != "" && !m.ended; rest = rest[min(size, len(rest)):] {
				read += m.feed([]byte(rest[:min(size, len(rest))]))
			}
			g.Expect(m.ended).To(BeTrue(), "%s, %d", name, size)
			g.Expect(read).To(Equal(len(text)), "%s, %d", name, size)
			g.Expect(m.lines).To(BeEquivalentTo(strings.Count(text, "\n")), "%s, %d", name, size)
		}
	}
}
