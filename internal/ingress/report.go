package ingress

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// Reasons why a client is refused, as used in metrics and logs.
const (
	reasonConnections   = "connections"
	reasonMemory        = "memory"
	reasonHeaderBytes   = "header_bytes"
	reasonHeaderTimeout = "header_timeout"
)

// logInterval is the time between two lines for one reason.
const logInterval = time.Second

// report counts and logs the clients that were refused or evicted.
type report struct {
	scope tally.Scope

	mu    sync.Mutex
	lines map[string]*line
}

// line is the state of the log line for one reason.
type line struct {
	loggedAt time.Time
	// unlogged is the number of clients since the last line.
	unlogged int
}

func newReport(scope tally.Scope) *report { return &report{scope: scope, lines: map[string]*line{}} }

func (r *report) refused(c Class, reason string) {
	r.count("clients_refused", "client refused", c, "reason", reason)
}

func (r *report) evicted(c Class, p phase) {
	r.count("clients_evicted", "client made no progress or held more than its share, and yielded to others", c, "phase", p.String())
}

func (r *report) count(counter, message string, c Class, label, value string) {
	r.scope.Tagged(map[string]string{"class": c.String(), label: value}).Counter(counter).Inc(1)
	now := time.Now()
	r.mu.Lock()
	key := counter + "/" + c.String() + "/" + value
	l := r.lines[key]
	if l == nil {
		l = &line{}
		r.lines[key] = l
	}
	l.unlogged++
	clients := 0
	if now.Sub(l.loggedAt) >= logInterval {
		clients, l.unlogged, l.loggedAt = l.unlogged, 0, now
	}
	r.mu.Unlock()
	if clients > 0 {
		klog.InfoS(message, "class", c.String(), label, value, "clients", clients)
	}
}
