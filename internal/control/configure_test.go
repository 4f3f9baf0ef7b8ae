package control_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/control"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// configModel is a reference model of the configuration: it holds the current records
// and validates all of them after each change.
type configModel map[config.ID]config.Record

func (m configModel) write(c *controlapi.ConfigureRequest, revision uint64) errkind.Kind {
	after := maps.Clone(m)
	for _, w := range c.Writes {
		current, exists := m[w.Record.ID()]
		if w.Record.Deleted && !exists {
			return errkind.NotFound
		}
		if !w.Force && current.Revision != w.IfRevision {
			return errkind.Conflict
		}
		if w.Record.Deleted {
			delete(after, w.Record.ID())
			continue
		}
		w.Record.Revision = revision
		after[w.Record.ID()] = w.Record
	}
	if !after.valid() || len(c.Writes) == 2 && c.Writes[0].Record.ID() == c.Writes[1].Record.ID() {
		return errkind.InvalidRequest
	}
	clear(m)
	maps.Copy(m, after)
	return ""
}

// valid reports whether every reference resolves and no key is used twice.
func (m configModel) valid() bool {
	keys := make(map[string]bool)
	organisationOf := func(id config.ID) string {
		var spec config.BudgetSpec
		_ = json.Unmarshal(m[id].Spec, &spec)
		return spec.Organisation
	}
	for id := range m {
		organisation := organisationOf(id)
		if _, ok := m[config.ID{Kind: config.KindOrganisation, Name: organisation}]; !ok && id.Kind != config.KindOrganisation && id.Kind != config.KindClass {
			return false
		}
		if id.Kind != config.KindCaller {
			continue
		}
		var spec config.CallerSpec
		_ = json.Unmarshal(m[id].Spec, &spec)
		_, class := m[config.ID{Kind: config.KindClass, Name: spec.Class}]
		if !class || organisationOf(config.ID{Kind: config.KindBudget, Name: spec.Budget}) != organisation || keys[spec.KeyHash] {
			return false
		}
		keys[spec.KeyHash] = true
	}
	return true
}

// configHarness runs concurrent changes by operators, and hosts that fetch them,
// against a machine and the model.
type configHarness struct {
	*WithT
	machine  *control.Machine
	model    configModel
	revision uint64
	sent     []*controlapi.ConfigureRequest
	results  []*controlapi.Result
	hosts    []*config.View
}

func drawRecord(t *rapid.T) config.Record {
	two := func(label string) string { return rapid.SampledFrom([]string{"1", "2"}).Draw(t, label) }
	name := two("name")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return record(config.KindOrganisation, "o"+name, fmt.Sprintf(`{"display_name":%q}`, two("display")))
	case 1:
		return record(config.KindClass, "c"+name, `{"worth":1,"deadline_ms":1,"queue_limit":1}`)
	case 2:
		return record(config.KindBudget, "b"+name, fmt.Sprintf(`{"organisation":"o%s"}`, two("organisation")))
	default:
		return record(config.KindCaller, "k"+name, callerSpec("o"+two("organisation"), "c"+two("class"), "b"+two("budget"), two("key")))
	}
}

// changeRecords sends a change of one or two records. Some writes name a revision
// other than the current one of the record.
func (r *configHarness) changeRecords(t *rapid.T) {
	c := &controlapi.ConfigureRequest{OperationID: fmt.Sprint("operation-", len(r.sent))}
	for range rapid.IntRange(1, 2).Draw(t, "writes") {
		w := controlapi.ConfigWrite{Record: drawRecord(t), Force: rapid.IntRange(0, 9).Draw(t, "force") == 0}
		w.IfRevision = r.model[w.Record.ID()].Revision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			w.IfRevision = rapid.Uint64Range(0, r.revision).Draw(t, "revision")
		}
		w.Record.Deleted = rapid.IntRange(0, 4).Draw(t, "deleted") == 0
		c.Writes = append(c.Writes, w)
	}
	want := r.model.write(c, r.revision+1)
	result := r.machine.Execute(&controlapi.Command{Configure: c})
	r.sent = append(r.sent, c)
	r.results = append(r.results, result)
	r.Expect(responseOf(result).Refusal).To(Equal(want))
	if want == "" {
		r.revision++
		r.Expect(result.Configure.Revision).To(Equal(r.revision))
	}
}

// resendChange resends an earlier change, as an operator does after a lost reply.
func (r *configHarness) resendChange(t *rapid.T) {
	if len(r.sent) > 0 {
		i := rapid.IntRange(0, len(r.sent)-1).Draw(t, "operation")
		r.Expect(r.machine.Execute(&controlapi.Command{Configure: r.sent[i]})).To(Equal(r.results[i]))
	}
}

// syncHost updates one host to the current revision and compares it with the model.
func (r *configHarness) syncHost(t *rapid.T) {
	i := rapid.IntRange(0, len(r.hosts)-1).Draw(t, "host")
	records, full, current := r.machine.RecordsAfter(r.hosts[i].Revision())
	r.Expect(full).To(BeFalse())
	r.hosts[i] = r.hosts[i].With(records, current)
	all := r.machine.Query(&controlapi.QueryRequest{Records: "*"}).Records
	r.Expect(all).To(HaveLen(len(r.model)))
	for _, record := range all {
		r.Expect(record).To(Equal(r.model[record.ID()]))
	}
	r.Expect(r.hosts[i]).To(Equal(config.NewView(all, r.revision)))
}

func TestConfigMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &configHarness{WithT: NewWithT(t), machine: control.NewMachine(), model: configModel{}}
		r.machine.Execute(&controlapi.Command{OpenSession: &controlapi.OpenSession{Session: hostA, SchemaMin: 1, SchemaMax: 2}})
		for range 3 {
			r.hosts = append(r.hosts, config.NewView(nil, 0))
		}
		steps := []func(*rapid.T){r.changeRecords, r.changeRecords, r.changeRecords, r.changeRecords, r.resendChange, r.syncHost}
		for range rapid.IntRange(20, maxHarnessSteps).Draw(t, "steps") {
			rapid.SampledFrom(steps).Draw(t, "step")(t)
		}
	})
}
