package ctl_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/ctl"
	"github.com/godwitbend/godwitbend/internal/fakecontrol"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

const operatorKey = "gwb_operator"

// rig runs the tool against in-process API servers.
type rig struct {
	*WithT
	control  *fakecontrol.Control
	servers  map[string]http.Handler
	requests int
	dir      string
	stdin    string
	stdout   bytes.Buffer
	stderr   bytes.Buffer
	ids      int
	// orderStates are the states that successive order requests return; the last one repeats.
	orderStates []controlapi.OrderState
}

func newRig(t *testing.T) *rig {
	r := &rig{
		WithT: NewWithT(t), control: fakecontrol.New(), dir: t.TempDir(),
		orderStates: []controlapi.OrderState{controlapi.OrderDone},
	}
	sum := sha256.Sum256([]byte(operatorKey))
	api := operatorapi.New(operatorapi.Options{
		Host: "a", Control: r.control, KeyHashes: []string{hex.EncodeToString(sum[:])},
		Upstreams: func() []operatorapi.Upstream {
			return []operatorapi.Upstream{{AgeMS: 400, Usable: true, Announcement: announce.Announcement{
				ID: "u1", Zone: "z1", Address: "http://127.0.0.9:9000", Kind: announce.KindEngine, State: announce.StateServing,
				Capacity: 8, InFlight: 2, Services: []announce.ServiceOffer{{Name: "m"}, {Name: "n"}},
			}}}
		},
		ChangeReplica: func(_ context.Context, c *controlapi.ReplicaChange) error {
			r.control.Replicas = append(r.control.Replicas, controlapi.ReplicaStatus{ID: c.ID, Address: c.Address, Role: controlapi.RoleLearner})
			return nil
		},
		SendOrder: func(_ context.Context, o *operatorapi.OrderRequest) (*operatorapi.OrderReply, error) {
			reply := &operatorapi.OrderReply{OrderID: o.Order.ID, FencingNumber: 3, State: string(r.orderStates[0])}
			if len(r.orderStates) > 1 {
				r.orderStates = r.orderStates[1:]
			}
			return reply, nil
		},
	})
	r.servers = map[string]http.Handler{"127.0.0.1:8082": api}
	r.writeFile("operator.key", operatorKey+"\n")
	return r
}

func (r *rig) writeFile(name, text string) string {
	path := filepath.Join(r.dir, name)
	r.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// RoundTrip implements http.RoundTripper.
func (r *rig) RoundTrip(request *http.Request) (*http.Response, error) {
	r.requests++
	server, up := r.servers[request.URL.Host]
	if !up {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	server.ServeHTTP(w, request)
	return w.Result(), nil
}

// run runs a command line with the operator's key and returns its exit code.
func (r *rig) run(args ...string) int {
	return r.runWithoutKey(append([]string{"--key-file", filepath.Join(r.dir, "operator.key")}, args...)...)
}

func (r *rig) runWithoutKey(args ...string) int {
	r.stdout.Reset()
	r.stderr.Reset()
	tool := &ctl.Tool{
		Stdin: strings.NewReader(r.stdin), Stdout: &r.stdout, Stderr: &r.stderr,
		Transport: r, Random: bytes.NewReader(make([]byte, 64)),
		NewID: func() string { r.ids++; return fmt.Sprintf("op-%d", r.ids) },
	}
	return tool.Run(context.Background(), args)
}

// mustRun runs a command line, which must succeed, and returns its standard output.
func (r *rig) mustRun(args ...string) string {
	r.Expect(r.run(args...)).To(Equal(0), r.stderr.String())
	return r.stdout.String()
}

func (r *rig) expectOutput(want string, args ...string) {
	r.Expect(r.mustRun(args...)).To(Equal(strings.TrimPrefix(want, "\n")), strings.Join(args, " "))
}

// createBaseRecords creates the records that a caller refers to: organisation o, class k and budget b.
func (r *rig) createBaseRecords() {
	r.mustRun("organisation", "create", "o", "--display-name", "Carvalho")
	r.mustRun("class", "create", "k", "--worth", "10", "--deadline", "30s", "--queue-limit", "100")
	r.mustRun("budget", "create", "b", "--organisation", "o")
}

var createCaller = []string{"caller", "create", "c", "--organisation", "o", "--class", "k", "--budget", "b"}

func TestTables(t *testing.T) {
	r := newRig(t)
	r.createBaseRecords()
	r.control.HostRevision = 2
	r.control.Replicas = []controlapi.ReplicaStatus{{ID: 1, Address: "127.0.0.2:1", Role: "leader", Term: 3, Applied: 9, Match: 9}}
	r.expectOutput(`
STATE     REVISION  OPERATION
accepted  4         op-4
KEY (shown once)
gwb_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA
`, createCaller...)
	r.expectOutput(`
KIND          NAME  REVISION  SCHEMA  SPEC
organisation  o     1         2       {"display_name":"Carvalho"}
`, "organisation", "get", "o")
	r.expectOutput(`
BUDGET  ORGANISATION  PAID IN  CHARGED  RESERVED  GRANTED  FREE
b       o             100      0        0         0        100
`, "budget", "top-up", "b", "--tokens", "100")
	r.beginRequest("r1", 30)
	r.expectOutput(`
BUDGET  ORGANISATION  PAID IN  CHARGED  RESERVED  GRANTED  FREE
b       o             100      0        30        0        70
`, "usage", "--organisation", "o")
	r.expectOutput(`
REQUEST  ORGANISATION  CALLER  SERVICE  STATE  ATTEMPT  RESERVED  CHARGED
r1       o             c       m        open   1        30        0
`, "request", "get", "r1")
	r.expectOutput(`
UPSTREAM  ZONE  KIND    STATE    USABLE  AGE    IN FLIGHT  QUEUED  CAPACITY  SERVICES  ADDRESS
u1        z1    engine  serving  true    400ms  2          0       8         m,n       http://127.0.0.9:9000
`, "upstreams")
	r.expectOutput(`
HOST  ZONE  ADDRESS      REVISION  SESSION
a     z1    127.0.0.2:1  2         s1
`, "hosts")
	r.expectOutput(`
REPLICA  ADDRESS      ROLE    TERM  APPLIED  MATCH
1        127.0.0.2:1  leader  3     9        9
`, "replicas")
	r.expectOutput(`
REPLICA  ADDRESS      ROLE     TERM  APPLIED  MATCH
1        127.0.0.2:1  leader   3     9        9
4        127.0.0.5:1  learner  0     0        0
`, "replica", "add", "4", "--address", "127.0.0.5:1")
	r.control.Replicas = r.control.Replicas[:1]
	r.expectOutput(`
ORDER  FENCING NUMBER  STATE
op-6   3               done
`, "order", "u1", "--action", "load", "--model", "m")
	r.expectOutput(`
answered by    a
ready          yes
revision       4
active schema  2
leader         replica 1, term 3
replicas       1
can lose       0
hosts          1
hosts behind   1
`, "status")
	r.mustRun("organisation", "create", "p")
	r.mustRun("organisation", "delete", "p")
	r.Expect(r.mustRun("config", "history", "--after", "5")).To(MatchRegexp(
		`^REVISION  TIME                  KIND          NAME  CHANGE   OPERATOR      OPERATION
6         1970-01-01T00:00:00Z  organisation  p     deleted  key-[0-9a-f]{8}  op-8
$`))
}

// beginRequest creates the record of a request of caller c.
func (r *rig) beginRequest(id string, tokens int64) {
	r.execute(&controlapi.Command{Begin: &controlapi.BeginRequest{
		RequestID: id, Organisation: "o", Caller: "c", Budget: "b", Service: "m", BodyHash: "x", Tokens: tokens, Session: "s1",
	}})
}

func (r *rig) execute(command *controlapi.Command) {
	result, err := r.control.Execute(context.Background(), command)
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(result.Err).To(BeNil())
}

func TestWriteOffGrantOfEndedSession(t *testing.T) {
	r := newRig(t)
	r.createBaseRecords()
	r.mustRun("budget", "top-up", "b", "--tokens", "6400")
	r.execute(&controlapi.Command{Grant: &controlapi.GrantRequest{Session: "s1", Budget: "b", Total: 50}})
	r.expectOutput(`
SESSION  BUDGET  GRANTED  RETURNED  CHARGED  OUTSTANDING  ENDED
s1       b       50       0         0        50           false
`, "grant", "list")
	r.Expect(r.run("grant", "write-off", "s1")).NotTo(Equal(0))
	r.execute(&controlapi.Command{EndSession: &controlapi.EndSession{Session: "s1"}})
	r.expectOutput(`
SESSION  CHARGED
s1       50
`, "grant", "write-off", "s1", "--operation-id", "w")
	r.mustRun("grant", "write-off", "s1", "--operation-id", "w")
	r.Expect(r.mustRun("usage")).To(MatchRegexp(`b +o +6400 +50 +0 +0 +6350`))
}

func TestJSON(t *testing.T) {
	r := newRig(t)
	r.createBaseRecords()
	r.expectOutput(`
{
  "state": "accepted",
  "operation_id": "op-4",
  "revision": 4,
  "records": [
    {
      "kind": "caller",
      "name": "c",
      "schema_version": 2,
      "revision": 4,
      "spec": {
        "budget": "b",
        "class": "k",
        "key_hash": "08fc0da911a961492d4d764410166e7fcc5feb269c602b71bd6c31a96845b606",
        "organisation": "o"
      }
    }
  ],
  "key": "gwb_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
}
`, append([]string{"-o", "json"}, createCaller...)...)
	r.expectOutput("{\n  \"requests\": []\n}\n", "request", "list", "-o", "json")
}

// spec returns the spec of a record as the API returns it.
func (r *rig) spec(kind, name string) string {
	var record struct {
		Spec json.RawMessage `json:"spec"`
	}
	r.Expect(json.Unmarshal([]byte(r.mustRun("-o", "json", kind, "get", name)), &record)).To(Succeed())
	return string(record.Spec)
}

func TestSpecFlags(t *testing.T) {
	r := newRig(t)
	for _, c := range []struct{ line, want string }{
		{"organisation create o --disabled", `{"disabled": true}`},
		{"class create k --worth 10 --deadline 30s --queue-limit 100", `{"worth": 10, "deadline_ms": 30000, "queue_limit": 100}`},
		{"service create a --kind model --max-output-tokens 64", `{"kind": "model", "max_output_tokens": 64}`},
		{"service create b --kind model", `{"kind": "model"}`},
		{"policy create p --organisation o --services a,b --upstreams * --zones z1", `{"organisation": "o", "services": ["a", "b"], "upstreams": ["*"], "zones": ["z1"]}`},
		{"budget create b --organisation o", `{"organisation": "o"}`},
	} {
		args := strings.Fields(c.line)
		r.mustRun(args...)
		r.Expect(r.spec(args[0], args[2])).To(MatchJSON(c.want))
	}
	r.mustRun("service", "create", "numbers", "--kind", "plain", "--method", "POST /series/*/next", "--method", "GET /diary/*,repeatable,tokens=5")
	r.Expect(r.spec("service", "numbers")).To(MatchJSON(`{"kind": "plain", "methods": [
		{"method": "POST", "path": "/series/*/next"},
		{"method": "GET", "path": "/diary/*", "repeatable": true, "tokens": 5}]}`))
	for _, bad := range []string{"GET", "get /x", "GET x", "GET /x,often", "GET /x,tokens=-1", "GET /x,tokens=y"} {
		r.Expect(r.run("service", "create", "x", "--kind", "plain", "--method", bad)).To(Equal(2), bad)
	}
	r.Expect(r.run("class", "create", "x", "--deadline", "1ns")).To(Equal(2))
}

func TestApplyKeepsUnknownFields(t *testing.T) {
	r := newRig(t)
	r.stdin = `{"kind": "class", "name": "k", "schema_version": 1, "spec": {"priority": 1, "deadline_ms": 9, "queue_limit": 1, "of_later_version": [1]}}`
	r.mustRun("apply", "-f", "-")
	r.mustRun("class", "apply", "k", "--queue-limit", "5")
	r.Expect(r.spec("class", "k")).To(MatchJSON(`{"worth": 1000, "deadline_ms": 9, "queue_limit": 5, "of_later_version": [1]}`))
}

func TestApplyFileFormats(t *testing.T) {
	r := newRig(t)
	record := func(name string) string { return `{"kind": "organisation", "name": "` + name + `", "spec": {}}` }
	for _, text := range []string{
		record("a"),
		"[" + record("a") + "," + record("b") + "]",
		record("a") + "\n" + record("b"),
		`{"records": [` + record("a") + `]}`,
	} {
		r.mustRun("apply", "-f", r.writeFile("records.json", text))
	}
	for _, text := range []string{"", "[]", "7", `{"kind": "organisation", "name": "a", "spce": {}}`, record("a") + "x"} {
		r.Expect(r.run("apply", "-f", r.writeFile("records.json", text))).To(Equal(2), text)
	}
	stale := `{"kind": "organisation", "name": "a", "revision": 1, "spec": {}}`
	r.Expect(r.run("apply", "-f", r.writeFile("records.json", stale))).To(Equal(4))
}

func TestCallerKeys(t *testing.T) {
	r := newRig(t)
	r.createBaseRecords()
	file := filepath.Join(r.dir, "caller.key")
	r.mustRun(append(createCaller, "--caller-key-file", file)...)
	key, err := os.ReadFile(file)
	r.Expect(err).NotTo(HaveOccurred())
	r.stdin = string(key)
	hash := strings.TrimSpace(r.mustRun("key", "hash"))
	r.Expect(r.spec("caller", "c")).To(ContainSubstring(hash))
	r.Expect(r.spec("caller", "c")).NotTo(ContainSubstring(strings.TrimSpace(string(key))))

	r.Expect(r.mustRun("caller", "apply", "c", "--max-concurrent", "3")).NotTo(ContainSubstring("KEY"))
	r.Expect(r.spec("caller", "c")).To(ContainSubstring(hash))
	r.Expect(r.mustRun("caller", "apply", "c", "--new-key")).To(ContainSubstring("KEY"))
	r.Expect(r.mustRun("key", "create")).To(HavePrefix("gwb_"))
	r.stdin = "two words"
	r.Expect(r.run("key", "hash")).To(Equal(2))
}
