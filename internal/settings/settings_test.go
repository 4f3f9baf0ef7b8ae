package settings_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/settings"
)

const validSettings = `{
  "host": "a", "zone": "z1", "data_dir": "/var/lib/godwitbend",
  "roles": ["entry", "control"], "replica_id": 1,
  "listen": {"callers": "127.0.0.2:8080", "hosts": "127.0.0.2:8081", "operators": "127.0.0.2:8082"},
  "replicas": [{"id": 1, "address": "127.0.0.2:8081"}, {"id": 2, "address": "127.0.0.3:8081"}],
  "bootstrap": true, "tls": {"plaintext": true}, "config_lease": "2s"
}`

func TestLoadAppliesDefaults(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "settings.json")
	g.Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
	s, err := settings.Load(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.ConfigLease.Duration).To(Equal(2 * time.Second))
	g.Expect(s.UpstreamTimeout.Duration).To(Equal(3 * time.Second))
	g.Expect(s.ReplicaAddresses()).To(HaveKeyWithValue(uint64(2), "127.0.0.3:8081"))
	g.Expect(s.HasRole(settings.RoleControl)).To(BeTrue())
}

func TestSettingsRoundTrip(t *testing.T) {
	g := NewWithT(t)
	first, err := settings.Parse([]byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	data, err := json.Marshal(first)
	g.Expect(err).NotTo(HaveOccurred())
	second, err := settings.Parse(data)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second).To(Equal(first))
}

// faultPaths parses text and returns the paths of its faults.
func faultPaths(t *testing.T, text string) []string {
	t.Helper()
	_, err := settings.Parse([]byte(text))
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("Parse of %s returned no Faults: %v", text, err)
	}
	list := make([]string, len(faults))
	for i, f := range faults {
		list[i] = f.Path
	}
	return list
}

func TestParseReportsFaultPath(t *testing.T) {
	for _, c := range []struct{ old, new, path string }{
		{`"host": "a"`, `"host": ""`, "host"},
		{`"host": "a"`, `"host": 7`, "host"},
		{`"host": "a"`, `"host": null`, "host"},
		{`"host": "a"`, `"host": "a", "host": "b"`, "host"},
		{`"host": "a"`, `"host": "a", "hosts": "b"`, "hosts"},
		{`"zone": "z1"`, `"zone": "z 1"`, "zone"},
		{`"data_dir": "/var/lib/godwitbend"`, `"data_dir": ""`, "data_dir"},
		{`["entry", "control"]`, `["entry", "control", "entry"]`, "roles[2]"},
		{`["entry", "control"]`, `["entry", "control", "proxy"]`, "roles[2]"},
		{`"replica_id": 1`, `"replica_id": 3`, "replica_id"},
		{`"replica_id": 1`, `"replica_id": 0`, "replica_id"},
		{`"replica_id": 1`, `"replica_id": -1`, "replica_id"},
		{`"replica_id": 1`, `"replica_id": 2`, "listen.hosts"},
		{`"callers": "127.0.0.2:8080"`, `"callers": "localhost:8080"`, "listen.callers"},
		{`"callers": "127.0.0.2:8080"`, `"callers": "127.0.0.2:8082"`, "listen.operators"},
		{`"hosts": "127.0.0.2:8081"`, `"hosts": "0.0.0.0:8081"`, "listen.hosts"},
		{`{"id": 2, "address": "127.0.0.3:8081"}`, `{"id": 1, "address": "127.0.0.3:8081"}`, "replicas[1].id"},
		{`"127.0.0.3:8081"`, `"127.0.0.2:8081"`, "replicas[1].address"},
		{`"127.0.0.3:8081"`, `"127.0.0.3:0"`, "replicas[1].address"},
		{`"127.0.0.3:8081"`, `"127.0.0.3:8081", "zone": "z"`, "replicas[1].zone"},
		{`{"plaintext": true}`, `{"plaintext": true, "ca_file": "ca.pem"}`, "tls.ca_file"},
		{`{"plaintext": true}`, `{"ca_file": "ca.pem", "cert_file": "c.pem"}`, "tls.key_file"},
		{`{"plaintext": true}`, `{"plaintext": true, "operators": true}`, "tls.operators"},
		{`{"plaintext": true}`, `{"plaintext": "yes", "ca_file": "a", "cert_file": "c", "key_file": "k"}`, "tls.plaintext"},
		{`"bootstrap": true`, `"operator_key_hashes": ["ABC"]`, "operator_key_hashes[0]"},
		{`"bootstrap": true`, `"operator_key_hashes": "abc"`, "operator_key_hashes"},
		{`"config_lease": "2s"`, `"config_lease": 2`, "config_lease"},
		{`"config_lease": "2s"`, `"config_lease": "-2s"`, "config_lease"},
		{`"config_lease": "2s"`, `"config_lease": "2 s"`, "config_lease"},
		{`"config_lease": "2s"`, `"config_lease": "2h"`, "config_lease"},
		{`"config_lease": "2s"`, `"tick": "0s"`, "tick"},
		{`"config_lease": "2s"`, `"upstream_timeout": "1s"`, "upstream_timeout"},
		{`"config_lease": "2s"`, `"drain_delay": "-1s"`, "drain_delay"},
		{`"config_lease": "2s"`, `"election_ticks": 2`, "election_ticks"},
		{`"config_lease": "2s"`, `"heartbeat_ticks": 0`, "heartbeat_ticks"},
		{`"config_lease": "2s"`, `"snapshot_entries": 1.5`, "snapshot_entries"},
		{`"config_lease": "2s"`, `"limits": {"body_bytes": 0}`, "limits.body_bytes"},
		{`"config_lease": "2s"`, `"limits": {"header_bytes": 1}`, "limits.header_bytes"},
		{`"config_lease": "2s"`, `"limits": {"idempotency_key_bytes": 0}`, "limits.idempotency_key_bytes"},
		{`"config_lease": "2s"`, `"limits": {"caller_concurrency": 0}`, "limits.caller_concurrency"},
		{`"config_lease": "2s"`, `"log": {"level": "loud"}`, "log.level"},
		{`"config_lease": "2s"`, `"log": []`, "log"},
	} {
		t.Run(c.new, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(strings.Count(validSettings, c.old)).To(BeNumerically(">=", 1))
			g.Expect(faultPaths(t, strings.Replace(validSettings, c.old, c.new, 1))).To(Equal([]string{c.path}))
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	text := `{"hst": "a", "zone": 3, "listen": {"hosts": "x"}, "tls": {}, "tick": 50}`
	g.Expect(faultPaths(t, text)).To(ConsistOf("hst", "zone", "tick", "host", "listen.callers", "listen.hosts",
		"listen.operators", "replicas", "tls.ca_file", "tls.cert_file", "tls.key_file"))
}

func TestSyntaxErrorReportsLine(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte("{\n\"host\" \"a\"}"))
	g.Expect(err).To(MatchError(ContainSubstring("line 2")))
	g.Expect(faultPaths(t, `[]`)).To(ContainElement(""))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"replicas":[null],"roles":[1]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		if err != nil {
			return
		}
		if err := s.Check(); err != nil {
			t.Fatalf("Check refused settings that Parse accepted: %v", err)
		}
	})
}
