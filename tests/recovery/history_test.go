package recovery_test

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// maxOutage is the longest time without an acknowledgement while the tolerance is kept.
const maxOutage = 10 * time.Second

// span is a period of time.
type span struct{ from, to time.Time }

// acknowledgement is a confirmed change.
type acknowledgement struct {
	version uint64
	at      time.Time
}

// history records what operators sent and were told, and checks what they read.
type history struct {
	mu         sync.Mutex
	sent       map[uint64]string
	acks       []acknowledgement
	reads      int
	violations []string
}

func newHistory() *history { return &history{sent: map[uint64]string{}} }

// recordSent records that the content is sent under version for the first time.
func (h *history) recordSent(version uint64, content string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[version] = content
}

func (h *history) recordAck(version uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acks = append(h.acks, acknowledgement{version, at})
}

// recordRead checks a version and its content that answered a read sent at sentAt. Version 0 means
// that there is none.
func (h *history) recordRead(host string, version uint64, content string, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads++
	if floor := h.newestBefore(sentAt.Add(-configTime)); version < floor {
		h.violate("a read of %s returned version %d, though %d was acknowledged %s before", host, version, floor, configTime)
	}
	sent, known := h.sent[version]
	switch {
	case version != 0 && !known:
		h.violate("a read of %s returned version %d, which was never sent", host, version)
	case sent != content:
		h.violate("a read of %s returned other content under version %d than was sent", host, version)
	}
}

// fail records a violation that is no read.
func (h *history) fail(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate("%s", text)
}

// violate records a violation. The caller holds h.mu.
func (h *history) violate(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) newestBefore(at time.Time) uint64 {
	newest := uint64(0)
	for _, a := range h.acks {
		if !a.at.After(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// newestAcknowledged returns the highest acknowledged version.
func (h *history) newestAcknowledged() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.newestBefore(time.Now())
}

// longestOutage returns the longest time without an acknowledgement between the first one and end, and
// when it began. Time in the excluded spans does not count.
func (h *history) longestOutage(end time.Time, excluded []span) (time.Duration, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var times []time.Time
	for _, a := range h.acks {
		if a.at.Before(end) {
			times = append(times, a.at)
		}
	}
	times = append(times, end)
	slices.SortFunc(times, time.Time.Compare)
	longest, since := time.Duration(0), times[0]
	for i := range times[1:] {
		outage := times[i+1].Sub(times[i])
		for _, e := range excluded {
			outage -= overlap(e, span{times[i], times[i+1]})
		}
		if outage > longest {
			longest, since = outage, times[i]
		}
	}
	return longest, since
}

// overlap returns for how long both spans last.
func overlap(a, b span) time.Duration {
	from, to := a.from, a.to
	if b.from.After(from) {
		from = b.from
	}
	if b.to.Before(to) {
		to = b.to
	}
	return max(to.Sub(from), 0)
}
