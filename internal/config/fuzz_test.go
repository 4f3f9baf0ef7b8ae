package config_test

import (
	"encoding/json"
	"testing"

	"github.com/godwitbend/godwitbend/internal/config"
)

// FuzzSpec checks that each spec without faults is valid JSON, is convertible to the
// newest version, and has no faults in any version to which it is convertible.
func FuzzSpec(f *testing.F) {
	for _, r := range baseRecords() {
		f.Add(string(r.Kind), r.SchemaVersion, string(r.Spec))
	}
	f.Add(string(config.KindClass), 1, `{"priority":1,"deadline_ms":1,"queue_limit":1}`)
	f.Add(string(config.KindPolicy), 1, `{"organisation":"*","allow":["a@b*","a@c"]}`)
	f.Fuzz(func(t *testing.T, kind string, version int, spec string) {
		r := record(config.Kind(kind), "name", version, spec)
		if _, faults := config.CheckRecord(r); len(faults) > 0 {
			return
		}
		if !json.Valid(r.Spec) {
			t.Fatal("CheckRecord accepted invalid JSON")
		}
		for to := config.MinSchema; to <= config.MaxSchema; to++ {
			converted, err := config.Convert(r, to)
			if err != nil && to == config.MaxSchema {
				t.Fatal(err)
			}
			if err != nil {
				continue
			}
			if _, faults := config.CheckRecord(converted); len(faults) > 0 {
				t.Fatal(faults)
			}
		}
	})
}
