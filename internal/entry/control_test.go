package entry

import (
	"context"
	"sync"

	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// record is one request record of memoryControl.
type record struct {
	begin      controlapi.BeginRequest
	attempt    uint32
	state      string
	dispatched *controlapi.DispatchRequest
	earlier    *controlapi.DispatchRequest
	charged    int64
	answer     *controlapi.StoredAnswer
}

// memoryControl is a control group in memory: one budget, and the rules of
// request records as far as the traffic path depends on them.
type memoryControl struct {
	mu          sync.Mutex
	paidIn      int64
	records     map[string]*record
	dead        map[string]bool
	crashes     []controlapi.CrashReport
	suspects    map[string]int
	log         []string
	unreachable bool
	// loseAnswer commits the next command of the kind and loses its answer.
	loseAnswer string
	// onSettle, if set, is called before a Settle is committed.
	onSettle func()
}

func newMemoryControl(paidIn int64) *memoryControl {
	return &memoryControl{paidIn: paidIn, records: map[string]*record{}, dead: map[string]bool{}, suspects: map[string]int{}}
}

func (m *memoryControl) Execute(_ context.Context, cmd *controlapi.Command) (*controlapi.Result, error) {
	if cmd.Settle != nil && m.onSettle != nil {
		m.onSettle()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	unavailable := errkind.New(errkind.ControlUnavailable, "cut off")
	if m.unreachable {
		return nil, unavailable
	}
	name, result := m.apply(cmd)
	m.log = append(m.log, name)
	if m.loseAnswer == name {
		m.loseAnswer = ""
		return nil, unavailable
	}
	return result, nil
}

func (m *memoryControl) apply(cmd *controlapi.Command) (string, *controlapi.Result) {
	switch {
	case cmd.Begin != nil:
		return "begin", m.begin(cmd.Begin)
	case cmd.Dispatch != nil:
		return "dispatch", m.dispatch(cmd.Dispatch)
	case cmd.Settle != nil:
		return "settle", m.settle(cmd.Settle)
	case cmd.Release != nil:
		return "release", m.release(cmd.Release)
	default:
		m.crashes = append(m.crashes, *cmd.Crash)
		for _, hash := range cmd.Crash.BodyHashes {
			m.suspects[hash]++
		}
		return "crash", &controlapi.Result{}
	}
}

func refused(k errkind.Kind) *controlapi.Result {
	return &controlapi.Result{Err: errkind.New(k, "refused by control")}
}

func (m *memoryControl) begin(b *controlapi.BeginRequest) *controlapi.Result {
	r := m.records[b.RequestID]
	switch {
	case m.suspects[b.BodyHash] > 1:
		return refused(errkind.Quarantined)
	case r == nil || r.state == "released":
		return m.start(b, r)
	case r.begin.BodyHash != b.BodyHash:
		return refused(errkind.KeyReused)
	case r.state == "settled":
		return begun(&controlapi.BeginReply{Status: controlapi.BeginSettled, Attempt: r.attempt, Answer: r.answer, Charged: r.charged})
	case r.state == "unknown":
		return refused(errkind.OutcomeUnknown)
	case r.begin.Session == b.Session && r.begin.Try == b.Try:
		return begun(&controlapi.BeginReply{Status: controlapi.BeginStarted, Attempt: r.attempt})
	case !m.dead[r.begin.Session] && !b.Takeover:
		return begun(&controlapi.BeginReply{Status: controlapi.BeginInProgress, Owner: r.begin.Session})
	}
	r.attempt++
	if r.dispatched != nil {
		r.earlier = r.dispatched
	}
	r.dispatched = nil
	r.begin.Session, r.begin.Try = b.Session, b.Try
	return begun(&controlapi.BeginReply{
		Status: controlapi.BeginTakenOver, Attempt: r.attempt, MayHaveRun: true, Upstream: r.earlier.Upstream,
		UpstreamIncarnation: r.earlier.UpstreamIncarnation, Suspect: m.suspects[b.BodyHash] > 0,
	})
}

func begun(reply *controlapi.BeginReply) *controlapi.Result { return &controlapi.Result{Begin: reply} }

func (m *memoryControl) start(b *controlapi.BeginRequest, old *record) *controlapi.Result {
	var charged, reserved int64
	for _, r := range m.records {
		charged += r.charged
		if r.state == "open" {
			reserved += r.begin.Tokens
		}
	}
	if charged+b.Tokens > m.paidIn {
		return refused(errkind.BudgetExhausted)
	}
	if charged+reserved+b.Tokens > m.paidIn {
		return refused(errkind.BudgetReserved)
	}
	r := &record{begin: *b, attempt: 1, state: "open"}
	if old != nil {
		r.attempt = old.attempt + 1
	}
	r.dispatched = &controlapi.DispatchRequest{Upstream: b.Upstream, UpstreamIncarnation: b.UpstreamIncarnation}
	m.records[b.RequestID] = r
	return begun(&controlapi.BeginReply{Status: controlapi.BeginStarted, Attempt: r.attempt, Suspect: m.suspects[b.BodyHash] > 0})
}

// owned returns the open record if attempt is its present one.
func (m *memoryControl) owned(id string, attempt uint32) *record {
	r := m.records[id]
	if r == nil || r.state != "open" || r.attempt != attempt {
		return nil
	}
	return r
}

func (m *memoryControl) dispatch(d *controlapi.DispatchRequest) *controlapi.Result {
	r := m.owned(d.RequestID, d.Attempt)
	switch {
	case r == nil:
		return refused(errkind.StaleAttempt)
	case m.suspects[r.begin.BodyHash] > 1:
		return refused(errkind.Quarantined)
	case !r.begin.Repeatable && !d.EarlierNotRun:
		return refused(errkind.OutcomeUnknown)
	}
	r.dispatched = d
	return &controlapi.Result{}
}

func (m *memoryControl) settle(s *controlapi.SettleRequest) *controlapi.Result {
	r := m.owned(s.RequestID, s.Attempt)
	if r == nil {
		return refused(errkind.StaleAttempt)
	}
	r.state = "settled"
	if s.Unknown {
		r.state = "unknown"
	}
	r.charged = min(s.Tokens, r.begin.Tokens)
	if !r.begin.Repeatable {
		r.answer = s.Answer
	}
	return &controlapi.Result{Settled: r.charged}
}

func (m *memoryControl) release(s *controlapi.ReleaseRequest) *controlapi.Result {
	r := m.owned(s.RequestID, s.Attempt)
	if r == nil {
		return refused(errkind.StaleAttempt)
	}
	if s.MayHaveRun && !r.begin.Repeatable {
		return refused(errkind.InvalidRequest)
	}
	r.state = "released"
	return &controlapi.Result{}
}

func (m *memoryControl) Query(_ context.Context, q *controlapi.QueryRequest) (*controlapi.QueryReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable {
		return nil, errkind.New(errkind.ControlUnavailable, "cut off")
	}
	reply := &controlapi.QueryReply{}
	if r := m.records[q.Request]; r != nil {
		reply.Requests = append(reply.Requests, controlapi.RequestStatus{RequestID: q.Request, State: r.state})
	}
	return reply, nil
}

// only returns the single record.
func (m *memoryControl) only() record {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if len(m.records) == 1 {
			return *r
		}
	}
	panic("not one record")
}

// stateOf returns the state and charge of a record.
func (m *memoryControl) stateOf(id string) (string, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[id]
	if r == nil {
		return "", 0
	}
	return r.state, r.charged
}

func (m *memoryControl) count(name string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, entry := range m.log {
		if entry == name {
			n++
		}
	}
	return n
}
