package prepaid

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The schedules below play hosts, their grants and the book in virtual time under
// random cuts, kills, losses of power, stepped clocks, lost and repeated messages,
// transfers and top-ups. What each organisation really spent is compared with what
// was paid in after every step.

const (
	scheduleHosts = 5
	scheduleStep  = 50 * time.Millisecond
)

// The last organisation is not watched, and falls silent for most of the time.
var scheduleOrganisations = []string{"north", "south", "rare"}

const (
	rareOrganisation = "rare"
	rarePeriod       = 50 * time.Second
	rareBusy         = 4 * time.Second
)

// mechanisms switches off parts of the protocol, to show that each is needed.
type mechanisms struct {
	noEnvelope  bool // hosts spend all that they hold at once
	noWitnesses bool // hosts open their reserves without asking
	noCeilings  bool // witnesses don't state what they have noted
	noGiven     bool // the giver forgets what it gave
}

type simRun struct {
	organisation string
	reserved     int64
	ends         time.Duration
}

type simHost struct {
	name      string
	allowance *Allowance
	witness   *Witness
	opening   Opening
	opened    bool
	alive     bool
	startsAt  time.Duration
	cutUntil  time.Duration
	// bootOffset and wallOffset make the clocks of the machine.
	bootOffset, wallOffset time.Duration
	runs                   []simRun
	statements             []Statement
	nextSync               time.Duration
}

type simulation struct {
	random   *rand.Rand
	disabled mechanisms
	now      time.Duration
	book     *Book
	hosts    []*simHost
	prepaid  map[string]int64
	spent    map[string]int64
	granted  int // requests that got their tokens
	cutServe int // of those, on hosts that were cut off
	// groupSkew is the clock of the control host that commits; it changes with the leader.
	groupSkew time.Duration
}

func newSimulation(seed uint64, disabled mechanisms) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), disabled: disabled, book: NewBook(),
		prepaid: map[string]int64{}, spent: map[string]int64{},
	}
	for _, name := range scheduleOrganisations {
		s.prepaid[name] = 200_000 + s.random.Int64N(400_000)
	}
	s.book.SetPrepaid(s.prepaid)
	for i := range scheduleHosts {
		h := &simHost{name: fmt.Sprintf("h%d", i), bootOffset: time.Hour}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	return s
}

func (h *simHost) boot(now time.Duration) int64 { return int64(now + h.bootOffset) }
func (h *simHost) wall(now time.Duration) int64 { return int64(now + h.wallOffset + 1000*time.Hour) }
func (s *simulation) stamp() int64              { return int64(s.now + s.groupSkew + 1000*time.Hour) }

func (s *simulation) start(h *simHost) {
	session := s.random.Uint64()
	h.allowance, h.witness = NewAllowance(session), NewWitness()
	h.allowance.Watch(scheduleOrganisations[:2])
	h.opening = Opening{Host: h.name, Session: session, Clock: h.boot(s.now), Wall: h.wall(s.now)}
	h.opened, h.alive, h.runs, h.statements = false, true, nil, nil
	h.nextSync = s.now
}

func (s *simulation) kill(h *simHost, down time.Duration, power bool) {
	h.alive = false
	// What runs in flight had delivered by now is spent; the reservation bounds it.
	for _, r := range h.runs {
		s.spent[r.organisation] += r.reserved
	}
	h.runs = nil
	h.startsAt = s.now + down
	if power {
		h.bootOffset = time.Duration(s.random.Int64N(int64(time.Hour)))
	}
}

func (s *simulation) step() {
	s.now += scheduleStep
	s.trouble()
	for _, h := range s.hosts {
		if !h.alive {
			if s.now >= h.startsAt {
				s.start(h)
			}
			continue
		}
		s.finishRuns(h)
		s.traffic(h)
		s.openReserve(h)
		if s.now >= h.nextSync && s.now >= h.cutUntil {
			s.sync(h)
			h.nextSync = s.now + 250*time.Millisecond
		}
	}
}

func (s *simulation) trouble() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch s.random.IntN(400) {
	case 0, 1:
		h.cutUntil = s.now + time.Duration(s.random.Int64N(int64(10*time.Second)))
	case 2:
		until := s.now + time.Duration(s.random.Int64N(int64(10*time.Second)))
		for _, other := range s.hosts {
			other.cutUntil = until
		}
	case 3, 4:
		if h.alive {
			s.kill(h, time.Duration(s.random.Int64N(int64(5*time.Second))), s.random.IntN(2) == 0)
		}
	case 5:
		power := s.random.IntN(2) == 0
		for _, other := range s.hosts {
			if other.alive {
				s.kill(other, time.Duration(s.random.Int64N(int64(3*time.Second))), power)
			}
		}
	case 6:
		name := scheduleOrganisations[s.random.IntN(len(scheduleOrganisations))]
		s.prepaid[name] += s.random.Int64N(50_000)
		s.book.SetPrepaid(s.prepaid)
	case 7:
		// One machine's time of day is stepped; the leader is another machine.
		h.wallOffset = time.Duration(s.random.Int64N(int64(4*time.Second))) - 2*time.Second
	case 8:
		s.groupSkew = time.Duration(s.random.Int64N(int64(100 * time.Millisecond)))
	}
}

func (s *simulation) traffic(h *simHost) {
	if s.random.IntN(3) > 0 {
		return
	}
	name := scheduleOrganisations[s.random.IntN(2)]
	if s.now%rarePeriod < rareBusy && s.random.IntN(2) == 0 {
		name = rareOrganisation
	}
	need := 200 + s.random.Int64N(4_000)
	d := s.reserve(h, name, need)
	if d.Verdict != Granted {
		s.fetch(h, name, need-max(d.Allowed, 0))
		d = s.reserve(h, name, need)
	}
	if d.Verdict != Granted {
		return
	}
	s.granted++
	if s.now < h.cutUntil {
		s.cutServe++
	}
	h.runs = append(h.runs, simRun{name, need, s.now + time.Duration(s.random.Int64N(int64(2*time.Second)))})
}

func (s *simulation) reserve(h *simHost, name string, need int64) Decision {
	if s.disabled.noEnvelope {
		if t := h.allowance.accounts[name]; t != nil {
			t.acked, t.pending = &envelope{base: math.MaxInt64 / 4}, nil
		}
	}
	return h.allowance.Reserve(name, need, h.boot(s.now))
}

func (s *simulation) fetch(h *simHost, name string, need int64) {
	for _, peer := range s.hosts {
		if peer == h || !peer.alive || need <= 0 {
			continue
		}
		if s.random.IntN(4) == 0 {
			peer.allowance.Lend(name, need, peer.boot(s.now))
		}
		tokens, free := peer.allowance.Give(name, h.opening.Session, need, need*2, peer.boot(s.now))
		if s.disabled.noGiven {
			if t := peer.allowance.accounts[name]; t != nil {
				t.given = nil
			}
		}
		if s.random.IntN(10) == 0 {
			continue // the answer is lost
		}
		h.allowance.NoteHolder(name, peer.opening.Session, free)
		if tokens > 0 {
			h.allowance.Receive(name, tokens)
		}
		need -= tokens
	}
}

func (s *simulation) finishRuns(h *simHost) {
	kept := h.runs[:0]
	for _, r := range h.runs {
		if s.now < r.ends {
			kept = append(kept, r)
			continue
		}
		used := r.reserved - s.random.Int64N(r.reserved/2+1)
		s.spent[r.organisation] += used
		h.allowance.Settle(r.organisation, r.reserved, used)
	}
	h.runs = kept
}

func (s *simulation) openReserve(h *simHost) {
	o := h.allowance.Due(h.boot(s.now))
	if o == nil {
		return
	}
	var noted []uint64
	for _, peer := range s.hosts {
		if peer == h || !peer.alive || s.random.IntN(4) == 0 {
			continue
		}
		if s.disabled.noWitnesses || peer.witness.Note(o.Session, o.Seq, o.Ceilings) {
			noted = append(noted, peer.opening.Session)
		}
	}
	h.allowance.Open(o, noted)
}

func (s *simulation) witnesses(h *simHost) []uint64 {
	var list []uint64
	for _, peer := range s.hosts {
		if peer != h && peer.alive {
			list = append(list, peer.opening.Session)
		}
	}
	return list
}

// sync plays one call to the leader. The call or its answer may be lost.
func (s *simulation) sync(h *simHost) {
	report := h.allowance.Report(Instant{Boot: h.boot(s.now), Wall: h.wall(s.now)}, s.witnesses(h), s.random.IntN(3) == 0)
	if s.random.IntN(12) == 0 {
		return
	}
	if !h.opened {
		opening := h.opening
		opening.Age, opening.Stamp = h.boot(s.now)-h.opening.Clock, s.stamp()
		s.book.Open(opening)
	}
	for _, statement := range h.statements {
		s.book.Hear(statement)
	}
	questions := s.book.Questions(h.opening.Session)
	reply := s.book.Apply(h.name, report, s.stamp())
	if s.random.IntN(12) == 0 {
		return
	}
	h.opened = true
	h.statements = nil
	for _, q := range questions {
		statement := Statement{Session: q.Session, Witness: h.opening.Session}
		if ceilings := h.witness.Answer(q); !s.disabled.noCeilings {
			statement.Ceilings = ceilings
		}
		h.statements = append(h.statements, statement)
	}
	h.allowance.Acknowledge(&reply, h.boot(s.now))
}

// overspent returns the first organisation that has spent more than was paid in.
func (s *simulation) overspent() string {
	for name, spent := range s.spent {
		if spent > s.prepaid[name] {
			return fmt.Sprintf("%s spent %d of %d at %v", name, spent, s.prepaid[name], s.now)
		}
	}
	return ""
}

func playSchedule(seed uint64, disabled mechanisms, length time.Duration) (s *simulation, fault string) {
	s = newSimulation(seed, disabled)
	for s.now < length {
		s.step()
		if fault := s.overspent(); fault != "" {
			return s, fault
		}
	}
	return s, ""
}

func schedules(t *testing.T, count int) int {
	if text := os.Getenv("SCHEDULES"); text != "" {
		n, err := strconv.Atoi(text)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return n
	}
	return count
}

func TestNoOrganisationOverspendsUnderRandomFailures(t *testing.T) {
	g := NewWithT(t)
	served, cut := 0, 0
	for seed := range uint64(schedules(t, 300)) {
		s, fault := playSchedule(seed, mechanisms{}, 2*time.Minute)
		g.Expect(fault).To(BeEmpty(), "seed %d", seed)
		served += s.granted
		cut += s.cutServe
	}
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(cut).To(BeNumerically(">", 0), "hosts that are cut off serve from what they hold")
}

// Without any one of these parts some schedule overspends.
func TestEachPartOfTheBudgetProtocolIsNeeded(t *testing.T) {
	for name, disabled := range map[string]mechanisms{
		"envelope": {noEnvelope: true}, "witnesses": {noWitnesses: true},
		"ceilings": {noCeilings: true}, "record of transfers": {noGiven: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if _, fault := playSchedule(seed, disabled, time.Minute); fault != "" {
					return
				}
			}
			t.Fatal("no schedule overspends")
		})
	}
}
