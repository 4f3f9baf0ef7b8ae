package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"
)

// Duration is a time.Duration whose JSON form is a string such as "50ms".
type Duration struct {
	time.Duration
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`must be a duration in a string, such as "500ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf(`%q is not a duration such as "500ms" or "10s"`, text)
	}
	d.Duration = parsed
	return nil
}

// decodeJSON decodes data into the struct to which target points. It returns all
// faults of the form: unknown or repeated fields, null, and values of the wrong type.
func decodeJSON(data []byte, target any) Faults {
	if !json.Valid(data) {
		return Faults{{Message: syntaxMessage(data)}}
	}
	var d decoder
	d.decodeValue(data, reflect.ValueOf(target).Elem(), "")
	return d.faults
}

func syntaxMessage(data []byte) string {
	var ignored any
	err := json.Unmarshal(data, &ignored)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line := 1 + bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n"))
		return fmt.Sprintf("not JSON: line %d: %v", line, err)
	}
	return fmt.Sprintf("not JSON: %v", err)
}

// decoder decodes valid JSON and collects the faults of its form.
type decoder struct {
	faults Faults
}

func (d *decoder) addFault(path, format string, args ...any) {
	d.faults = append(d.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeValue(raw json.RawMessage, v reflect.Value, path string) {
	_, custom := v.Addr().Interface().(json.Unmarshaler)
	switch {
	case string(bytes.TrimSpace(raw)) == "null":
		d.addFault(path, "must not be null")
	case custom:
		d.decodeScalar(raw, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeObject(raw, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeArray(raw, v, path)
	default:
		d.decodeScalar(raw, v, path)
	}
}

func (d *decoder) decodeScalar(raw json.RawMessage, v reflect.Value, path string) {
	err := json.Unmarshal(raw, v.Addr().Interface())
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mismatch):
		d.addFault(path, "must be %s, not %s", typeName(v.Type()), mismatch.Value)
	case err != nil:
		d.addFault(path, "%v", err)
	}
}

func (d *decoder) decodeArray(raw json.RawMessage, v reflect.Value, path string) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		d.addFault(path, "must be an array")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(items), len(items)))
	for i, item := range items {
		d.decodeValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeObject(raw json.RawMessage, v reflect.Value, path string) {
	stream := json.NewDecoder(bytes.NewReader(raw))
	if open, err := stream.Token(); err != nil || open != json.Delim('{') {
		d.addFault(path, "must be an object")
		return
	}
	fields := fieldsByName(v)
	seen := map[string]bool{}
	for stream.More() {
		name, item, err := nextMember(stream)
		if err != nil {
			d.addFault(path, "%v", err)
			return
		}
		child := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		switch {
		case !known:
			d.addFault(child, "unknown field")
		case seen[name]:
			d.addFault(child, "field is repeated")
		default:
			d.decodeValue(item, field, child)
		}
		seen[name] = true
	}
}

func nextMember(stream *json.Decoder) (string, json.RawMessage, error) {
	token, err := stream.Token()
	if err != nil {
		return "", nil, err
	}
	name, ok := token.(string)
	if !ok {
		return "", nil, io.ErrUnexpectedEOF
	}
	var item json.RawMessage
	err = stream.Decode(&item)
	return name, item, err
}

func fieldsByName(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "a whole number from 0"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
