package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/godwitbend/godwitbend/internal/admission"
	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/crashcause"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/registry"
	"github.com/godwitbend/godwitbend/internal/routing"
)

// seededRandom is a seeded random source that is safe for concurrent use.
type seededRandom struct {
	mu     sync.Mutex
	source *rand.Rand
}

// IntN implements routing.Random.
func (r *seededRandom) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source.IntN(n)
}

// simulation is one host with an in-memory control group and fake upstreams, in virtual time.
type simulation struct {
	*GomegaWithT
	t       *testing.T
	net     *network
	control *localControl
	// traits is the leader's tracker of what requests that crash upstreams have in common.
	traitsMu sync.Mutex
	traits   crashcause.Tracker
	registry *registry.Registry
	metrics  tally.TestScope
	options  Options
	handler  *Handler
	// killHost holds a function per host address that terminates the host abruptly,
	// as a power failure does.
	killHost map[string]func()
	view     *config.View
	// session is the session of the first host.
	session     string
	draining    bool
	cleanups    []func()
	leaseLapsed bool
}

const callerKey = "the caller's key"

// inSimulation runs a test with one host in virtual time. The budget of its caller is
// topped up by budgetTokens.
func inSimulation(t *testing.T, budgetTokens int64, test func(s *simulation)) {
	t.Helper()
	inSeededSimulation(t, budgetTokens, 1, test)
}

// inSeededSimulation is inSimulation with a seed for the host's random source.
func inSeededSimulation(t *testing.T, budgetTokens int64, seed uint64, test func(s *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, budgetTokens, seed)
		defer func() {
			time.Sleep(2 * recordTimeout)
			for _, f := range s.cleanups {
				f()
			}
			s.net.close()
			synctest.Wait()
		}()
		s.Expect(s.view.Faults()).To(BeEmpty())
		test(s)
	})
}

func newSimulation(t *testing.T, budgetTokens int64, seed uint64) *simulation {
	s := &simulation{
		GomegaWithT: NewWithT(t), t: t, net: newNetwork(), control: newLocalControl(),
		session: "session-1", killHost: map[string]func(){}, registry: registry.New(time.Hour), metrics: tally.NewTestScope("", nil),
	}
	s.view = config.NewView(records(), 1)
	s.options = Options{
		Control: s.control, Session: func() string { return "session-1" }, LeaseValid: func() bool { return !s.leaseLapsed },
		Draining: func() bool { return s.draining }, View: func() *config.View { return s.view },
		Registry: s.registry, Admission: admission.AllowAll{}, Router: routing.New(routing.Settings{UpstreamTimeout: time.Hour}),
		Metrics: s.metrics, Random: &seededRandom{source: rand.New(rand.NewPCG(seed, 0))}, Log: slog.New(slog.DiscardHandler),
	}
	s.configure()
	s.topUp(budgetTokens)
	s.handler = s.addHost("10.0.0.1:80", s.session)
	return s
}

// addHost starts a host with a session of its own.
func (s *simulation) addHost(address, session string) *Handler {
	s.execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{
		Session: session, Host: session, Zone: "a", Address: address, SchemaMin: config.MinSchema, SchemaMax: config.MaxSchema,
	}})
	o := s.options
	o.Session = func() string { return session }
	if session == s.session {
		o.Session = func() string { return s.session }
	}
	control := &hostControl{localControl: s.control}
	o.Traits = crashcause.NewHost()
	s.exchangeTraits(o.Traits)
	o.Control, o.HTTPClient = control, s.net.newKillableClient(address, &control.terminated)
	h := New(o)
	s.net.serve(address, h)
	s.killHost[address] = func() {
		control.terminated.Store(true)
		s.net.kill(address)
	}
	return h
}

// exchangeTraits tells the leader's tracker what a host knows of crashes, as its heartbeats do.
func (s *simulation) exchangeTraits(host *crashcause.Host) {
	stop := make(chan struct{})
	s.cleanups = append(s.cleanups, func() { close(stop) })
	go func() {
		heartbeats := time.NewTicker(500 * time.Millisecond)
		defer heartbeats.Stop()
		for {
			select {
			case <-stop:
				return
			case <-heartbeats.C:
			}
			now, report := time.Now(), host.Report(time.Now())
			s.traitsMu.Lock()
			s.traits.Apply(&report, now)
			decision := s.traits.Decide(now)
			s.traitsMu.Unlock()
			host.Acknowledge()
			host.Apply(1, decision, now)
		}
	}()
}

// execute commits a command and fails the test on an error.
func (s *simulation) execute(cmd *controlapi.Command) {
	result, err := s.control.Execute(context.Background(), cmd)
	s.Expect(err).NotTo(HaveOccurred())
	if result.Err != nil {
		s.t.Fatal(result.Err)
	}
}

// configure writes the records. The session that it opens first raises the schema
// version to config.MaxSchema.
func (s *simulation) configure() {
	s.execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{
		Session: "setup", Host: "setup", SchemaMin: config.MaxSchema, SchemaMax: config.MaxSchema,
	}})
	writes := make([]controlapi.ConfigWrite, 0, len(records()))
	for _, r := range records() {
		r.Revision = 0
		writes = append(writes, controlapi.ConfigWrite{Record: r})
	}
	s.execute(&controlapi.Command{Configure: &controlapi.ConfigureRequest{OperationID: "setup", Writes: writes}})
}

func (s *simulation) topUp(tokens int64) {
	if tokens > 0 {
		s.execute(&controlapi.Command{TopUp: &controlapi.TopUpRequest{OperationID: "paid", Budget: "b", Tokens: tokens}})
	}
}

// hashOf returns the hash of a bearer key in the format of caller records.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func records() []config.Record {
	spec := func(kind config.Kind, name string, v any) config.Record {
		data, _ := json.Marshal(v)
		return config.Record{Kind: kind, Name: name, SchemaVersion: 2, Revision: 1, Spec: data}
	}
	return []config.Record{
		spec(config.KindOrganisation, "org", config.OrganisationSpec{}),
		spec(config.KindCaller, "caller", config.CallerSpec{Organisation: "org", KeyHash: hashOf(callerKey), Class: "gold", Budget: "b", MaxConcurrent: 4}),
		spec(config.KindBudget, "b", config.BudgetSpec{Organisation: "org"}),
		spec(config.KindClass, "gold", config.ClassSpec{Worth: 10, DeadlineMS: 5000, QueueLimit: 10}),
		spec(config.KindPolicy, "p", config.PolicySpec{Organisation: "org", Services: []string{"m", "numbers", "absent"}, Upstreams: []string{"*"}}),
		spec(config.KindService, "m", config.ServiceSpec{Kind: config.ServiceModel, MaxOutputTokens: 20}),
		spec(config.KindService, "absent", config.ServiceSpec{Kind: config.ServiceModel, MaxOutputTokens: 20}),
		spec(config.KindService, "hidden", config.ServiceSpec{Kind: config.ServiceModel, MaxOutputTokens: 20}),
		spec(config.KindService, "numbers", config.ServiceSpec{Kind: config.ServicePlain, Methods: []config.MethodSpec{
			{Method: "POST", Path: "/series/*/next", Tokens: 5}, {Method: "GET", Path: "/series/*", Repeatable: true, Tokens: 1},
		}}),
	}
}

// fakeUpstream is a fake engine or service that can announce itself.
type fakeUpstream interface {
	http.Handler
	Announcement() announce.Announcement
}

// addUpstream starts a fake upstream and applies its announcement.
func (s *simulation) addUpstream(address string, u fakeUpstream) {
	s.net.serve(address, u)
	s.Expect(s.registry.Apply(u.Announcement(), time.Now())).To(BeTrue())
}

func (s *simulation) addEngine(n int, change func(*fake.EngineOptions)) *fake.Engine {
	address := fmt.Sprintf("10.0.1.%d:80", n)
	o := fake.EngineOptions{
		CommonOptions: fake.CommonOptions{ID: fmt.Sprintf("engine-%d", n), Zone: "a", Address: "http://" + address, Incarnation: 1},
		Models:        []announce.ServiceOffer{{Name: "m"}}, TokenTime: time.Millisecond,
	}
	if change != nil {
		change(&o)
	}
	e := fake.NewEngine(o)
	s.addUpstream(address, e)
	return e
}

func (s *simulation) addService(n int, change func(*fake.ServiceOptions)) *fake.Service {
	address := fmt.Sprintf("10.0.2.%d:80", n)
	o := fake.ServiceOptions{
		CommonOptions: fake.CommonOptions{ID: fmt.Sprintf("service-%d", n), Zone: "a", Address: "http://" + address, Incarnation: 1},
		Names:         []string{"numbers"},
	}
	if change != nil {
		change(&o)
	}
	v := fake.NewService(o)
	s.addUpstream(address, v)
	return v
}

// addHandler starts an HTTP handler and announces it as an upstream of service.
func (s *simulation) addHandler(id, address, service string, servesRequestState bool, f http.HandlerFunc) {
	s.net.serve(address, f)
	s.registry.Apply(announce.Announcement{
		ID: id, Incarnation: 1, Sequence: 1, Address: "http://" + address, Kind: announce.KindEngine, Capacity: 8,
		Services: []announce.ServiceOffer{{Name: service}}, State: announce.StateServing, ServesRequestState: servesRequestState,
	}, time.Now())
}

// answer is the response that a caller received.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	refusal errorDetail
}

// complete reports whether a stream ended with its end marker.
func (a answer) complete() bool { return strings.HasSuffix(a.body, "data: [DONE]\n\n") }

// text returns the concatenated content of a stream.
func (a answer) text() string {
	var b strings.Builder
	events := newEventReader(strings.NewReader(a.body), nil)
	for {
		data, err := events.next()
		if err != nil {
			return b.String()
		}
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
			continue
		}
		b.WriteString(c.Choices[0].Delta.Content)
	}
}

type requestOption func(*http.Request)

func withIdempotencyKey(k string) requestOption {
	return func(r *http.Request) { r.Header.Set("Idempotency-Key", k) }
}

func withBearerKey(k string) requestOption {
	return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+k) }
}

func toHost(address string) requestOption {
	return func(r *http.Request) { r.URL.Host = address }
}

func withContext(ctx context.Context) requestOption {
	return func(r *http.Request) { *r = *r.WithContext(ctx) }
}

// call sends a request as the default caller to the first host.
func (s *simulation) call(method, path, body string, options ...requestOption) answer {
	req, err := http.NewRequest(method, "http://10.0.0.1:80"+path, bytes.NewReader([]byte(body)))
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Content-Type", "application/json")
	withBearerKey(callerKey)(req)
	for _, o := range options {
		o(req)
	}
	resp, err := s.net.callerClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
	var e errorBody
	_ = json.Unmarshal(data, &e)
	a.refusal = e.Error
	return a
}

const (
	streamBody       = `{"model":"m","stream":true,"messages":[{"role":"user","content":"draft a proclamation"}]}`
	nonStreamingBody = `{"model":"m","messages":[{"role":"user","content":"draft a proclamation"}]}`
)

func (s *simulation) callStream(options ...requestOption) answer {
	return s.call(http.MethodPost, chatPath, streamBody, options...)
}

func (s *simulation) callNextNumber(options ...requestOption) answer {
	return s.call(http.MethodPost, "/services/numbers/series/a/next", "{}", options...)
}

// counter returns the sum of a counter over all series with the given tag value, or over all series if tag is "".
func (s *simulation) counter(name, tag string) int64 {
	var total int64
	for _, c := range s.metrics.Snapshot().Counters() {
		if c.Name() != name {
			continue
		}
		for _, v := range c.Tags() {
			if v == tag {
				total += c.Value()
			}
		}
		if tag == "" {
			total += c.Value()
		}
	}
	return total
}
