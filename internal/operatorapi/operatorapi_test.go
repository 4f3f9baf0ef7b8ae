package operatorapi_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/fakecontrol"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
	"github.com/godwitbend/godwitbend/internal/registry"
)

const operatorKey = "gwb_operator"

// fixture is the API backed by a fake control group.
type fixture struct {
	*WithT
	control  *fakecontrol.Control
	options  operatorapi.Options
	refusals []errkind.Kind
}

func newFixture(t *testing.T) *fixture {
	r := &fixture{WithT: NewWithT(t), control: fakecontrol.New()}
	sum := sha256.Sum256([]byte(operatorKey))
	r.options = operatorapi.Options{
		Host:      "a",
		Control:   r.control,
		KeyHashes: []string{strings.Repeat("00", sha256.Size), hex.EncodeToString(sum[:])},
		OnRefusal: func(k errkind.Kind) { r.refusals = append(r.refusals, k) },
	}
	return r
}

// call sends one request with key and decodes the response into reply, unless it is nil.
func (r *fixture) call(key, method, path, body string, reply any) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	operatorapi.New(r.options).ServeHTTP(w, request)
	r.Expect(w.Header().Get("Content-Type")).To(Equal("application/json"), w.Body.String())
	if reply != nil {
		r.Expect(json.Unmarshal(w.Body.Bytes(), reply)).To(Succeed(), w.Body.String())
	}
	return w.Code
}

// expectRefusal sends one request that must be refused and returns the error.
func (r *fixture) expectRefusal(method, path, body string) operatorapi.ErrorReply {
	var reply operatorapi.ErrorReply
	status := r.call(operatorKey, method, path, body, &reply)
	r.Expect(status).To(Equal(errkind.Lookup(reply.Error.Kind).Status), path)
	r.Expect(r.refusals[len(r.refusals)-1]).To(Equal(reply.Error.Kind))
	return reply
}

const putOrganisation = `{"operation_id": "1", "if_revision": 0, "schema_version": 2, "spec": {"display_name": "Carvalho"}}`

func TestUnknownKeyRefused(t *testing.T) {
	r := newFixture(t)
	var reply operatorapi.ErrorReply
	for _, key := range []string{"", "gwb", operatorKey + "x"} {
		r.Expect(r.call(key, "GET", "/v1/status", "", &reply)).To(Equal(http.StatusUnauthorized))
		r.Expect(reply.Error.Kind).To(Equal(errkind.Unauthenticated))
		r.Expect(r.call(key, "GET", "/v1/nothing", "", nil)).To(Equal(http.StatusUnauthorized))
	}
	r.Expect(r.call(operatorKey, "GET", "/v1/status", "", nil)).To(Equal(http.StatusOK))
}

func TestRecordLifecycle(t *testing.T) {
	r := newFixture(t)
	var change operatorapi.ChangeReply
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, &change)).To(Equal(http.StatusOK))
	r.Expect(change.State).To(Equal(operatorapi.StateAccepted))
	var list operatorapi.RecordsReply
	r.Expect(r.call(operatorKey, "GET", "/v1/organisations", "", &list)).To(Equal(http.StatusOK))
	r.Expect(list.Records).To(HaveLen(1))
	r.Expect(list.Records[0].Revision).To(Equal(change.Revision))
	r.Expect(r.call(operatorKey, "GET", "/v1/policies", "", &list)).To(Equal(http.StatusOK))
	r.Expect(list.Records).To(BeEmpty())
	r.Expect(r.call(operatorKey, "DELETE", "/v1/organisations/o?if_revision=1&operation_id=2", "", nil)).To(Equal(http.StatusOK))
	r.Expect(r.expectRefusal("GET", "/v1/organisations/o", "").Error.Kind).To(Equal(errkind.NotFound))
	var history operatorapi.HistoryReply
	r.Expect(r.call(operatorKey, "GET", "/v1/history?after=1", "", &history)).To(Equal(http.StatusOK))
	r.Expect(history.History).To(HaveLen(1))
	r.Expect(history.History[0].Deleted).To(BeTrue())
	r.Expect(history.History[0].Operator).To(HavePrefix("key-"))
}

func TestConflictReportsWinner(t *testing.T) {
	r := newFixture(t)
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, nil)).To(Equal(http.StatusOK))
	second := strings.Replace(putOrganisation, `"1"`, `"2"`, 1)
	refused := r.expectRefusal("PUT", "/v1/organisations/o", second)
	r.Expect(refused.Error.Kind).To(Equal(errkind.Conflict))
	r.Expect(refused.Error.Outcome).To(Equal(errkind.NotRun))
	r.Expect(string(refused.Winner.Spec)).To(ContainSubstring("Carvalho"))
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, nil)).To(Equal(http.StatusOK))
}

func TestResendReturnsPendingChange(t *testing.T) {
	r := newFixture(t)
	r.control.PendingReplies = 1
	var first, second operatorapi.ChangeReply
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, &first)).To(Equal(http.StatusAccepted))
	r.Expect(first.State).To(Equal(operatorapi.StatePending))
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, &second)).To(Equal(http.StatusOK))
	r.Expect(second.State).To(Equal(operatorapi.StateAccepted))
	r.Expect(second.Revision).To(Equal(first.Revision))
}

func TestChangeFoundByOperationID(t *testing.T) {
	r := newFixture(t)
	r.Expect(r.expectRefusal("GET", "/v1/changes/1", "").Error.Kind).To(Equal(errkind.NotFound))
	r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, nil)
	var change operatorapi.ChangeReply
	r.Expect(r.call(operatorKey, "GET", "/v1/changes/1", "", &change)).To(Equal(http.StatusAccepted))
	r.control.HostRevision = change.Revision
	r.Expect(r.call(operatorKey, "GET", "/v1/changes/1", "", &change)).To(Equal(http.StatusOK))
	r.Expect(change.State).To(Equal(operatorapi.StateAccepted))
}

func TestLostReplyHasUnknownOutcome(t *testing.T) {
	r := newFixture(t)
	r.Expect(r.call(operatorKey, "PUT", "/v1/organisations/o", putOrganisation, nil)).To(Equal(http.StatusOK))
	putBudget := `{"operation_id": "2", "schema_version": 2, "spec": {"organisation": "o"}}`
	r.Expect(r.call(operatorKey, "PUT", "/v1/budgets/b", putBudget, nil)).To(Equal(http.StatusOK))
	r.control.LostReplies = 1
	topUp := `{"operation_id": "t", "tokens": 100}`
	refused := r.expectRefusal("POST", "/v1/budgets/b/top-ups", topUp)
	r.Expect(refused.Error.Kind).To(Equal(errkind.ControlUnavailable))
	r.Expect(refused.Error.Outcome).To(Equal(errkind.Unknown))
	var budget controlapi.BudgetStatus
	r.Expect(r.call(operatorKey, "POST", "/v1/budgets/b/top-ups", topUp, &budget)).To(Equal(http.StatusOK))
	r.Expect(budget.PaidIn).To(Equal(int64(100)))
}

func TestApplyWritesAllOrNone(t *testing.T) {
	r := newFixture(t)
	body := func(id, revision string) string {
		return `{"operation_id": "` + id + `", "writes": [
			{"record": {"kind": "organisation", "name": "o", "schema_version": 2, "spec": {}}},
			{"record": {"kind": "budget", "name": "b", "schema_version": 2, "spec": {"organisation": "o"}}, "if_revision": ` + revision + `}]}`
	}
	r.Expect(r.expectRefusal("POST", "/v1/apply", body("1", "7")).Error.Kind).To(Equal(errkind.Conflict))
	var list operatorapi.RecordsReply
	r.call(operatorKey, "GET", "/v1/records", "", &list)
	r.Expect(list.Records).To(BeEmpty())
	r.Expect(r.call(operatorKey, "POST", "/v1/apply", body("2", "0"), nil)).To(Equal(http.StatusOK))
	r.call(operatorKey, "GET", "/v1/records", "", &list)
	r.Expect(list.Records).To(HaveLen(2))
}

func TestInvalidInputRefused(t *testing.T) {
	r := newFixture(t)
	long := strings.Repeat("x", 254)
	for _, c := range []struct {
		method, path, body string
		kind               errkind.Kind
	}{
		{"PUT", "/v1/organisations/o", `{"operation_id": "1", "spec": {}} x`, errkind.InvalidRequest},
		{"PUT", "/v1/organisations/o", `{"operation_id": "1", "spec": {}, "more": 1}`, errkind.InvalidRequest},
		{"PUT", "/v1/organisations/o", `{"spec": {}}`, errkind.InvalidRequest},
		{"PUT", "/v1/organisations/o", `{"operation_id": "1"}`, errkind.InvalidRequest},
		{"PUT", "/v1/organisations/" + long, putOrganisation, errkind.InvalidRequest},
		{"GET", "/v1/organisations/" + long, "", errkind.InvalidRequest},
		{"DELETE", "/v1/organisations/o?operation_id=1&if_revision=-1", "", errkind.InvalidRequest},
		{"DELETE", "/v1/organisations/o", "", errkind.InvalidRequest},
		{"POST", "/v1/apply", `{"operation_id": "1", "writes": []}`, errkind.InvalidRequest},
		{"POST", "/v1/apply", `{"operation_id": "1", "writes": [{"record": {"kind": "k", "name": "n", "spec": {}}}]}`, errkind.InvalidRequest},
		{"POST", "/v1/apply", `"` + strings.Repeat("x", 5<<20) + `"`, errkind.BodyTooLarge},
		{"POST", "/v1/budgets/b/top-ups", `{"operation_id": "1", "tokens": -5}`, errkind.InvalidRequest},
		{"POST", "/v1/budgets/b/top-ups", `{"operation_id": "1", "tokens": 1e30}`, errkind.InvalidRequest},
		{"POST", "/v1/budgets/b/top-ups", `{"operation_id": "1", "tokens": 5}`, errkind.NotFound},
		{"POST", "/v1/orders", `{"upstream": "u", "order": {"id": "1", "action": "sing"}}`, errkind.InvalidRequest},
		{"POST", "/v1/orders", `{"upstream": "u", "order": {"id": "1", "action": "load", "fencing_number": 9}}`, errkind.InvalidRequest},
		{"POST", "/v1/orders", `{"upstream": "u", "order": {"action": "load"}}`, errkind.InvalidRequest},
		{"POST", "/v1/orders", `{"upstream": "u", "order": {"id": "1", "action": "load"}}`, errkind.Forbidden},
		{"POST", "/v1/replicas", `{"action": "sing", "id": 1}`, errkind.InvalidRequest},
		{"POST", "/v1/replicas", `{"action": "remove", "id": 0}`, errkind.InvalidRequest},
		{"POST", "/v1/replicas", `{"action": "add", "id": 4, "address": "host:1"}`, errkind.InvalidRequest},
		{"POST", "/v1/replicas", `{"action": "remove", "id": 4}`, errkind.Forbidden},
		{"GET", "/v1/requests/none", "", errkind.NotFound},
		{"PATCH", "/v1/organisations/o", "", errkind.NotFound},
	} {
		r.Expect(r.expectRefusal(c.method, c.path, c.body).Error.Kind).To(Equal(c.kind), c.method+" "+c.path)
	}
}

func TestFleetState(t *testing.T) {
	r := newFixture(t)
	r.control.Replicas = []controlapi.ReplicaStatus{{ID: 1, Role: "leader"}}
	now := time.Unix(1000, 0)
	upstreams := registry.New(time.Second)
	upstreams.Apply(announce.Announcement{ID: "u1", State: announce.StateServing}, now)
	r.options.Upstreams = func() []operatorapi.Upstream {
		return operatorapi.ListUpstreams(upstreams.Snapshot(), now.Add(3*time.Second), time.Second)
	}
	r.options.Ready = func() error { return errors.New("draining") }
	r.options.SendOrder = func(_ context.Context, o *operatorapi.OrderRequest) (*operatorapi.OrderReply, error) {
		return &operatorapi.OrderReply{OrderID: o.Order.ID, FencingNumber: 3, State: "done"}, nil
	}
	for path, want := range map[string]string{
		"/v1/status":    `"not_ready":"draining"`,
		"/v1/hosts":     `"session":"s1"`,
		"/v1/replicas":  `"role":"leader"`,
		"/v1/requests":  `{"requests":[]}`,
		"/v1/upstreams": `"age_ms":3000,"usable":false,"open_here":0`,
		"/v1/orders":    `{"orders":[]}`,
		"/v1/grants":    `{"grants":[]}`,
		"/v1/usage":     `{"budgets":[]}`,
	} {
		var raw json.RawMessage
		r.Expect(r.call(operatorKey, "GET", path, "", &raw)).To(Equal(http.StatusOK), path)
		r.Expect(string(raw)).To(ContainSubstring(want))
	}
	var sent operatorapi.OrderReply
	r.Expect(r.call(operatorKey, "POST", "/v1/orders", `{"upstream": "u", "order": {"id": "1", "action": "load"}}`, &sent)).To(Equal(http.StatusOK))
	r.Expect(sent.OrderID).To(Equal("1"))
	r.control.Unavailable = true
	r.Expect(r.expectRefusal("GET", "/v1/status", "").Error.Kind).To(Equal(errkind.ControlUnavailable))
}

func TestReplicaChangeIsIdempotent(t *testing.T) {
	r := newFixture(t)
	r.control.Replicas = []controlapi.ReplicaStatus{
		{ID: 1, Address: "127.0.0.2:1", Role: controlapi.RoleLeader},
		{ID: 4, Address: "127.0.0.5:1", Role: controlapi.RoleLearner},
	}
	var requested []controlapi.ReplicaChange
	r.options.ChangeReplica = func(_ context.Context, c *controlapi.ReplicaChange) error {
		requested = append(requested, *c)
		return nil
	}
	for _, applied := range []string{
		`{"action": "add", "id": 4, "address": "127.0.0.5:1"}`, `{"action": "promote", "id": 1}`,
		`{"action": "remove", "id": 9}`, `{"action": "lead", "id": 1}`,
	} {
		r.Expect(r.call(operatorKey, "POST", "/v1/replicas", applied, nil)).To(Equal(http.StatusOK))
	}
	r.Expect(requested).To(BeEmpty())
	for _, change := range []string{
		`{"action": "add", "id": 5, "address": "127.0.0.6:1"}`, `{"action": "promote", "id": 4}`,
		`{"action": "remove", "id": 4}`, `{"action": "lead", "id": 4}`,
	} {
		r.Expect(r.call(operatorKey, "POST", "/v1/replicas", change, nil)).To(Equal(http.StatusOK))
	}
	r.Expect(requested).To(HaveLen(4))
}

func FuzzApply(f *testing.F) {
	sum := sha256.Sum256([]byte(operatorKey))
	f.Add("/v1/apply", []byte(`{"operation_id":"1","writes":[{"record":{"kind":"class","name":"c","spec":{}},"if_revision":0}]}`))
	f.Add("/v1/orders", []byte(`{"upstream":"u","order":{"action":"load"}}`))
	f.Add("/v1/budgets/b/top-ups", []byte(`{"operation_id":"1","tokens":1}`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		if !strings.HasPrefix(path, "/v1/") || strings.ContainsAny(path, " \x00\r\n") {
			return
		}
		request, err := http.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		if err != nil {
			return
		}
		request.Header.Set("Authorization", "Bearer "+operatorKey)
		w := httptest.NewRecorder()
		handler := operatorapi.New(operatorapi.Options{Control: fakecontrol.New(), KeyHashes: []string{hex.EncodeToString(sum[:])}})
		handler.ServeHTTP(w, request)
		if w.Code == http.StatusInternalServerError {
			t.Fatalf("internal error: %s", w.Body)
		}
	})
}
