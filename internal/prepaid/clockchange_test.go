package prepaid

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func (s *simulation) leaderClock() ClockReading {
	return ClockReading{Clock: s.leader, Time: int64(s.now + s.leaderBootOffset)}
}

// changeLeader makes another process lead whose wall clock is skewed.
func (s *simulation) changeLeader(skew time.Duration) {
	s.leader++
	s.controlClockSkew, s.leaderBootOffset = skew, time.Hour-100*skew
}

func TestOrganisationDoesNotOverspendAfterClocksWereSetBack(t *testing.T) {
	for name, c := range map[string]struct {
		delay  time.Duration
		clocks clocksAtStart
	}{
		"late report":     {2 * time.Second, clocksAtStart{rebooted: true, hostSetBack: 2 * time.Second}},
		"both clocks":     {0, clocksAtStart{rebooted: true, hostSetBack: 2 * time.Second, controlSetBack: 2 * time.Second}},
		"process restart": {0, clocksAtStart{hostSetBack: 2 * time.Second, controlSetBack: 2 * time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, opening, spent := endWhileCutOff(g, 4*time.Second, c.delay, c.clocks)
			b.OpenSession(opening)
			next := &host{g: g, name: opening.Host, allowance: NewAllowance(opening.Session), book: b, now: opening.BootTime}
			next.allowance.RegisterOrganisations([]string{"north"})
			for range 400 {
				next.sync()
				spent += next.spendAll("north")
				next.now += int64(250 * time.Millisecond)
			}
			g.Expect(spent).To(BeNumerically("<=", b.Accounts["north"].Prepaid))
		})
	}
}

// clockFaults are the faults around a loss of the power of all gateways.
type clockFaults struct {
	// setBack is the number of gateways whose wall clocks are set back, by up to maxSetBack.
	setBack int
	// controlSetBack sets the wall clock of the control host back too.
	controlSetBack bool
	// leaderLost makes another control host lead, which lost its power too.
	leaderLost bool
}

const maxSetBack = 4 * time.Second

type lateReport struct {
	host    *simHost
	report  Report
	arrival time.Duration
}

// losePowerWithClockFaults plays a fleet whose gateways are all cut off, with a report under way that arrives late, lose
// power and start with wrong clocks. Then they spend what is left.
func losePowerWithClockFaults(seed uint64, kind fleetKind, faults clockFaults) (s *simulation, overspend string) {
	s = newSimulation(seed, kind, disabledParts{})
	s.calm = true
	var late []lateReport
	play := func(d time.Duration) {
		for end := s.now + d; s.now < end && overspend == ""; overspend = s.overspent() {
			s.step()
			for len(late) > 0 && late[0].arrival <= s.now {
				late[0].report.Arrival = s.leaderClock()
				s.book.ApplyReport(late[0].host.name, &late[0].report, s.arrivalTime())
				late = late[1:]
			}
		}
	}
	play(time.Second + time.Duration(s.random.Int64N(int64(3*time.Second))))
	cutOff := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	delay := time.Duration(s.random.Int64N(int64(cutOff) + 1))
	for _, h := range s.hosts {
		report := h.allowance.Report(Instant{BootTime: h.bootTime(s.now), WallTime: h.wallTime(s.now)}, s.witnesses(h), false)
		late = append(late, lateReport{h, *report, s.now + delay})
		h.partitionedUntil = s.now + cutOff
	}
	play(cutOff)
	step := time.Duration(s.random.Int64N(int64(maxSetBack)))
	for i, h := range s.hosts {
		s.kill(h, time.Duration(s.random.Int64N(int64(2*time.Second))), true)
		if i < faults.setBack {
			h.wallOffset -= step
		}
	}
	skew := s.controlClockSkew
	if faults.controlSetBack {
		skew -= step
	}
	if s.controlClockSkew = skew; faults.leaderLost {
		s.changeLeader(skew)
	}
	play(40 * time.Second)
	return s, overspend
}

func TestNoOverspendWhenClocksAreSetBackDuringLossOfPower(t *testing.T) {
	for name, faults := range map[string]clockFaults{
		"all clocks":                    {setBack: largeFleet.hosts, controlSetBack: true},
		"minority, another leader":      {setBack: smallFleet.hosts / 2, controlSetBack: true, leaderLost: true},
		"no clocks":                     {},
		"control clock, another leader": {controlSetBack: true, leaderLost: true},
	} {
		for fleet, kind := range map[string]fleetKind{"small fleet": smallFleet, "large fleet": largeFleet} {
			t.Run(name+", "+fleet, func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(scheduleCount(t, 100)) {
					if _, overspend := losePowerWithClockFaults(seed, kind, faults); overspend != "" {
						t.Fatalf("seed %d: %s", seed, overspend)
					}
				}
			})
		}
	}
}

// rebootAll ends all processes at once and lets all machines boot, and those of the control group too if leaderLost. It
// returns the tokens written off after two reports of each next process, less those of requests in flight, and the
// demand as loseAllPower does.
func (l *fleetLoad) rebootAll(downtime time.Duration, leaderLost bool) (writtenOff, demand int64) {
	perSecond := float64(loadOrganisations * loadPerOrganisation * meanNeed)
	demand = int64(perSecond * (downtime + loadSyncInterval + holderBurstWindow).Seconds())
	l.now += downtime
	if leaderLost {
		l.leader++
	}
	bootedAt := l.now - 300*time.Millisecond
	for i, h := range l.hosts {
		for _, r := range h.ends {
			writtenOff -= r.reserved
		}
		h.session = uint64(i + 1)
		h.allowance = NewAllowance(h.session)
		l.book.OpenSession(SessionOpening{
			Host: h.address, Session: h.session, BootTime: int64(l.now - bootedAt), WallTime: int64(l.now), ArrivalTime: int64(l.now),
			Arrival: l.leaderClock(),
		})
	}
	for range 2 {
		for _, h := range l.hosts {
			at := Instant{BootTime: int64(l.now - bootedAt), WallTime: int64(l.now)}
			report := *h.allowance.Report(at, nil, false)
			report.Arrival = l.leaderClock()
			reply := l.book.ApplyReport(h.address, &report, int64(l.now))
			h.allowance.Acknowledge(&reply, at.BootTime)
		}
		l.now += loadSyncInterval
	}
	l.book.SettleUnmeasured()
	for _, account := range l.book.Accounts {
		writtenOff += account.WrittenOff
	}
	return writtenOff, demand
}

func TestRebootOfAllGatewaysWritesOffTheUsualDemand(t *testing.T) {
	for name, leaderLost := range map[string]bool{"same leader": false, "leader lost": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(3) {
				writtenOff, demand := newFleetLoad(seed, true, ampleBudget).playFor(7*time.Second).rebootAll(1600*time.Millisecond, leaderLost)
				t.Logf("seed %d: %d tokens written off, usual demand %d", seed, writtenOff, demand)
				g.Expect(writtenOff).To(BeNumerically("<=", demand), "seed %d", seed)
			}
		})
	}
}

// chargeAfterReboot returns what a host is charged that used 100 of 650 tokens, and at most 100 more each second after
// its last report. It starts again gap after that. edit changes the reports and the opening.
func chargeAfterReboot(gap time.Duration, edit func(reports []*Report, o *SessionOpening)) int64 {
	b := NewBook()
	b.SetPrepaid(map[string]int64{"north": 1000})
	at := int64(time.Hour)
	clock := func(t int64) ClockReading { return ClockReading{Clock: 1, Time: t} }
	b.OpenSession(SessionOpening{Host: "h", Session: 1, BootTime: at, WallTime: at, Arrival: clock(at)})
	var reports []*Report
	for seq := range uint64(3) {
		at += int64(time.Second)
		reports = append(reports, &Report{
			Session: 1, Seq: seq + 1, BootTime: at, WallTime: at, AckAge: int64(time.Second), Arrival: clock(at), Witnesses: []uint64{2},
			Uses: []Use{{Organisation: "north", Used: 100, Want: 500, Rate: 100}},
		})
	}
	start := at + int64(gap)
	opening := SessionOpening{Host: "h", Session: 9, BootTime: 1, WallTime: start, ArrivalTime: start, Arrival: clock(start)}
	edit(reports, &opening)
	for _, r := range reports {
		b.ApplyReport("h", r, r.WallTime)
	}
	return b.OpenSession(opening).Charged
}

func TestGapOfRebootedHostIsMeasuredByTheLeader(t *testing.T) {
	g := NewWithT(t)
	const gap, all = 1700 * time.Millisecond, 650
	charge := func(edit func([]*Report, *SessionOpening)) int64 { return chargeAfterReboot(gap, edit) }
	unchanged := charge(func([]*Report, *SessionOpening) {})
	g.Expect(unchanged).To(BeEquivalentTo(200))
	g.Expect(charge(func(_ []*Report, o *SessionOpening) { o.WallTime -= int64(time.Minute) })).To(Equal(unchanged), "wall clock set back")
	g.Expect(charge(func(reports []*Report, _ *SessionOpening) {
		reports[2].Arrival.Time += int64(gap)
	})).To(Equal(unchanged), "late report")
	g.Expect(charge(func(_ []*Report, o *SessionOpening) {
		o.Age = int64(time.Second)
		o.Arrival.Time += int64(time.Second)
	})).To(Equal(unchanged), "late opening")
	g.Expect(charge(func(reports []*Report, _ *SessionOpening) {
		reports[2].AckAge = 0
	})).To(BeEquivalentTo(300), "a host of an older build does not report when it was acknowledged")
	g.Expect(charge(func(reports []*Report, _ *SessionOpening) {
		reports[1].Arrival = ClockReading{}
	})).To(BeEquivalentTo(all), "a leader of an older build received the report")
	g.Expect(charge(func(_ []*Report, o *SessionOpening) { o.Arrival = ClockReading{} })).To(BeEquivalentTo(all), "a leader of an older build received the opening")
	g.Expect(charge(func(_ []*Report, o *SessionOpening) { o.Arrival.Clock = 2 })).To(BeEquivalentTo(all), "another leader")
}

// A boot-time clock that began anew may have advanced since the last report all the same.
func TestRebootSoonAfterBootIsNoRestart(t *testing.T) {
	g := NewWithT(t)
	charged := chargeAfterReboot(3*time.Second, func(reports []*Report, o *SessionOpening) {
		for i, r := range reports {
			r.BootTime, r.Arrival = int64(i)*int64(time.Second), ClockReading{}
		}
		o.BootTime = reports[2].BootTime + int64(800*time.Millisecond)
		o.WallTime = reports[2].WallTime + int64(800*time.Millisecond) // set back
	})
	g.Expect(charged).To(BeEquivalentTo(650))
}

func TestClockChangeIsMeasuredByHostsThatRanThroughIt(t *testing.T) {
	g := NewWithT(t)
	b := NewBook()
	b.recordClockChange(
		&ReportTimes{Arrived: ClockReading{Clock: 1, Time: 100}, BootTime: 90},
		&Session{Made: ClockReading{Clock: 2, Time: 1000}, BootTime: 140, WallTime: 0},
	)
	gap, known := b.between(ClockReading{Clock: 1, Time: 120}, ClockReading{Clock: 2, Time: 1010})
	g.Expect(known).To(BeTrue())
	g.Expect(gap).To(BeEquivalentTo(40))
	_, known = b.between(ClockReading{Clock: 2, Time: 1010}, ClockReading{Clock: 1, Time: 120})
	g.Expect(known).To(BeFalse())
}

func TestAllClocksSetBackDuringLossOfAllPowerCauseNoOverspend(t *testing.T) {
	for seed := range uint64(100) {
		if _, overspend := losePowerWithClockFaults(seed, smallFleet, clockFaults{setBack: smallFleet.hosts, controlSetBack: true, leaderLost: true}); overspend != "" {
			t.Fatalf("seed %d: %s", seed, overspend)
		}
	}
}
