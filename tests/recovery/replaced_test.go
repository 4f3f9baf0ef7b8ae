package recovery_test

import (
	"fmt"
	"testing"
	"time"
)

// Seeds of the random decisions in the cases below: hosts that start first, versions, pauses.
const caseSeeds = 3

func runCase(t *testing.T, s schedule) {
	skipIfShort(t)
	for seed := uint64(1); seed <= caseSeeds; seed++ {
		s.Seed, s.Zones = seed, 3
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { runSchedule(t, s) })
	}
}

// Soak seed 1: the vote of a replaced host is not passed on when the next disk is lost.
func TestLeaderOfThreeReplacedThenDiskLostInPowerLoss(t *testing.T) {
	runCase(t, schedule{
		Control: 3, Gateways: 2,
		Steps: []step{{Kind: replaceKilled, Target: targetLeader, Down: 60 * time.Millisecond}},
		End:   powerLoss{Gap: 10 * time.Millisecond, Target: targetOldest, Down: 2 * time.Second},
	})
}

func TestTwoLeadersOfFiveReplacedThenDiskLostInPowerLoss(t *testing.T) {
	runCase(t, schedule{
		Control: 5, Gateways: 2,
		Steps: []step{
			{Kind: replaceKilled, Target: targetLeader, Down: 60 * time.Millisecond},
			{Kind: replaceKilled, Target: targetLeader, Down: 60 * time.Millisecond},
		},
		End: powerLoss{Gap: 10 * time.Millisecond, Target: targetLeader, Down: 2 * time.Second},
	})
}
