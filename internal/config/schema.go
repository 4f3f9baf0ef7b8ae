package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Schema versions of records. The versions differ in two kinds:
//   - a class has "priority" (1 is served first) in version 1 and "worth" (the highest is
//     served first) in version 2;
//   - a policy has a flat "allow" list of "service@upstream-pattern" in version 1, and
//     "services", "upstreams" and "zones" in version 2.
const (
	MinSchema = 1
	MaxSchema = 2
)

// MaxWorth is the maximum worth of a class. It corresponds to priority 1 in version 1.
const MaxWorth = 1000

// pairSeparator separates the service from the upstream pattern in a version 1 policy.
const pairSeparator = "@"

// ClassSpecV1 is the spec of a priority class in schema version 1.
type ClassSpecV1 struct {
	// Priority orders the classes; 1 is served first.
	Priority   int   `json:"priority"`
	DeadlineMS int64 `json:"deadline_ms"`
	QueueLimit int   `json:"queue_limit"`
}

// PolicySpecV1 is the spec of a policy in schema version 1.
type PolicySpecV1 struct {
	Organisation string `json:"organisation"`
	// Allow lists all allowed pairs of service and upstream pattern, as "service@pattern".
	Allow []string `json:"allow"`
}

// Convert returns r in schema version to. Fields that are unknown to all versions are
// preserved. It fails if the target version cannot represent the record.
func Convert(r Record, to int) (Record, error) {
	if r.Deleted || r.SchemaVersion == to {
		return r, nil
	}
	if !KnownSchema(r.SchemaVersion) || !KnownSchema(to) {
		return Record{}, eris.Errorf("no conversion of %s/%s from schema version %d to %d", r.Kind, r.Name, r.SchemaVersion, to)
	}
	spec, err := convertSpec(r, to)
	if err != nil {
		return Record{}, eris.Wrapf(err, "convert %s/%s to schema version %d", r.Kind, r.Name, to)
	}
	r.Spec = spec
	r.SchemaVersion = to
	return r, nil
}

// KnownSchema reports whether this program supports schema version v.
func KnownSchema(v int) bool { return MinSchema <= v && v <= MaxSchema }

func convertSpec(r Record, to int) (json.RawMessage, error) {
	switch {
	case r.Kind == KindClass && to == 1:
		return rewrite(r.Spec, classToV1)
	case r.Kind == KindClass:
		return rewrite(r.Spec, classToV2)
	case r.Kind == KindPolicy && to == 1:
		return rewrite(r.Spec, policyToV1)
	case r.Kind == KindPolicy:
		return rewrite(r.Spec, policyToV2)
	default:
		return r.Spec, nil
	}
}

// object is a JSON object with undecoded fields.
type object map[string]json.RawMessage

func (o object) get(field string, v any) error {
	raw, ok := o[field]
	if !ok {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(raw, v), "field %s", field)
}

func (o object) set(field string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return eris.Wrapf(err, "field %s", field)
	}
	o[field] = raw
	return nil
}

func rewrite(spec json.RawMessage, change func(object) error) (json.RawMessage, error) {
	var fields object
	if err := json.Unmarshal(spec, &fields); err != nil {
		return nil, eris.Wrap(err, "spec")
	}
	if err := change(fields); err != nil {
		return nil, err
	}
	out, err := json.Marshal(fields)
	return out, eris.Wrap(err, "spec")
}

func classToV1(o object) error { return reverseRank(o, "worth", "priority") }

func classToV2(o object) error { return reverseRank(o, "priority", "worth") }

// reverseRank replaces the rank in field from by its counterpart in field to, which
// counts in the opposite direction.
func reverseRank(o object, from, to string) error {
	var rank int
	if err := o.get(from, &rank); err != nil {
		return err
	}
	delete(o, from)
	return o.set(to, MaxWorth+1-rank)
}

func policyToV1(o object) error {
	var spec PolicySpec
	if err := decodePolicy(o, &spec); err != nil {
		return err
	}
	if len(spec.Zones) > 0 {
		return eris.New("version 1 cannot restrict zones")
	}
	allow := make([]string, 0, len(spec.Services)*len(spec.Upstreams))
	for _, service := range spec.Services {
		for _, upstream := range spec.Upstreams {
			allow = append(allow, service+pairSeparator+upstream)
		}
	}
	delete(o, "services")
	delete(o, "upstreams")
	delete(o, "zones")
	return o.set("allow", allow)
}

func decodePolicy(o object, spec *PolicySpec) error {
	if err := o.get("services", &spec.Services); err != nil {
		return err
	}
	if err := o.get("upstreams", &spec.Upstreams); err != nil {
		return err
	}
	return o.get("zones", &spec.Zones)
}

func policyToV2(o object) error {
	var allow []string
	if err := o.get("allow", &allow); err != nil {
		return err
	}
	services, upstreams, err := splitPairs(allow)
	if err != nil {
		return err
	}
	delete(o, "allow")
	if err := o.set("services", services); err != nil {
		return err
	}
	return o.set("upstreams", upstreams)
}

// splitPairs returns the services and upstream patterns whose Cartesian product is
// allow. It fails if there are none.
func splitPairs(allow []string) (services, upstreams []string, err error) {
	seen := make(map[string]bool, len(allow))
	for _, pair := range allow {
		service, upstream, ok := strings.Cut(pair, pairSeparator)
		if !ok {
			return nil, nil, eris.Errorf("%q is not service@upstream-pattern", pair)
		}
		if seen[pair] {
			return nil, nil, eris.Errorf("%q is listed twice", pair)
		}
		seen[pair] = true
		services = appendUnique(services, service)
		upstreams = appendUnique(upstreams, upstream)
	}
	if len(services)*len(upstreams) != len(allow) {
		return nil, nil, eris.New("does not list every pair of its services and upstreams; write one policy per group")
	}
	return services, upstreams, nil
}

func appendUnique(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}

// compact returns spec without insignificant whitespace.
func compact(spec json.RawMessage) (json.RawMessage, error) {
	var out bytes.Buffer
	if err := json.Compact(&out, spec); err != nil {
		return nil, eris.Wrap(err, "spec")
	}
	return out.Bytes(), nil
}
