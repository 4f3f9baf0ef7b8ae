package config_test

import (
	"encoding/json"
	"path"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/config"
)

func TestViewLookups(t *testing.T) {
	g := NewWithT(t)
	v := config.NewView(append(baseRecords(), record(config.KindService, "booking", 2,
		`{"kind":"plain","methods":[{"method":"GET","path":"/diary/*","repeatable":true},{"method":"POST","path":"/confirm","tokens":3}]}`)), 7)
	g.Expect(v.Revision()).To(Equal(uint64(7)))
	g.Expect(v.Faults()).To(BeEmpty())
	caller, ok := v.CallerByKeyHash(keyHash)
	g.Expect(ok).To(BeTrue())
	g.Expect(caller.Name).To(Equal("crier"))
	g.Expect(caller.Organisation).To(Equal("heraut"))

	call, ok := v.Method("booking", "GET", "/diary/2026")
	g.Expect(ok).To(BeTrue())
	g.Expect(call.Repeatable).To(BeTrue())
	_, ok = v.Method("booking", "DELETE", "/diary/2026")
	g.Expect(ok).To(BeFalse())
	_, ok = v.Method("booking", "GET", "/diary/2026/12")
	g.Expect(ok).To(BeFalse())
}

func TestWithKeepsOriginalView(t *testing.T) {
	g := NewWithT(t)
	v := config.NewView(baseRecords(), 1)
	next := v.With([]config.Record{deleted(config.KindPolicy, "all"), deleted(config.KindCaller, "crier")}, 2)
	g.Expect(v.Allowed("heraut", "proclaim", "engine-1", "z")).To(BeTrue())
	g.Expect(next.Allowed("heraut", "proclaim", "engine-1", "z")).To(BeFalse())
	_, ok := v.CallerByKeyHash(keyHash)
	g.Expect(ok).To(BeTrue())
	_, ok = next.CallerByKeyHash(keyHash)
	g.Expect(ok).To(BeFalse())
}

func TestViewOmitsUnreadableRecords(t *testing.T) {
	g := NewWithT(t)
	future := record(config.KindPolicy, "all", 9, `{}`)
	v := config.NewView(baseRecords(), 1).With([]config.Record{future}, 2)
	g.Expect(v.Faults()).To(HaveKey(future.ID()))
	g.Expect(v.Allowed("heraut", "proclaim", "engine-1", "z")).To(BeFalse())
}

func drawPolicyRecord(t *rapid.T) config.Record {
	pick := func(label string, from ...string) []string {
		return rapid.SliceOfN(rapid.SampledFrom(from), 1, 3).Draw(t, label)
	}
	spec, err := json.Marshal(config.PolicySpec{
		Organisation: rapid.SampledFrom([]string{"a", "b", "*"}).Draw(t, "organisation"),
		Services:     pick("services", "s1", "s2", "*"),
		Upstreams:    pick("upstreams", "u1", "u2", "u*", "[v]1", "*", `u\*`, "u?*"),
		Zones:        rapid.SliceOfN(rapid.SampledFrom([]string{"z1", "z2"}), 0, 2).Draw(t, "zones"),
	})
	if err != nil {
		t.Fatal(err)
	}
	name := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "name")
	r := record(config.KindPolicy, name, 2, string(spec))
	r.Deleted = rapid.Bool().Draw(t, "deleted")
	return r
}

// naiveAllowed is a reference implementation of View.Allowed: it evaluates the records
// one by one, without an index.
func naiveAllowed(records map[string]config.Record, organisation, service, upstream, zone string) bool {
	for _, r := range records {
		var spec config.PolicySpec
		if r.Deleted || json.Unmarshal(r.Spec, &spec) != nil {
			continue
		}
		matches := func(pattern string) bool {
			ok, _ := path.Match(pattern, upstream)
			return ok
		}
		if (spec.Organisation == organisation || spec.Organisation == "*") &&
			(slices.Contains(spec.Services, service) || slices.Contains(spec.Services, "*")) &&
			slices.ContainsFunc(spec.Upstreams, matches) &&
			(len(spec.Zones) == 0 || slices.Contains(spec.Zones, zone)) {
			return true
		}
	}
	return false
}

func TestAllowedMatchesNaiveImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		v := config.NewView(nil, 0)
		records := make(map[string]config.Record)
		for i, r := range rapid.SliceOfN(rapid.Custom(drawPolicyRecord), 1, 6).Draw(t, "changes") {
			records[r.Name] = r
			v = v.With([]config.Record{r}, uint64(i+1))
		}
		for _, organisation := range []string{"a", "b", "c"} {
			for _, service := range []string{"s1", "s2", "s3"} {
				for _, upstream := range []string{"u1", "u3", "v1", "u/1", "u*"} {
					for _, zone := range []string{"z1", "z3"} {
						g.Expect(v.Allowed(organisation, service, upstream, zone)).To(
							Equal(naiveAllowed(records, organisation, service, upstream, zone)), organisation+service+upstream+zone)
					}
				}
			}
		}
	})
}
