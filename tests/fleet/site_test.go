// Package fleet_test runs complete hosts and stand-in upstreams in one process, over an
// in-memory network and in virtual time, and injects partitions and other failures.
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
	operatorKey   = "operator-key"
	callerKey     = "caller-key"
	operatorsNode = "operators"
	callersNode   = "callers"
	modelName     = "writer"
	plainName     = "numbers"
	// chatLimit is the output limit of chat requests, in tokens.
	chatLimit = 20
	// settleTime is enough for a fault-free fleet to elect a leader and to exchange
	// heartbeats and announcements.
	settleTime = 3 * time.Second
)

// site is a fleet of hosts with its stand-in upstreams.
type site struct {
	*WithT
	t              *testing.T
	net            *memnet.Network
	hosts          []*host
	engine         *fake.Engine
	plain          *fake.Service
	operationCount int
	stopFuncs      []func()
}

// host is one daemon of a site; done receives the result of its Run.
type host struct {
	name     string
	settings *settings.Settings
	daemon   *daemon.Daemon
	cancel   context.CancelFunc
	done     chan error
}

func (h *host) callersURL() string   { return "http://" + h.settings.Listen.Callers }
func (h *host) operatorsURL() string { return "http://" + h.settings.Listen.Operators }

// siteOptions describe a site.
type siteOptions struct {
	hosts, control int
	adjust         func(*settings.Settings)
	engine         fake.EngineOptions
	// plainTime is the time that a call of the plain service takes; 0 means 5 ms.
	plainTime time.Duration
	// paidIn is the initial top-up in tokens; 0 means one million.
	paidIn int64
	// idleEngines is the number of engines that serve a model no test uses.
	idleEngines int
}

// run starts and configures a site and calls fn with it, inside a synctest bubble.
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
		s.startUpstreams(o.engine, cmp.Or(o.plainTime, 5*time.Millisecond))
		s.startIdleEngines(o.idleEngines)
		time.Sleep(settleTime)
		s.configure(cmp.Or(o.paidIn, 1_000_000))
		time.Sleep(settleTime)
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
	s.OperatorKeyHashes = []string{hashKey(operatorKey)}
	s.DrainDelay.Duration = 0
	if o.adjust != nil {
		o.adjust(s)
	}
	return s
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// start runs a new daemon with the settings of h.
func (s *site) start(h *host) {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done = make(chan error, 1)
	h.daemon = daemon.New(h.settings, s.net.Node(h.name))
	go func() { h.done <- h.daemon.Run(ctx) }()
}

// drain stops a host gracefully, as SIGTERM does, and waits until it has stopped.
func (s *site) drain(h *host) {
	h.cancel()
	s.Expect(<-h.done).To(Succeed())
}

// close stops all hosts and stand-ins.
func (s *site) close() {
	s.net.HealAll()
	for _, h := range s.hosts {
		h.cancel()
	}
	for _, h := range s.hosts {
		<-h.done
	}
	for _, stop := range s.stopFuncs {
		stop()
	}
}

// startUpstreams starts one engine and one plain service, each announcing itself to all
// hosts.
func (s *site) startUpstreams(o fake.EngineOptions, plainTime time.Duration) {
	o.CommonOptions = fake.CommonOptions{ID: "engine-1", Zone: "zone-1", Address: "http://127.0.0.100:80"}
	o.Models = []announce.ServiceOffer{{Name: modelName}}
	if o.TokenTime == 0 {
		o.TokenTime = 10 * time.Millisecond
	}
	s.engine = fake.NewEngine(o)
	s.serveUpstream(s.engine, s.engine, "engine-1", "127.0.0.100:80")
	s.plain = fake.NewService(fake.ServiceOptions{
		CommonOptions: fake.CommonOptions{ID: "service-1", Zone: "zone-1", Address: "http://127.0.0.101:80"},
		Names:         []string{plainName}, Capacity: 8, QueueLimit: 64, WorkTime: plainTime,
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

// announcerNode returns the name of the network node from which an upstream announces
// itself. It differs from the serving node, so that a test can cut off announcements only.
func announcerNode(upstream string) string { return upstream + "-announcer" }

// serveUpstream serves h at address on the node name, and announces source to all hosts.
func (s *site) serveUpstream(h http.Handler, source fake.AnnouncementSource, name, address string) {
	node := s.net.Node(name)
	listener, err := node.Listen(address)
	s.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	client := s.net.Node(announcerNode(name)).Client()
	announcer := &fake.Announcer{Source: source, Client: client}
	for _, host := range s.hosts {
		announcer.Hosts = append(announcer.Hosts, host.callersURL())
	}
	ctx, cancel := context.WithCancel(context.Background())
	go announcer.Run(ctx)
	s.stopFuncs = append(s.stopFuncs, func() {
		cancel()
		client.CloseIdleConnections()
		_ = server.Close()
	})
}

// configure writes an organisation with one caller and pays tokens into its budget.
func (s *site) configure(paid int64) {
	s.mustApply(s.hosts[0], s.newChange(config.KindOrganisation, "o", `{}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindClass, "c", `{"worth":5,"deadline_ms":10000}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindBudget, "b", `{"organisation":"o"}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindCaller, "k",
		`{"organisation":"o","class":"c","budget":"b","key_hash":"`+hashKey(callerKey)+`"}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindService, modelName, `{"kind":"model","max_output_tokens":100}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindService, plainName,
		`{"kind":"plain","methods":[{"method":"POST","path":"/series/*/next","tokens":1}]}`))
	s.mustApply(s.hosts[0], s.newChange(config.KindPolicy, "p",
		`{"organisation":"o","services":["*"],"upstreams":["*"]}`))
	s.topUp(s.hosts[0], paid)
}

func (s *site) operationID() string {
	s.operationCount++
	return fmt.Sprintf("op-%d", s.operationCount)
}

// newChange returns a change that writes one record, with an operation id of its own.
func (s *site) newChange(kind config.Kind, name, spec string) operatorapi.ApplyRequest {
	return operatorapi.ApplyRequest{OperationID: s.operationID(), Writes: []operatorapi.Write{{
		Record: config.Record{Kind: kind, Name: name, SchemaVersion: 2, Spec: json.RawMessage(spec)},
	}}}
}

// mustApply sends a change to a host repeatedly until it is accepted.
func (s *site) mustApply(h *host, req operatorapi.ApplyRequest) operatorapi.ChangeReply {
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

// operate calls the operators' API of h and returns the HTTP status.
func (s *site) operate(h *host, method, path string, body, out any) int {
	s.t.Helper()
	data, err := json.Marshal(body)
	s.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(method, h.operatorsURL()+path, bytes.NewReader(data))
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	client := s.net.Node(operatorsNode).Client()
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

// call sends one request to a host. The error reports a broken connection.
func (s *site) call(h *host, path, key string, body []byte) (*harness.Answer, error) {
	client := s.net.Node(callersNode).Client()
	defer client.CloseIdleConnections()
	caller := &harness.Caller{Key: callerKey, HTTP: client}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	return caller.Do(ctx, harness.Call{Method: http.MethodPost, URL: h.callersURL(), Path: path, IdempotencyKey: key, Body: body})
}

func (s *site) chat(h *host, key, text string) (*harness.Answer, error) {
	return s.call(h, harness.PathChat, key, harness.ChatBody(modelName, chatLimit, text))
}

func (s *site) nextNumber(h *host, key string) (*harness.Answer, error) {
	return s.call(h, "/services/"+plainName+"/series/a/next", key, nil)
}

// expectedCharge returns the tokens used by finished requests according to the ground
// truth of the stand-ins, each request counted once.
func (s *site) expectedCharge() int64 {
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

// hostNames returns the names of the given hosts.
func hostNames(hosts ...*host) []string {
	var out []string
	for _, h := range hosts {
		out = append(out, h.name)
	}
	return out
}
