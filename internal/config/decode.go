package config

import (
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decodeSpec decodes the spec of l's record into v, a pointer to a struct, and
// lists each field that has the wrong type or the wrong case, and each that
// another schema version would take for one of its own.
func decodeSpec(l *faultList, v any, foreign ...string) {
	var fields object
	if err := json.Unmarshal(l.record.Spec, &fields); err != nil || fields == nil {
		l.add("spec", "is not a JSON object")
		return
	}
	addCaseFaults(l, fields, reflect.TypeOf(v).Elem())
	addForeignFaults(l, fields, foreign)
	decodeFields(l, fields, v)
}

// decodeFields decodes fields into v. A field of the wrong type is listed and
// left out, so that the others are decoded all the same.
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

func addForeignFaults(l *faultList, fields object, foreign []string) {
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		for _, name := range foreign {
			if strings.EqualFold(field, name) {
				l.add("spec."+field, "belongs to another schema version than %d", l.record.SchemaVersion)
			}
		}
	}
}

// addCaseFaults lists the fields that differ from a known field only in case.
// They would be decoded, but not converted.
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
