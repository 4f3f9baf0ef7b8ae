package ctl_test

import (
	"encoding/pem"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/settings"
)

func TestExitCodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		create := []string{"organisation", "create", "o"}
		r.Expect(r.run("--help")).To(Equal(0))
		r.Expect(r.run("sing")).To(Equal(2))
		r.Expect(r.run("organisation", "create")).To(Equal(2))
		r.Expect(r.run("--server", ",", "status")).To(Equal(2))
		r.Expect(r.runWithoutKey("status")).To(Equal(6))
		r.Expect(r.runWithoutKey("--key-file", r.writeFile("other.key", "x"), "status")).To(Equal(6))
		r.Expect(r.runWithoutKey("--key-file", filepath.Join(r.dir, "absent"), "status")).To(Equal(1))
		r.Expect(r.run("organisation", "get", "o")).To(Equal(5))
		r.Expect(r.run("organisation", "delete", "o")).To(Equal(5))
		r.Expect(r.run(create...)).To(Equal(0))
		r.Expect(r.run(create...)).To(Equal(4))
		r.Expect(r.stderr.String()).To(ContainSubstring("current record: organisation o, revision 1: {}"))
		r.Expect(r.run("organisation", "apply", "o", "--if-revision", "7")).To(Equal(4))
		r.Expect(r.run("budget", "create", "b", "--organisation", "absent")).To(Equal(2))
		r.Expect(r.run("budget", "top-up", "b", "--tokens", "0")).To(Equal(2))
		r.Expect(r.run("order", "u1", "--action", "sing")).To(Equal(2))
		r.control.PendingReplies = 1000
		r.Expect(r.run("organisation", "apply", "o", "--disabled")).To(Equal(3))
		r.Expect(r.stderr.String()).To(ContainSubstring("--operation-id"))
		r.Expect(r.run("--no-wait", "organisation", "apply", "o")).To(Equal(3))
		r.control.Unavailable = true
		r.Expect(r.run("status")).To(Equal(7))
	})
}

func TestChangeWaitsUntilAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.control.PendingReplies = 4
		start := time.Now()
		r.Expect(r.mustRun("organisation", "create", "o")).To(ContainSubstring("accepted"))
		r.Expect(time.Since(start)).To(BeNumerically(">", 0))
		r.Expect(r.mustRun("config", "history")).To(ContainSubstring("op-1"))
		r.Expect(strings.Count(r.stdout.String(), "\n")).To(Equal(2))
	})
}

func TestOrderWaitsUntilEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		load := []string{"order", "u1", "--action", "load", "--model", "m", "--model-version", "7"}
		r.orderStates = []controlapi.OrderState{controlapi.OrderPending, controlapi.OrderPending, controlapi.OrderDone}
		r.expectOutput(`
ORDER  FENCING NUMBER  STATE
op-1   3               done
`, load...)
		r.orderStates = []controlapi.OrderState{controlapi.OrderFailed}
		r.Expect(r.run(load...)).To(Equal(8))
		r.orderStates = []controlapi.OrderState{controlapi.OrderPending}
		r.Expect(r.run(load...)).To(Equal(3))
		r.Expect(r.stderr.String()).To(ContainSubstring("--operation-id op-3"))
		r.execute(&controlapi.Command{PlaceOrder: &controlapi.PlaceOrder{
			Upstream: "u1", Order: announce.Order{ID: "x", Action: announce.ActionLoad, Model: "m"},
		}})
		r.expectOutput(`
ORDER  UPSTREAM  ACTION  MODEL  VERSION  ADAPTER  ROLE  STATE    DETAIL
x      u1        load    m                              pending  
`, "orders")
	})
}

func TestClientTriesNextServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.servers["127.0.0.3:8082"] = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "bad gateway", http.StatusBadGateway)
		})
		r.mustRun("--server", "127.0.0.2:8082,127.0.0.3:8082", "--server", "http://127.0.0.1:8082/", "status")
		r.Expect(r.requests).To(Equal(3))
		r.Expect(r.run("--server", "127.0.0.2:8082", "--timeout", "2s", "status")).To(Equal(7))
	})
}

func TestLostReplyIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.createBaseRecords()
		r.control.LostReplies = 2
		r.Expect(r.mustRun("budget", "top-up", "b", "--tokens", "100")).To(ContainSubstring(" 100 "))
		r.control.LostReplies = 1000
		r.Expect(r.run("budget", "top-up", "b", "--tokens", "50")).To(Equal(7))
		r.Expect(r.stderr.String()).To(ContainSubstring("--operation-id op-5"))
		r.control.LostReplies = 0
		r.Expect(r.mustRun("budget", "top-up", "b", "--tokens", "50", "--operation-id", "op-5")).To(ContainSubstring(" 150 "))
	})
}

// A change that depends on the current record is identified by its operation id. Without
// that, repeating the command would send a different request, because the record has changed.
func TestRepeatedCommandChangesOnce(t *testing.T) {
	for _, args := range [][]string{
		{"organisation", "apply", "o", "--disabled"},
		{"organisation", "delete", "o"},
		{"apply", "-f", "-"},
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			r.stdin = `{"kind": "organisation", "name": "o", "spec": {"disabled": true}}`
			r.mustRun("organisation", "create", "o")
			r.control.LostReplies = 1000
			r.Expect(r.run(args...)).To(Equal(7))
			r.Expect(r.stderr.String()).To(ContainSubstring("--operation-id op-2"))
			r.control.LostReplies = 0
			again := append([]string{"--operation-id", "op-2"}, args...)
			r.Expect(r.run(again...)).To(Equal(3))
			r.control.HostRevision = 2
			r.Expect(r.mustRun(again...)).To(ContainSubstring("accepted  2         op-2"))
			r.Expect(strings.Count(r.mustRun("config", "history"), "\n")).To(Equal(3))
		})
	}
}

func TestRepeatedCreateHidesUnusedKey(t *testing.T) {
	r := newRig(t)
	r.createBaseRecords()
	create := append([]string{"--operation-id", "x"}, createCaller...)
	r.mustRun(append(create, "--caller-key-file", r.writeFile("caller.key", "gwb_first"))...)
	r.Expect(r.run(create...)).To(Equal(4))
	r.Expect(r.stdout.String()).To(BeEmpty())
}

func TestClientUsesHTTPS(t *testing.T) {
	r := newRig(t)
	server := httptest.NewUnstartedServer(r.servers["127.0.0.1:8082"])
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.StartTLS()
	t.Cleanup(server.Close)
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	ca := r.writeFile("ca.pem", string(pem.EncodeToMemory(block)))
	address := server.Listener.Addr().String()
	r.mustRun("--server", address, "--ca-file", ca, "status")
	r.mustRun("certs", "--dir", filepath.Join(r.dir, "other"), "--host", "a=127.0.0.1")
	other := filepath.Join(r.dir, "other", "ca.pem")
	r.Expect(r.run("--server", address, "--ca-file", other, "--timeout", "1ms", "status")).To(Equal(7))
	r.Expect(r.run("--server", address, "--ca-file", r.writeFile("empty.pem", ""), "status")).To(Equal(1))
}

func TestCertificates(t *testing.T) {
	r := newRig(t)
	dir := filepath.Join(r.dir, "certs")
	certs := []string{"certs", "--dir", dir, "--host", "a=127.0.0.2,127.0.0.3"}
	r.Expect(strings.Count(r.mustRun(certs...), ".pem")).To(Equal(4))
	r.Expect(r.run(certs...)).To(Equal(2))
	r.Expect(strings.Count(r.mustRun(append(certs, "--renew")...), ".pem")).To(Equal(2))
	r.mustRun("certs", "--dir", dir, "--host", "b=127.0.0.4")
	_, err := hosttls.New(settings.TLS{
		CAFile: filepath.Join(dir, "ca.pem"), CertFile: filepath.Join(dir, "b.pem"), KeyFile: filepath.Join(dir, "b-key.pem"),
	})
	r.Expect(err).NotTo(HaveOccurred())
	key, err := os.Stat(filepath.Join(dir, "ca-key.pem"))
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(key.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	for _, bad := range []string{"a", "a=", "a=host", "=127.0.0.2", "../a=127.0.0.2", "ca=127.0.0.2"} {
		r.Expect(r.run("certs", "--dir", dir, "--host", bad)).To(Equal(2), bad)
	}
}
