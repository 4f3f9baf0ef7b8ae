// Package fleet_test runs several whole hosts with their stand-ins in one
// process, over an in-memory network under virtual time, and cuts links.
package fleet_test

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/daemon"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
	"github.com/godwitbend/godwitbend/internal/memnet"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/settings"
)

const (
	operatorKey = "operator-key"
	callerKey   = "caller-key"
	operators   = "operators"
	callers     = "callers"
	model       = "writer"
	plain       = "numbers"
	// chatLimit is the output limit of the chat requests, in tokens.
	chatLimit = 20
	// settle is the time in which a fleet without faults elects, heartbeats and announces.
	settle = 3 * time.Second
)

// site is a fleet with its stand-ins.
type site struct {
	*WithT
	t      *testing.T
	net    *memnet.Network
	hosts  []*host
	engine *fake.Engine
	plain  *fake.Service
	ops    int
	stop   []func()
}

// host is one daemon of a site.
type host struct {
	name     string
	settings *settings.Settings
	daemon   *daemon.Daemon
	cancel   context.CancelFunc
	done     chan error
}

func (h *host) callers() string   { return "http://" + h.settings.Listen.Callers }
func (h *host) operators() string { return "http://" + h.settings.Listen.Operators }

// siteOptions describe a site.
type siteOptions struct {
	hosts, control int
	adjust         func(*settings.Settings)
	engine         fake.EngineOptions
	// paid is the first top-up; 0 means a million tokens.
	paid int64
	// idleEngines is the number of engines beside the one of the tests.
	idleEngines int
}

// run runs fn on a running and configured site, inside a bubble of virtual time.
func run(t *testing.T, o siteOptions, fn func(s *site)) {
	t.Helper()
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		s := &site{WithT: NewWithT(t), t: t, net: memnet.New()}
		defer s.close()
		for i := range o.hosts {
			s.hosts = append(s.hosts, &host{name: hostName(i), settings: hostSettings(o, i, dir)})
		}
		for _, h := range s.hosts {
			s.start(h)
		}
		s.startUpstreams(o.engine)
		s.startIdleEngines(o.idleEngines)
		time.Sleep(settle)
		s.configure(cmp.Or(o.paid, 1_000_000))
		time.Sleep(settle)
		fn(s)
	})
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i+1) }

func hostAddress(i, port int) string { return fmt.Sprintf("127.0.0.%d:%d", i+2, port) }

func hostSettings(o siteOptions, i int, dir string) *settings.Settings {
	s := settings.Default()
	s.Host = hostName(i)
	s.Zone = fmt.Sprintf("zone-%d", i%4+1)
	s.DataDir = filepath.Join(dir, s.Host)
	s.Listen = settings.Listen{
		Callers: hostAddress(i, 8080), Hosts: hostAddress(i, 7000), Operators: hostAddress(i, 9000),
	}
	if i < o.control {
		s.Roles = append(s.Roles, settings.RoleControl)
		s.ReplicaID = uint64(i + 1)
		s.Bootstrap = true
	}
	for r := range o.control {
		s.Replicas = append(s.Replicas, settings.Replica{ID: uint64(r + 1), Address: hostAddress(r, 7000)})
	}
	s.TLS.Plaintext = true
	s.OperatorKeyHashes = []string{hash(operatorKey)}
	s.DrainDelay.Duration = 0
	if o.adjust != nil {
		o.adjust(s)
	}
	return s
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *site) start(h *host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done = make(chan error, 1)
	h.daemon = daemon.New(h.settings, s.net.Node(h.name))
	go func() { h.done <- h.daemon.Run(ctx) }()
}

// drain stops a host as SIGTERM does.
func (s *site) drain(h *host) {
	h.cancel()
	s.Expect(<-h.done).To(Succeed())
}

func (s *site) close() {
	s.net.HealAll()
	for _, h := range s.hosts {
		h.cancel()
	}
	for _, h := range s.hosts {
		<-h.done
	}
	for _, stop := range s.stop {
		stop()
	}
}

// startUpstreams starts an engine and a plain service that announce themselves to all hosts.
func (s *site) startUpstreams(o fake.EngineOptions) {
	o.CommonOptions = fake.CommonOptions{ID: "engine-1", Zone: "zone-1", Address: "http://127.0.0.100:80"}
	o.Models = []announce.ServiceOffer{{Name: model}}
	if o.TokenTime == 0 {
		o.TokenTime = 10 * time.Millisecond
	}
	s.engine = fake.NewEngine(o)
	s.serveUpstream(s.engine, s.engine, "engine-1", "127.0.0.100:80")
	s.plain = fake.NewService(fake.ServiceOptions{
		CommonOptions: fake.CommonOptions{ID: "service-1", Zone: "zone-1", Address: "http://127.0.0.101:80"},
		Names:         []string{plain}, Capacity: 8, QueueLimit: 64, WorkTime: 5 * time.Millisecond,
	})
	s.serveUpstream(s.plain, s.plain, "service-1", "127.0.0.101:80")
}

func (s *site) startIdleEngines(count int) {
	for i := range count {
		id, address := fmt.Sprintf("idle-%d", i), fmt.Sprintf("127.0.1.%d:80", i+1)
		e := fake.NewEngine(fake.EngineOptions{
			CommonOptions: fake.CommonOptions{ID: id, Zone: "zone-2", Address: "http://" + address},
			Models:        []announce.ServiceOffer{{Name: "other"}},
		})
		s.serveUpstream(e, e, id, address)
	}
}

// announcerOf names the node from which an upstream announces itself, so that
// its announcements can be cut off alone.
func announcerOf(upstream string) string { return upstream + "-announcer" }

func (s *site) serveUpstream(h http.Handler, source fake.AnnouncementSource, name, address string) {
	node := s.net.Node(name)
	listener, err := node.Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	client := s.net.Node(announcerOf(name)).Client()
	announcer := &fake.Announcer{Source: source, Client: client}
	for _, host := range s.hosts {
		announcer.Hosts = append(announcer.Hosts, host.callers())
	}
	ctx, cancel := context.WithCancel(context.Background())
	go announcer.Run(ctx)
	s.stop = append(s.stop, func() {
		cancel()
		client.CloseIdleConnections()
		_ = server.Close()
	})
}

// configure writes an organisation with one caller, and pays into its budget.
func (s *site) configure(paid int64) {
	s.must(s.hosts[0], s.write(config.KindOrganisation, "o", `{}`))
	s.must(s.hosts[0], s.write(config.KindClass, "c", `{"worth":5,"deadline_ms":10000}`))
	s.must(s.hosts[0], s.write(config.KindBudget, "b", `{"organisation":"o"}`))
	s.must(s.hosts[0], s.write(config.KindCaller, "k",
		`{"organisation":"o","class":"c","budget":"b","key_hash":"`+hash(callerKey)+`"}`))
	s.must(s.hosts[0], s.write(config.KindService, model, `{"kind":"model","max_output_tokens":100}`))
	s.must(s.hosts[0], s.write(config.KindService, plain,
		`{"kind":"plain","methods":[{"method":"POST","path":"/series/*/next","tokens":1}]}`))
	s.must(s.hosts[0], s.write(config.KindPolicy, "p",
		`{"organisation":"o","services":["*"],"upstreams":["*"]}`))
	s.topUp(s.hosts[0], paid)
}

func (s *site) operationID() string {
	s.ops++
	return fmt.Sprintf("op-%d", s.ops)
}

func (s *site) write(kind config.Kind, name, spec string) operatorapi.ApplyRequest {
	return operatorapi.ApplyRequest{OperationID: s.operationID(), Writes: []operatorapi.Write{{
		Record: config.Record{Kind: kind, Name: name, SchemaVersion: 2, Spec: json.RawMessage(spec)},
	}}}
}

// must applies a change at a host until it is accepted.
func (s *site) must(h *host, req operatorapi.ApplyRequest) operatorapi.ChangeReply {
	s.t.Helper()
	for range 20 {
		var reply operatorapi.ChangeReply
		status := s.operate(h, http.MethodPost, operatorapi.PathApply, req, &reply)
		if status == http.StatusOK && reply.State == operatorapi.StateAccepted {
			return reply
		}
		s.Expect(status).To(BeElementOf(http.StatusAccepted, http.StatusServiceUnavailable))
	}
	s.t.Fatalf("change %s was not accepted", req.OperationID)
	return operatorapi.ChangeReply{}
}

func (s *site) topUp(h *host, tokens int64) {
	s.t.Helper()
	req := operatorapi.TopUpRequest{OperationID: s.operationID(), Tokens: tokens}
	s.Expect(s.operate(h, http.MethodPost, "/v1/budgets/b"+operatorapi.PathTopUps, req, nil)).To(Equal(http.StatusOK))
}

// operate calls the operators' API and returns the status.
func (s *site) operate(h *host, method, path string, body, out any) int {
	s.t.Helper()
	data, err := json.Marshal(body)
	s.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, h.operators()+path, bytes.NewReader(data))
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	client := s.net.Node(operators).Client()
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	s.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	s.Expect(err).NotTo(HaveOccurred())
	if out != nil {
		s.Expect(json.Unmarshal(answer, out)).To(Succeed(), string(answer))
	}
	return resp.StatusCode
}

func (s *site) budget(h *host) controlapi.BudgetStatus {
	s.t.Helper()
	var reply operatorapi.UsageReply
	s.Expect(s.operate(h, http.MethodGet, operatorapi.PathUsage, nil, &reply)).To(Equal(http.StatusOK))
	s.Expect(reply.Budgets).To(HaveLen(1))
	return reply.Budgets[0]
}

// call sends one request at a host; the error tells a broken connection.
func (s *site) call(h *host, path, key string, body []byte) (*harness.Answer, error) {
	client := s.net.Node(callers).Client()
	defer client.CloseIdleConnections()
	caller := &harness.Caller{Key: callerKey, HTTP: client}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return caller.Do(ctx, harness.Call{Method: http.MethodPost, URL: h.callers(), Path: path, IdempotencyKey: key, Body: body})
}

func (s *site) chat(h *host, key, text string) (*harness.Answer, error) {
	return s.call(h, harness.PathChat, key, harness.ChatBody(model, chatLimit, text))
}

func (s *site) next(h *host, key string) (*harness.Answer, error) {
	return s.call(h, "/services/"+plain+"/series/a/next", key, nil)
}

// billed returns the tokens that the stand-ins' truth says finished requests
// used, counting each request once.
func (s *site) billed() int64 {
	tokens := make(map[string]int64)
	for _, r := range s.engine.Truth().Records() {
		if r.Event == fake.TruthFinished {
			tokens[r.RequestID] = r.PromptTokens + r.OutputTokens
		}
	}
	for _, r := range s.plain.Truth().Records() {
		if r.Event == fake.TruthRan {
			tokens[r.RequestID] = 1
		}
	}
	var sum int64
	for _, n := range tokens {
		sum += n
	}
	return sum
}

// names returns the names of hosts.
func names(hosts ...*host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.name)
	}
	return out
}
