package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/godwitbend/godwitbend/internal/config"
)

func drawNames(t *rapid.T, label string) []string {
	return rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z][a-z0-9-]{0,5}`), 1, 4, rapid.ID[string]).Draw(t, label)
}

// drawClass draws a class with a field that is unknown to all versions.
func drawClass(t *rapid.T) config.Record {
	worth := rapid.IntRange(1, config.MaxWorth).Draw(t, "worth")
	return record(config.KindClass, "c", 2, fmt.Sprintf(`{"worth":%d,"deadline_ms":5,"queue_limit":6,"x_note":{"a":[%d]}}`, worth, worth))
}

func drawPolicy(t *rapid.T) config.Record {
	spec, err := json.Marshal(map[string]any{
		"organisation": "*", "services": drawNames(t, "services"), "upstreams": drawNames(t, "upstreams"), "x_note": "kept",
	})
	if err != nil {
		t.Fatal(err)
	}
	return record(config.KindPolicy, "p", 2, string(spec))
}

func TestConvertRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		r := rapid.Custom(drawClass).Draw(t, "class")
		if rapid.Bool().Draw(t, "policy") {
			r = rapid.Custom(drawPolicy).Draw(t, "record")
		}
		old, err := config.Convert(r, 1)
		g.Expect(err).NotTo(HaveOccurred())
		_, faults := config.CheckRecord(old)
		g.Expect(faults).To(BeEmpty())
		back, err := config.Convert(old, 2)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(back.Spec).To(MatchJSON(r.Spec))
		g.Expect(back.SchemaVersion).To(Equal(2))
	})
}

func TestConvertKeepsUnknownFields(t *testing.T) {
	g := NewWithT(t)
	r := record(config.KindClass, "gold", 2, `{"worth":1000,"deadline_ms":5,"queue_limit":6,"preempts":["bronze"]}`)
	old, err := config.Convert(r, 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.Spec).To(MatchJSON(`{"priority":1,"deadline_ms":5,"queue_limit":6,"preempts":["bronze"]}`))

	var fields map[string]json.RawMessage
	g.Expect(json.Unmarshal(old.Spec, &fields)).To(Succeed())
	fields["priority"] = json.RawMessage("3")
	old.Spec, err = json.Marshal(fields)
	g.Expect(err).NotTo(HaveOccurred())
	back, err := config.Convert(old, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back.Spec).To(MatchJSON(`{"worth":998,"deadline_ms":5,"queue_limit":6,"preempts":["bronze"]}`))
}

func TestConvertToVersion1RejectsZones(t *testing.T) {
	g := NewWithT(t)
	r := record(config.KindPolicy, "p", 2, `{"organisation":"*","services":["s"],"upstreams":["*"],"zones":["a"]}`)
	_, err := config.Convert(r, 1)
	g.Expect(err).To(MatchError(ContainSubstring("zones")))
	_, faults := config.NewStore().Check([]config.Record{r}, 1)
	g.Expect(faultPaths(faults)).To(Equal([]string{"schema_version"}))
}

func TestConvertAllIsAtomic(t *testing.T) {
	g := NewWithT(t)
	zoned := record(config.KindPolicy, "zoned", 2, `{"organisation":"heraut","services":["proclaim"],"upstreams":["*"],"zones":["a"]}`)
	s := newStore(g, append(baseRecords(), zoned)...)
	g.Expect(s.ConvertAll(1)).NotTo(Succeed())
	for _, r := range s.Records() {
		g.Expect(r.SchemaVersion).To(Equal(2))
	}
}
