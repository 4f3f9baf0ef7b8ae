package controlnode

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/replication"
)

func voter(id uint64, silentFor time.Duration) memberState {
	return memberState{Peer: replication.Peer{ID: id}, silentFor: silentFor}
}

func undecided(id uint64, silentFor time.Duration) memberState {
	m := voter(id, silentFor)
	m.undecided = true
	return m
}

func learner(id uint64, readyFor, silentFor time.Duration) memberState {
	return memberState{Peer: replication.Peer{ID: id, Learner: true}, caughtUp: silentFor == 0, readyFor: readyFor, silentFor: silentFor}
}

func TestNextMemberChange(t *testing.T) {
	const long, short = replacementTimeout, promotionDelay - time.Millisecond
	five := []memberState{voter(1, 0), voter(2, 0), voter(3, 0), voter(4, 0)}
	for name, test := range map[string]struct {
		members []memberState
		change  memberChange
		id      uint64
	}{
		"all well":                             {append(five[:4:4], voter(5, 0)), noChange, 0},
		"a new replica":                        {append(five[:4:4], voter(5, 0), learner(6, long, 0)), promote, 6},
		"a new replica that has just come":     {append(five[:4:4], voter(5, 0), learner(6, short, 0)), noChange, 0},
		"a voter is silent for a moment":       {append(five[:4:4], voter(5, short), learner(6, long, 0)), noChange, 0},
		"a voter is replaced":                  {append(five[:4:4], voter(5, long), learner(6, long, 0)), remove, 5},
		"a silent voter without a replacement": {append(five[:4:4], voter(5, long)), noChange, 0},
		"a silent voter, for very long":        {append(five[:4:4], voter(5, removalTimeout)), remove, 5},
		"the sixth voter is silent":            {append(five[:4:4], voter(5, 0), voter(6, evenRemovalTimeout)), remove, 6},
		"the sixth voter restarts":             {append(five[:4:4], voter(5, 0), voter(6, long)), noChange, 0},
		"a sixth voter, none is silent":        {append(five[:4:4], voter(5, 0), voter(6, 0), learner(7, 0, 0)), promote, 7},
		"no failure to spare, a new replica":   {append(five[:3:3], voter(4, short), learner(5, 0, 0)), promote, 5},
		"no failure to spare, one is silent":   {append(five[:3:3], voter(4, long)), remove, 4},
		"a new leader has not heard from one":  {append(five[:4:4], undecided(5, removalTimeout), learner(6, long, 0)), noChange, 0},
		"no quorum without the silent ones":    {[]memberState{voter(1, 0), voter(2, 0), voter(3, long), voter(4, long)}, noChange, 0},
		"two of five are silent":               {append(five[:3:3], voter(4, long), voter(5, 2*long), learner(6, long, 0)), remove, 5},
		"one of three is replaced":             {append(five[:2:2], voter(3, long), learner(4, long, 0)), promote, 4},
		"one of three is silent":               {append(five[:2:2], voter(3, removalTimeout)), noChange, 0},
		"a learner is gone":                    {append(five[:4:4], voter(5, 0), learner(6, 0, removalTimeout)), remove, 6},
	} {
		change, m := nextMemberChange(test.members)
		g := NewWithT(t)
		g.Expect(change).To(Equal(test.change), name)
		if change != noChange {
			g.Expect(m.ID).To(Equal(test.id), name)
		}
	}
}

// spareFailures returns how many more active voters the group may lose.
func spareFailures(members []memberState) int {
	voters, active := 0, 0
	for _, m := range members {
		if !m.Learner {
			voters++
			if m.silentFor == 0 {
				active++
			}
		}
	}
	return active - (voters/2 + 1)
}

// Guards against changes after which the group survives fewer failures than before, and against
// groups that shrink under restarts or keep the votes of hosts that were replaced.
func TestMembershipChangesNeverWeakenTheGroup(t *testing.T) {
	const step = 250 * time.Millisecond
	for seed := range uint64(1000) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 3))
		size := []int{3, 5, 7}[seed%3]
		var members []memberState
		downUntil := map[uint64]time.Duration{}
		for id := range uint64(size) {
			members = append(members, voter(id+1, 0))
		}
		next := uint64(size + 1)
		const forGood = time.Hour
		for now := time.Duration(0); now < 3*time.Minute; now += step {
			votes := 0
			for _, m := range members {
				if !m.Learner && now >= downUntil[m.ID] {
					votes++
				}
			}
			disturbed := now < 2*time.Minute
			if disturbed && size-votes < (size-1)/2 && random.IntN(20) == 0 {
				m := members[random.IntN(len(members))]
				switch {
				case now < downUntil[m.ID]:
				case random.IntN(4) == 0:
					downUntil[m.ID] = now + forGood // another host comes in its place
					members = append(members, learner(next, 0, 0))
					next++
				default:
					downUntil[m.ID] = now + time.Duration(random.IntN(9000))*time.Millisecond
				}
			}
			for i := range members {
				m := &members[i]
				if now < downUntil[m.ID] {
					m.silentFor, m.readyFor = m.silentFor+step, 0
					continue
				}
				m.silentFor = 0
				if m.Learner {
					m.readyFor += step
				}
			}
			if spareFailures(members) < 0 {
				continue // no leader
			}
			before := spareFailures(members)
			for range 2 {
				change, m := nextMemberChange(members)
				i := slices.IndexFunc(members, func(other memberState) bool { return other.ID == m.ID })
				if change == noChange {
					break
				}
				if change == promote {
					members[i].Learner = false
					continue
				}
				members = slices.Delete(slices.Clone(members), i, i+1)
				if until := downUntil[m.ID]; until < forGood {
					// The host returns, finds that it was removed, and joins as a new replica.
					members = append(members, learner(next, 0, 0))
					downUntil[next] = until
					next++
				}
			}
			g.Expect(spareFailures(members)).To(BeNumerically(">=", before), "seed %d at %s", seed, now)
		}
		voters := 0
		for _, m := range members {
			if !m.Learner {
				voters++
				g.Expect(downUntil[m.ID]).To(BeNumerically("<", forGood), "seed %d: %d has a vote and is gone", seed, m.ID)
			}
		}
		g.Expect(voters).To(Equal(size), "seed %d", seed)
	}
}
