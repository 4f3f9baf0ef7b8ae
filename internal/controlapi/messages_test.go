package controlapi_test

import (
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/controlapi"
)

// expectUniqueKeys checks that no two fields of a message or of a nested message have the
// same key. The encoder would omit both fields without an error.
func expectUniqueKeys(g *WithT, t reflect.Type, seen map[reflect.Type]bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct || seen[t] {
		return
	}
	seen[t] = true
	keys := map[string]string{}
	for i := range t.NumField() {
		field := t.Field(i)
		key, _, tagged := strings.Cut(field.Tag.Get("cbor"), ",")
		g.Expect(tagged || field.Anonymous).To(BeTrue(), "%s.%s has no key", t, field.Name)
		g.Expect(keys[key]).To(BeEmpty(), "%s.%s has key %s", t, field.Name, key)
		keys[key] = field.Name
		expectUniqueKeys(g, field.Type, seen)
	}
}

func TestMessageFieldKeysAreUnique(t *testing.T) {
	g := NewWithT(t)
	for _, message := range []any{
		controlapi.Command{}, controlapi.Result{}, controlapi.QueryRequest{}, controlapi.QueryReply{},
		controlapi.Heartbeat{}, controlapi.HeartbeatReply{}, controlapi.ReplicaChange{},
	} {
		expectUniqueKeys(g, reflect.TypeOf(message), map[reflect.Type]bool{})
	}
}
