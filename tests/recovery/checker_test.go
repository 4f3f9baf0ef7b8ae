package recovery_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestHistoryFindsStaleAndChangedReads(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, c := range map[string]struct {
		version uint64
		content string
		sentAt  float64
		valid   bool
	}{
		"newest":                {5, "five", 3.1, true},
		"unacknowledged":        {9, "nine", 3.1, true},
		"older, within bound":   {2, "two", 2.9, true},
		"older, past the bound": {2, "two", 3.1, false},
		"none, within bound":    {0, "", 1.5, true},
		"none, past the bound":  {0, "", 3.1, false},
		"other content":         {5, "six", 3.1, false},
		"never sent":            {6, "six", 3.1, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory()
			h.recordSent(2, "two")
			h.recordSent(5, "five")
			h.recordSent(9, "nine")
			h.recordAck(5, at(1))
			h.recordAck(2, at(1.2))
			h.recordRead("host", c.version, c.content, at(c.sentAt))
			NewWithT(t).Expect(len(h.violations) == 0).To(Equal(c.valid), "%v", h.violations)
		})
	}
}

func TestHistoryMeasuresTheLongestOutage(t *testing.T) {
	g := NewWithT(t)
	start := time.Now().Add(-time.Minute)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	h := newHistory()
	for i, seconds := range []int{1, 2, 6, 7, 20} {
		h.recordAck(uint64(i+1), at(seconds))
	}
	outage, since := h.longestOutage(at(10), nil)
	g.Expect(outage).To(Equal(4 * time.Second))
	g.Expect(since).To(Equal(at(2)))
	outage, _ = h.longestOutage(at(19), nil)
	g.Expect(outage).To(Equal(12 * time.Second))
	outage, since = h.longestOutage(at(30), []span{{at(5), at(9)}, {at(12), at(18)}})
	g.Expect(outage).To(Equal(10 * time.Second))
	g.Expect(since).To(Equal(at(20)))
}

func TestLossesNeverOverlap(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var l losses
	l.begin(start)
	g.Expect(l.allowed()).To(BeZero(), "a host is down")
	l.end(start.Add(time.Second))
	g.Expect(l.allowed()).To(Equal(start.Add(time.Second + catchUpTime)))
	l.begin(start.Add(time.Second + catchUpTime))
	l.end(start.Add(6 * time.Second))
	l.begin(start.Add(7 * time.Second))
	l.end(start.Add(8 * time.Second))
	g.Expect(l.overlaps).To(Equal(1))
	g.Expect(l.allowed()).To(Equal(start.Add(8*time.Second + catchUpTime)))
}
