package controlnode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a host that is gone and that hosts keep telling each other to be alive.
func TestAgeOfAContactGrowsWhileHostsTellEachOtherOfIt(t *testing.T) {
	for _, delay := range []time.Duration{5 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			const hosts, played = 9, time.Minute
			random := rand.New(rand.NewPCG(1, 1))
			began := time.Now()
			type message struct {
				to   int
				at   time.Duration
				list []Contact
			}
			nodes, phases := make([]contacts, hosts), make([]time.Duration, hosts)
			for i := range nodes {
				nodes[i] = contacts{heardAt: map[string]time.Time{"gone:1": began}}
				phases[i] = time.Duration(random.Int64N(int64(exchangeInterval)))
			}
			var onTheWay []message
			for now := time.Duration(0); now < played; now += time.Millisecond {
				at := began.Add(now)
				onTheWay = slices.DeleteFunc(onTheWay, func(m message) bool {
					if m.at > now {
						return false
					}
					for _, c := range m.list {
						nodes[m.to].learn(c.Address, at.Add(-c.Age))
					}
					return true
				})
				for i := range nodes {
					if (now-phases[i]).Truncate(time.Millisecond)%exchangeInterval >= time.Millisecond || now < phases[i] {
						continue
					}
					list := []Contact{{Address: "gone:1", Age: at.Sub(nodes[i].heardAt["gone:1"])}}
					for to := range nodes {
						if to != i {
							onTheWay = append(onTheWay, message{to, now + delay, list})
						}
					}
				}
			}
			age := began.Add(played).Sub(nodes[0].heardAt["gone:1"])
			NewWithT(t).Expect(age).To(BeNumerically(">=", played-2*exchangeInterval), fmt.Sprint("age after ", played))
		})
	}
}
