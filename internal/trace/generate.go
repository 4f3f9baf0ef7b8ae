package trace

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// burstPeriod and burstLength shape the arrivals: in the first burstLength of each
	// burstPeriod they come burstFactor times as often as in the rest.
	burstPeriod = 5 * time.Second
	burstLength = time.Second
	burstFactor = 2.0
	// resendPercent of the requests are sent again while they run.
	resendPercent = 3
	minResendMS   = 5
	maxResendMS   = 400
)

// Generate returns n arrivals of d at about rate requests a second. The same
// seed gives the same arrivals.
func Generate(d *Deployment, seed uint64, n int, rate float64) []Arrival {
	g := generator{d: d, random: rand.New(rand.NewPCG(seed, uint64(len(d.Name)))), rate: rate}
	all := make([]Arrival, n)
	for i := range all {
		all[i] = g.next(i)
	}
	return all
}

type generator struct {
	d      *Deployment
	random *rand.Rand
	rate   float64
	now    time.Duration
}

func (g *generator) next(i int) Arrival {
	g.now += g.gap()
	class := &g.d.Classes[g.weighted(classShares(g.d))]
	a := Arrival{
		AtMS:         g.now.Milliseconds(),
		Key:          fmt.Sprintf("%s-%d", g.d.Name, i),
		Organisation: g.d.Organisations[g.weighted(g.d.Shares)],
		Class:        class.Name,
	}
	if class.Chat {
		g.fillChat(&a, class)
	} else {
		g.fillCall(&a, class)
	}
	if g.random.IntN(100) < resendPercent {
		a.ResendMS = int64(g.between(span{minResendMS, maxResendMS}))
	}
	return a
}

// gap returns the time to the next arrival.
func (g *generator) gap() time.Duration {
	share := burstLength.Seconds() / burstPeriod.Seconds()
	rate := g.rate / (1 + share*(burstFactor-1))
	if g.now%burstPeriod < burstLength {
		rate *= burstFactor
	}
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) fillChat(a *Arrival, class *Class) {
	a.Service = g.d.Model
	a.TextBytes = g.between(class.TextBytes)
	a.MaxTokens = int64(g.between(class.MaxTokens))
	if class.Shared {
		a.PrefixBytes = g.d.PrefixBytes
	}
}

func (g *generator) fillCall(a *Arrival, class *Class) {
	chosen := class.Calls[g.random.IntN(len(class.Calls))]
	a.Service = g.d.Service
	a.Method = chosen.Method
	a.Path = strings.ReplaceAll(chosen.Path, "{organisation}", a.Organisation)
}

func (g *generator) between(s span) int {
	return s.low + g.random.IntN(s.high-s.low+1)
}

// weighted returns an index with a chance in proportion to its share.
func (g *generator) weighted(shares []int) int {
	sum := 0
	for _, s := range shares {
		sum += s
	}
	at := g.random.IntN(sum)
	for i, s := range shares {
		if at < s {
			return i
		}
		at -= s
	}
	return len(shares) - 1
}

func classShares(d *Deployment) []int {
	shares := make([]int, len(d.Classes))
	for i := range d.Classes {
		shares[i] = d.Classes[i].Share
	}
	return shares
}
