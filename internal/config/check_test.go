package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
)

const keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

func record(kind config.Kind, name string, version int, spec string) config.Record {
	return config.Record{Kind: kind, Name: name, SchemaVersion: version, Spec: json.RawMessage(spec)}
}

func faultPaths(faults config.Faults) []string {
	var list []string
	for _, f := range faults {
		list = append(list, f.Path)
	}
	return list
}

func TestCheckRecordListsAllFaults(t *testing.T) {
	cases := []struct {
		record config.Record
		paths  []string
	}{
		{record(config.KindOrganisation, "heraut", 2, `{"display_name":"Heraut & Klok"}`), nil},
		{record(config.KindOrganisation, "-x", 2, `{"disabled":"yes","Display_Name":"x"}`), []string{"name", "spec.Display_Name", "spec.disabled"}},
		{record(config.KindOrganisation, "heraut", 3, `{}`), []string{"schema_version"}},
		{record(config.KindOrganisation, "heraut", 2, `[]`), []string{"spec"}},
		{record("router", "x", 2, `{}`), []string{"kind"}},
		{
			record(config.KindCaller, "crier", 2, `{"organisation":"","class":"a b","budget":"b","key_hash":"AB","max_concurrent":-1}`),
			[]string{"spec.organisation", "spec.class", "spec.key_hash", "spec.max_concurrent"},
		},
		{
			record(config.KindClass, "gold", 2, `{"worth":0,"deadline_ms":"2s","queue_limit":1.5,"priority":1}`),
			[]string{"spec.priority", "spec.deadline_ms", "spec.queue_limit", "spec.worth", "spec.deadline_ms"},
		},
		{record(config.KindClass, "gold", 2, `{"worth":1,"deadline_ms":1,"queue_limit":-1}`), []string{"spec.queue_limit"}},
		{record(config.KindClass, "gold", 2, `{"worth":1,"deadline_ms":1}`), nil},
		{
			record(config.KindClass, "gold", 1, `{"priority":1001,"deadline_ms":1,"queue_limit":1,"worth":3}`),
			[]string{"spec.worth", "spec.priority"},
		},
		{
			record(config.KindPolicy, "p", 2, `{"organisation":"*","services":["ok","b/d"],"upstreams":["[a"],"zones":["z",""]}`),
			[]string{"spec.services[1]", "spec.upstreams[0]", "spec.zones[1]"},
		},
		{
			record(config.KindPolicy, "p", 1, `{"organisation":"*","allow":["a@x","b@y","c"]}`),
			[]string{"spec.allow[2]", "spec.allow"},
		},
		{
			record(config.KindService, "s", 2, `{"kind":"plain","methods":[{"method":"FETCH","path":"x"},{"method":"GET","path":"/[","tokens":-1}]}`),
			[]string{"spec.methods[0].method", "spec.methods[0].path", "spec.methods[1].path", "spec.methods[1].tokens"},
		},
		{record(config.KindService, "s", 2, `{"kind":"model","methods":[{"method":"GET","path":"/"}]}`), []string{"spec.methods"}},
	}
	for i, c := range cases {
		t.Run(fmt.Sprint(i, c.record.Kind), func(t *testing.T) {
			g := NewWithT(t)
			_, faults := config.CheckRecord(c.record)
			g.Expect(faultPaths(faults)).To(Equal(c.paths), faults.Error())
		})
	}
}

func TestValidName(t *testing.T) {
	g := NewWithT(t)
	g.Expect(config.ValidName(strings.Repeat("a", config.MaxNameBytes))).To(BeTrue())
	g.Expect(config.ValidName(strings.Repeat("a", config.MaxNameBytes+1))).To(BeFalse())
	for _, bad := range []string{"", ".a", "a b", "a/b", "é"} {
		g.Expect(config.ValidName(bad)).To(BeFalse(), bad)
	}
}

// baseRecords returns a consistent configuration.
func baseRecords() []config.Record {
	return []config.Record{
		record(config.KindOrganisation, "heraut", 2, `{}`),
		record(config.KindClass, "gold", 2, `{"worth":10,"deadline_ms":1000,"queue_limit":10}`),
		record(config.KindService, "proclaim", 2, `{"kind":"model"}`),
		record(config.KindBudget, "main", 2, `{"organisation":"heraut"}`),
		record(config.KindCaller, "crier", 2, callerSpec("heraut", "main", keyHash)),
		record(config.KindPolicy, "all", 2, `{"organisation":"heraut","services":["proclaim"],"upstreams":["*"]}`),
	}
}

func callerSpec(organisation, budget, hash string) string {
	return fmt.Sprintf(`{"organisation":%q,"class":"gold","budget":%q,"key_hash":%q}`, organisation, budget, hash)
}

func newStore(g *WithT, records ...config.Record) *config.Store {
	s := config.NewStore()
	change, faults := s.Check(records, 2)
	g.Expect(faults).To(BeEmpty())
	s.Apply(change)
	return s
}

func deleted(kind config.Kind, name string) config.Record {
	return config.Record{Kind: kind, Name: name, Deleted: true}
}

func TestCheckRejectsBrokenReferences(t *testing.T) {
	otherHash := strings.Repeat("ab", 32)
	second := record(config.KindOrganisation, "second", 2, `{}`)
	cases := []struct {
		name   string
		writes []config.Record
		paths  []string
	}{
		{"missing budget", []config.Record{record(config.KindCaller, "c", 2, callerSpec("heraut", "none", otherHash))}, []string{"spec.budget"}},
		{"budget of another organisation", []config.Record{second, record(config.KindCaller, "c", 2, callerSpec("second", "main", otherHash))}, []string{"spec.budget"}},
		{"key of another caller", []config.Record{record(config.KindCaller, "c", 2, callerSpec("heraut", "main", keyHash))}, []string{"spec.key_hash"}},
		{"key handed over", []config.Record{
			record(config.KindCaller, "c", 2, callerSpec("heraut", "main", keyHash)),
			record(config.KindCaller, "crier", 2, callerSpec("heraut", "main", otherHash)),
		}, nil},
		{"referenced class deleted", []config.Record{deleted(config.KindClass, "gold")}, []string{"spec.class"}},
		{"referenced service deleted", []config.Record{deleted(config.KindService, "proclaim")}, []string{"spec.services[0]"}},
		{"budget moved away from its caller", []config.Record{second, record(config.KindBudget, "main", 2, `{"organisation":"second"}`)}, []string{"spec.budget"}},
		{"class deleted with its caller", []config.Record{deleted(config.KindClass, "gold"), deleted(config.KindCaller, "crier")}, nil},
		{"written twice", []config.Record{second, second}, []string{"name"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, faults := newStore(g, baseRecords()...).Check(c.writes, 2)
			g.Expect(faultPaths(faults)).To(Equal(c.paths), faults.Error())
		})
	}
}
