package hostsync

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a host that is cut off by itself, or with few others, and takes its table for the latest.
func TestTableIsConfirmedOnlyIfMostHostsKnowNoMore(t *testing.T) {
	const s = time.Second
	for name, test := range map[string]struct {
		own   time.Duration
		ages  []time.Duration
		asked int
		want  bool
	}{
		"the control group is away for all": {5 * s, []time.Duration{5 * s, 4 * s, 6 * s}, 3, true},
		"one of them is gone":               {5 * s, []time.Duration{5 * s}, 2, true},
		"this host was suspended":           {5 * s, []time.Duration{s / 5, s / 3, s / 4}, 3, false},
		"one other host is in contact":      {5 * s, []time.Duration{5 * s, s, 5 * s}, 3, false},
		"no host answers":                   {5 * s, nil, 3, false},
		"there is no other host":            {5 * s, nil, 0, false},
		"few answer, cut off with this one": {5 * s, []time.Duration{5 * s, 5 * s}, 8, false},
		"half and this one answer":          {5 * s, []time.Duration{5 * s, 5 * s, 5 * s, 5 * s}, 8, true},
		"this host has never been told":     {math.MaxInt64, []time.Duration{5 * s}, 1, false},
		"the beginning of an outage":        {1300 * time.Millisecond, []time.Duration{s, s / 5}, 2, true},
	} {
		if got := knowsNoLess(test.own, test.ages, test.asked); got != test.want {
			NewWithT(t).Expect(got).To(Equal(test.want), name)
		}
	}
}
