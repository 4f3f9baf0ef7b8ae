package trace

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// In the first burstLength of each burstPeriod, the arrival rate is burstFactor times the
	// rate of the rest of the period.
	burstPeriod = 5 * time.Second
	burstLength = time.Second
	burstFactor = 2.0
	// resendPercent is the percentage of requests that are sent again while they run.
	resendPercent = 3
	minResendMS   = 5
	maxResendMS   = 400
)

// Generate returns n arrivals of a deployment at a mean rate of about meanRate requests per
// second. The same seed gives the same arrivals.
func Generate(deployment *Deployment, seed uint64, n int, meanRate float64) []Arrival {
	g := generator{deployment: deployment, random: rand.New(rand.NewPCG(seed, uint64(len(deployment.Name)))), meanRate: meanRate}
	all := make([]Arrival, n)
	for i := range all {
		all[i] = g.nextArrival(i)
	}
	return all
}

// generator generates the arrivals of one deployment in order of time.
type generator struct {
	deployment *Deployment
	random     *rand.Rand
	meanRate   float64
	elapsed    time.Duration
}

func (g *generator) nextArrival(i int) Arrival {
	g.elapsed += g.interarrivalTime()
	class := &g.deployment.Classes[g.pickWeighted(classShares(g.deployment))]
	a := Arrival{
		AtMS:         g.elapsed.Milliseconds(),
		Key:          fmt.Sprintf("%s-%d", g.deployment.Name, i),
		Organisation: g.deployment.Organisations[g.pickWeighted(g.deployment.OrganisationShares)],
		Class:        class.Name,
	}
	if class.Chat {
		g.fillChat(&a, class)
	} else {
		g.fillPlainCall(&a, class)
	}
	if g.random.IntN(100) < resendPercent {
		a.ResendMS = int64(g.pickUniform(intRange{minResendMS, maxResendMS}))
	}
	return a
}

// interarrivalTime returns the time to the next arrival, which is exponentially distributed.
func (g *generator) interarrivalTime() time.Duration {
	share := burstLength.Seconds() / burstPeriod.Seconds()
	rate := g.meanRate / (1 + share*(burstFactor-1))
	if g.elapsed%burstPeriod < burstLength {
		rate *= burstFactor
	}
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) fillChat(a *Arrival, class *Class) {
	a.Service = g.deployment.Model
	a.TextBytes = g.pickUniform(class.TextBytes)
	a.MaxTokens = int64(g.pickUniform(class.MaxTokens))
	if class.SharedPrefix {
		a.PrefixBytes = g.deployment.PrefixBytes
	}
}

func (g *generator) fillPlainCall(a *Arrival, class *Class) {
	chosen := class.Calls[g.random.IntN(len(class.Calls))]
	a.Service = g.deployment.Service
	a.Method = chosen.Method
	a.Path = strings.ReplaceAll(chosen.Path, "{organisation}", a.Organisation)
}

// pickUniform returns a uniformly distributed integer in s.
func (g *generator) pickUniform(s intRange) int {
	return s.low + g.random.IntN(s.high-s.low+1)
}

// pickWeighted returns an index with a probability proportional to its share.
func (g *generator) pickWeighted(shares []int) int {
	sum := 0
	for _, s := range shares {
		sum += s
	}
	rest := g.random.IntN(sum)
	for i, s := range shares {
		if rest < s {
			return i
		}
		rest -= s
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
