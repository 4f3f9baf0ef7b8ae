package config

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decodeSpec decodes the spec of l's record into v, a pointer to a struct. It adds a
// fault for each field of the wrong type or in the wrong case, and for each of the
// fields otherVersion, which are known only to another schema version.
func decodeSpec(l *faultList, v any, otherVersion ...string) {
	var fields object
	if err := json.Unmarshal(l.record.Spec, &fields); err != nil || fields == nil {
		l.add("spec", "is not a JSON object")
		return
	}
	addCaseFaults(l, fields, reflect.TypeOf(v).Elem())
	addOtherVersionFaults(l, fields, otherVersion)
	decodeFields(l, fields, v)
}

// decodeFields decodes fields into v. It adds a fault for a field of the wrong type
// and drops it, so that the other fields are still decoded. The fault contains the name
// of the Go type; replicas store it, so the exported types of specs keep their names.
func decodeFields(l *faultList, fields object, v any) {
	for {
		raw, err := json.Marshal(fields)
		if err != nil {
			l.add("spec", "%v", err)
			return
		}
		err = json.Unmarshal(raw, v)
		if err == nil {
			return
		}
		var typeError *json.UnmarshalTypeError
		if !errors.As(err, &typeError) {
			l.add("spec", "%v", err)
			return
		}
		l.add("spec."+typeError.Field, "is a %s, want %s", typeError.Value, typeError.Type)
		first, _, _ := strings.Cut(typeError.Field, ".")
		if _, ok := fields[first]; !ok {
			return
		}
		delete(fields, first)
	}
}

func addOtherVersionFaults(l *faultList, fields object, otherVersion []string) {
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		for _, name := range otherVersion {
			if strings.EqualFold(field, name) {
				l.add("spec."+field, "belongs to another schema version than %d", l.record.SchemaVersion)
			}
		}
	}
}

// addCaseFaults adds a fault for each field that differs from a known field only in
// case: encoding/json would decode it, but Convert would not convert it.
func addCaseFaults(l *faultList, fields object, known reflect.Type) {
	for i := range known.NumField() {
		name, _, _ := strings.Cut(known.Field(i).Tag.Get("json"), ",")
		for _, field := range slices.Sorted(maps.Keys(fields)) {
			if field != name && strings.EqualFold(field, name) {
				l.add("spec."+field, "is written %q", name)
			}
		}
	}
}
