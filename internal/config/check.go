package config

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"
)

// Limits on the fields of records.
const (
	// MaxSpecBytes is the maximum length of the JSON of a spec, in bytes.
	MaxSpecBytes = 16 << 10
	// MaxListItems is the maximum length of each list of a spec.
	MaxListItems = 256
	// MaxDisplayNameBytes is the maximum length of a display name, in bytes.
	MaxDisplayNameBytes = 256
	// MaxPatternBytes is the maximum length of a path.Match pattern, in bytes.
	MaxPatternBytes = 128
	// MaxDeadlineMS is the maximum deadline of a class, in milliseconds.
	MaxDeadlineMS = 3_600_000
	// MaxQueueLimit is the maximum queue limit of a class on one host, in requests.
	MaxQueueLimit = 100_000
	// MaxConcurrent is the maximum limit on the in-flight requests of a caller on one
	// host.
	MaxConcurrent = 100_000
	// MaxRequestTokens is the maximum number of tokens of a request.
	MaxRequestTokens = 1 << 40
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// CheckRecord validates a single record without its references to other records. It
// returns the typed spec in the newest schema version and the faults. The spec is nil
// if r is deleted or has an invalid kind, schema version or size.
func CheckRecord(r Record) (spec any, faults Faults) {
	l := &faultList{record: r}
	l.checkName("name", r.Name)
	if !slices.Contains(Kinds(), r.Kind) {
		l.add("kind", "%q is not a kind of record", r.Kind)
		return nil, l.faults
	}
	if r.Deleted {
		return nil, l.faults
	}
	if !KnownSchema(r.SchemaVersion) {
		l.add("schema_version", "%d is not within %d to %d", r.SchemaVersion, MinSchema, MaxSchema)
		return nil, l.faults
	}
	if len(r.Spec) > MaxSpecBytes {
		l.add("spec", "has %d bytes, at most %d are allowed", len(r.Spec), MaxSpecBytes)
		return nil, l.faults
	}
	return checkSpec(l), l.faults
}

// Kinds returns all kinds of record, ordered so that a record refers only to kinds
// that precede its own.
func Kinds() []Kind {
	return []Kind{KindOrganisation, KindClass, KindService, KindBudget, KindCaller, KindPolicy}
}

func checkSpec(l *faultList) any {
	switch l.record.Kind {
	case KindOrganisation:
		return checkOrganisation(l)
	case KindCaller:
		return checkCaller(l)
	case KindBudget:
		return checkBudget(l)
	case KindClass:
		return checkClass(l)
	case KindPolicy:
		return checkPolicy(l)
	default:
		return checkService(l)
	}
}

func checkOrganisation(l *faultList) *OrganisationSpec {
	spec := &OrganisationSpec{}
	decodeSpec(l, spec)
	if len(spec.DisplayName) > MaxDisplayNameBytes {
		l.add("spec.display_name", "is longer than %d bytes", MaxDisplayNameBytes)
	}
	return spec
}

func checkCaller(l *faultList) *CallerSpec {
	spec := &CallerSpec{}
	decodeSpec(l, spec)
	l.checkName("spec.organisation", spec.Organisation)
	l.checkName("spec.class", spec.Class)
	l.checkName("spec.budget", spec.Budget)
	sum, err := hex.DecodeString(spec.KeyHash)
	if err != nil || len(sum) != keyHashBytes || spec.KeyHash != strings.ToLower(spec.KeyHash) {
		l.add("spec.key_hash", "is not a SHA-256 sum in lower-case hex")
	}
	l.checkRange("spec.max_concurrent", int64(spec.MaxConcurrent), 0, MaxConcurrent)
	return spec
}

func checkBudget(l *faultList) *BudgetSpec {
	spec := &BudgetSpec{}
	decodeSpec(l, spec)
	l.checkName("spec.organisation", spec.Organisation)
	return spec
}

func checkClass(l *faultList) *ClassSpec {
	spec := &ClassSpec{}
	if l.record.SchemaVersion == 1 {
		old := &ClassSpecV1{}
		decodeSpec(l, old, "worth")
		l.checkRange("spec.priority", int64(old.Priority), 1, MaxWorth)
		spec = &ClassSpec{Worth: MaxWorth + 1 - old.Priority, DeadlineMS: old.DeadlineMS, QueueLimit: old.QueueLimit}
	} else {
		decodeSpec(l, spec, "priority")
		l.checkRange("spec.worth", int64(spec.Worth), 1, MaxWorth)
	}
	l.checkRange("spec.deadline_ms", spec.DeadlineMS, 1, MaxDeadlineMS)
	l.checkRange("spec.queue_limit", int64(spec.QueueLimit), 0, MaxQueueLimit)
	return spec
}

func checkPolicy(l *faultList) *PolicySpec {
	if l.record.SchemaVersion == 1 {
		return checkPolicyV1(l)
	}
	spec := &PolicySpec{}
	decodeSpec(l, spec, "allow")
	checkPolicyOrganisation(l, spec.Organisation)
	checkLength(l, "spec.services", len(spec.Services), 1)
	for i, service := range spec.Services {
		checkPolicyService(l, fmt.Sprintf("spec.services[%d]", i), service)
	}
	checkLength(l, "spec.upstreams", len(spec.Upstreams), 1)
	for i, upstream := range spec.Upstreams {
		checkPattern(l, fmt.Sprintf("spec.upstreams[%d]", i), upstream)
	}
	checkLength(l, "spec.zones", len(spec.Zones), 0)
	for i, zone := range spec.Zones {
		l.checkName(fmt.Sprintf("spec.zones[%d]", i), zone)
	}
	return spec
}

func checkPolicyV1(l *faultList) *PolicySpec {
	old := &PolicySpecV1{}
	decodeSpec(l, old, "services", "upstreams", "zones")
	checkPolicyOrganisation(l, old.Organisation)
	checkLength(l, "spec.allow", len(old.Allow), 1)
	for i, pair := range old.Allow {
		field := fmt.Sprintf("spec.allow[%d]", i)
		service, upstream, ok := strings.Cut(pair, pairSeparator)
		if !ok {
			l.add(field, "%q is not service@upstream-pattern", pair)
			continue
		}
		checkPolicyService(l, field, service)
		checkPattern(l, field, upstream)
	}
	services, upstreams, err := splitPairs(old.Allow)
	if err != nil {
		l.add("spec.allow", "%v", err)
	}
	return &PolicySpec{Organisation: old.Organisation, Services: services, Upstreams: upstreams}
}

func checkPolicyOrganisation(l *faultList, organisation string) {
	if organisation != Wildcard {
		l.checkName("spec.organisation", organisation)
	}
}

func checkPolicyService(l *faultList, field, service string) {
	if service != Wildcard {
		l.checkName(field, service)
	}
}

func checkService(l *faultList) *ServiceSpec {
	spec := &ServiceSpec{}
	decodeSpec(l, spec)
	l.checkRange("spec.max_output_tokens", spec.MaxOutputTokens, 0, MaxRequestTokens)
	checkLength(l, "spec.methods", len(spec.Methods), 0)
	switch spec.Kind {
	case ServiceModel:
		if len(spec.Methods) > 0 {
			l.add("spec.methods", "is for plain services only")
		}
	case ServicePlain:
		if len(spec.Methods) == 0 {
			l.add("spec.methods", "lists no call, so every call would be refused")
		}
	default:
		l.add("spec.kind", "%q is neither %q nor %q", spec.Kind, ServiceModel, ServicePlain)
	}
	for i, method := range spec.Methods {
		checkMethod(l, fmt.Sprintf("spec.methods[%d]", i), method)
	}
	return spec
}

var httpMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func checkMethod(l *faultList, field string, method MethodSpec) {
	if !slices.Contains(httpMethods, method.Method) {
		l.add(field+".method", "%q is not one of %s", method.Method, strings.Join(httpMethods, ", "))
	}
	if !strings.HasPrefix(method.Path, "/") {
		l.add(field+".path", "%q does not start with /", method.Path)
	}
	checkPattern(l, field+".path", method.Path)
	l.checkRange(field+".tokens", method.Tokens, 0, MaxRequestTokens)
}

func checkLength(l *faultList, field string, length, minimum int) {
	if length < minimum || length > MaxListItems {
		l.add(field, "has %d items, %d to %d are allowed", length, minimum, MaxListItems)
	}
}

func checkPattern(l *faultList, field, pattern string) {
	if pattern == "" || len(pattern) > MaxPatternBytes {
		l.add(field, "has %d bytes, 1 to %d are allowed", len(pattern), MaxPatternBytes)
		return
	}
	if _, err := path.Match(pattern, ""); err != nil {
		l.add(field, "%q is not a pattern", pattern)
	}
}
