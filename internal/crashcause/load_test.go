package crashcause

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	loadSeeds    = 10
	loadStep     = 10 * time.Millisecond
	loadDuration = 30 * time.Second
	loadSync     = 250 * time.Millisecond
	// loadContact is the stated time after the fifth crash in which all hosts must know its cause.
	loadContact  = 3 * time.Second
	loadRate     = 44 // requests a second
	loadHosts    = 9
	loadEngines  = 9
	loadDowntime = 4 * time.Second
	loadFirst    = uint64(1000)
	loadCrashing = uint64(7)
)

type loadRequest struct {
	Crash
	host             *loadHost
	crashes, retried bool
	beginsAt, endsAt time.Time
	begun            bool
}

type loadEngine struct {
	id        int
	startedMS int64
	downUntil time.Time
	running   []*loadRequest
}

type loadHost struct {
	sound    SoundLog
	pending  []Crash
	decision Decision
	syncAt   time.Time
}

// load plays a fleet whose hosts report to one tracker.
type load struct {
	rng         *rand.Rand
	tracker     Tracker
	hosts       []*loadHost
	engines     []*loadEngine
	crashTimes  []time.Time
	reached     []time.Time // requests with the crashing segment that reached an engine
	sound       []time.Time // sound requests that share their first segment with those
	soundDenied []time.Time
	queue       []*loadRequest // retries
	fingerprint uint64
}

func newLoad(seed uint64) *load {
	l := &load{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range loadHosts {
		l.hosts = append(l.hosts, &loadHost{syncAt: start.Add(time.Duration(i) * loadSync / loadHosts)})
	}
	for i := range loadEngines {
		l.engines = append(l.engines, &loadEngine{id: i})
	}
	return l
}

// segments returns the segments of a request of one of three routes: that of the route, of the
// organisation and of the session. Organisations differ in size.
func (l *load) segments() []uint64 {
	route := uint64(l.rng.IntN(3))
	organisation := uint64(min(l.rng.IntN(10), l.rng.IntN(10)))
	return []uint64{loadFirst + route, 2000 + 10*route + organisation, 3000 + 100*organisation + uint64(l.rng.IntN(20))}
}

func (l *load) arrivals(now time.Time, crashRate float64) (list []*loadRequest) {
	step := loadStep.Seconds()
	if l.rng.Float64() < loadRate*step {
		list = append(list, l.newRequest(l.segments(), false))
	}
	if now.After(start.Add(3*time.Second)) && l.rng.Float64() < crashRate*step {
		list = append(list, l.newRequest([]uint64{loadFirst, 2000 + uint64(l.rng.IntN(3)), loadCrashing}, true))
	}
	due := l.queue
	l.queue = nil
	return append(list, due...)
}

func (l *load) newRequest(segments []uint64, crashes bool) *loadRequest {
	l.fingerprint++
	return &loadRequest{Crash: Crash{Fingerprint: 1_000_000 + l.fingerprint, Segments: segments}, crashes: crashes}
}

func (h *loadHost) refuses(r *loadRequest) bool {
	for _, q := range h.decision.Quarantined {
		if q == r.Fingerprint {
			return true
		}
		for _, s := range r.Segments {
			if q == s {
				return true
			}
		}
	}
	return false
}

func (l *load) place(r *loadRequest, now time.Time) {
	r.host = l.hosts[l.rng.IntN(loadHosts)]
	shared := !r.crashes && r.Segments[0] == loadFirst
	if shared {
		l.sound = append(l.sound, now)
	}
	if r.host.refuses(r) {
		if shared {
			l.soundDenied = append(l.soundDenied, now)
		}
		return
	}
	e := l.engines[l.rng.IntN(loadEngines)]
	if now.Before(e.downUntil) {
		return
	}
	if r.crashes {
		l.reached = append(l.reached, now)
	}
	r.Upstream, r.StartedMS, r.SentAt, r.begun = fmt.Sprint(e.id), e.startedMS, now, false
	r.beginsAt = now.Add(time.Duration(50+l.rng.IntN(400)) * time.Millisecond)
	r.endsAt = r.beginsAt.Add(time.Duration(300+l.rng.IntN(1500)) * time.Millisecond)
	e.running = append(e.running, r)
}

func (l *load) run(e *loadEngine, now time.Time) {
	var left []*loadRequest
	for _, r := range e.running {
		switch {
		case !r.begun && !now.Before(r.beginsAt) && r.crashes:
			l.crash(e, now)
			return
		case !r.begun && !now.Before(r.beginsAt):
			r.begun = true
			for _, s := range r.Segments {
				r.host.sound.Add(s, now)
			}
		case r.begun && !now.Before(r.endsAt):
			r.host.sound.Add(r.Fingerprint, now)
			continue
		}
		left = append(left, r)
	}
	e.running = left
}

func (l *load) crash(e *loadEngine, now time.Time) {
	l.crashTimes = append(l.crashTimes, now)
	for _, r := range e.running {
		report := r.Crash
		report.CrashedAt = now
		if r.begun {
			report.Segments = nil
		}
		r.host.pending = append(r.host.pending, report)
		if !r.retried {
			r.retried = true
			l.queue = append(l.queue, r)
		}
	}
	e.running, e.downUntil, e.startedMS = nil, now.Add(loadDowntime), now.UnixMilli()
}

func (l *load) sync(h *loadHost, now time.Time) {
	for _, c := range h.pending {
		l.tracker.AddCrash(c)
	}
	h.pending = nil
	for _, s := range append(h.decision.Suspects, h.decision.Quarantined...) {
		if at := h.sound.Latest(s); !at.IsZero() {
			l.tracker.AddSound(s, at)
		}
	}
	h.decision, h.syncAt = l.tracker.Decide(now), h.syncAt.Add(loadSync)
}

// play runs the load with crashRate requests a second that crash engines. killAt lists the times
// at which all engines are killed.
func (l *load) play(crashRate float64, killAt ...time.Time) {
	for now := start; now.Before(start.Add(loadDuration)); now = now.Add(loadStep) {
		for _, r := range l.arrivals(now, crashRate) {
			l.place(r, now)
		}
		for _, e := range l.engines {
			l.run(e, now)
		}
		if len(killAt) > 0 && !now.Before(killAt[0]) {
			killAt = killAt[1:]
			for _, e := range l.engines {
				l.crash(e, now)
			}
		}
		for _, h := range l.hosts {
			if !now.Before(h.syncAt) {
				l.sync(h, now)
			}
		}
	}
}

func countSince(times []time.Time, t time.Time) (n int) {
	for _, at := range times {
		if at.After(t) {
			n++
		}
	}
	return n
}

func TestCrashingSegmentIsFoundUnderLoad(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 2, 4, 8} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			for seed := range uint64(loadSeeds) {
				g := NewWithT(t)
				l := newLoad(seed)
				l.play(rate)
				if len(l.crashTimes) < 5 {
					continue
				}
				fifth := l.crashTimes[4]
				g.Expect(countSince(l.reached, fifth.Add(loadContact))).To(BeNumerically("<=", 3), "seed %d, %d crashes", seed, len(l.crashTimes))
				sound := countSince(l.sound, fifth.Add(2*loadContact))
				g.Expect(countSince(l.soundDenied, fifth.Add(2*loadContact))).To(BeNumerically("<=", sound/2), "seed %d: sound requests refused, of %d", seed, sound)
			}
		})
	}
}

func TestKilledEnginesQuarantineNoSegmentUnderLoad(t *testing.T) {
	for seed := range uint64(loadSeeds) {
		g := NewWithT(t)
		l := newLoad(seed)
		l.play(0, at(5000), at(5300), at(12_000), at(12_100), at(12_200), at(20_000))
		g.Expect(l.crashTimes).NotTo(BeEmpty())
		g.Expect(l.soundDenied).To(BeEmpty(), "seed %d", seed)
	}
}
