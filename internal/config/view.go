package config

import (
	"maps"
	"path"
	"slices"
	"strings"
)

// View is an immutable index of the configuration at one revision. The goroutines that
// serve requests read it without locks.
type View struct {
	revision         uint64
	organisations    map[string]*OrganisationSpec
	callers          map[string]*Caller
	callersByKeyHash map[string]*Caller
	budgets          map[string]*BudgetSpec
	classes          map[string]*ClassSpec
	services         map[string]*ServiceSpec
	policies         map[string]*PolicySpec
	// rules holds the compiled policies by organisation; those for all organisations
	// are under Wildcard.
	rules  map[string][]rule
	faults map[ID]Faults
}

// Caller is the name and the spec of a caller.
type Caller struct {
	Name string
	CallerSpec
}

// NewView returns the view of the whole configuration, records, at revision.
func NewView(records []Record, revision uint64) *View {
	v := &View{
		organisations:    make(map[string]*OrganisationSpec),
		callers:          make(map[string]*Caller),
		callersByKeyHash: make(map[string]*Caller),
		budgets:          make(map[string]*BudgetSpec),
		classes:          make(map[string]*ClassSpec),
		services:         make(map[string]*ServiceSpec),
		policies:         make(map[string]*PolicySpec),
		faults:           make(map[ID]Faults),
	}
	return v.With(records, revision)
}

// With returns the view after the changed records, without modifying v. It omits a
// record that this program cannot read and adds it to Faults, so that requests which
// only that record would allow are refused.
func (v *View) With(records []Record, revision uint64) *View {
	next := *v
	next.revision = revision
	next.cloneMaps(records)
	for _, r := range records {
		next.remove(r.ID())
	}
	for _, r := range records {
		next.put(r)
	}
	if slices.ContainsFunc(records, func(r Record) bool { return r.Kind == KindPolicy }) || v.rules == nil {
		next.rules = compileRules(next.policies)
	}
	return &next
}

// cloneMaps clones the maps that the records modify, so that views which share them
// are unaffected.
func (v *View) cloneMaps(records []Record) {
	v.faults = maps.Clone(v.faults)
	cloned := make(map[Kind]bool)
	for _, r := range records {
		if cloned[r.Kind] {
			continue
		}
		cloned[r.Kind] = true
		switch r.Kind {
		case KindOrganisation:
			v.organisations = maps.Clone(v.organisations)
		case KindCaller:
			v.callers = maps.Clone(v.callers)
			v.callersByKeyHash = maps.Clone(v.callersByKeyHash)
		case KindBudget:
			v.budgets = maps.Clone(v.budgets)
		case KindClass:
			v.classes = maps.Clone(v.classes)
		case KindService:
			v.services = maps.Clone(v.services)
		case KindPolicy:
			v.policies = maps.Clone(v.policies)
		}
	}
}

func (v *View) remove(id ID) {
	delete(v.faults, id)
	switch id.Kind {
	case KindOrganisation:
		delete(v.organisations, id.Name)
	case KindCaller:
		v.removeCaller(id.Name)
	case KindBudget:
		delete(v.budgets, id.Name)
	case KindClass:
		delete(v.classes, id.Name)
	case KindService:
		delete(v.services, id.Name)
	case KindPolicy:
		delete(v.policies, id.Name)
	}
}

func (v *View) removeCaller(name string) {
	caller, ok := v.callers[name]
	if !ok {
		return
	}
	delete(v.callers, name)
	delete(v.callersByKeyHash, caller.KeyHash)
}

func (v *View) put(r Record) {
	if r.Deleted {
		return
	}
	spec, faults := CheckRecord(r)
	if len(faults) > 0 {
		v.faults[r.ID()] = faults
		return
	}
	switch spec := spec.(type) {
	case *OrganisationSpec:
		v.organisations[r.Name] = spec
	case *CallerSpec:
		caller := &Caller{r.Name, *spec}
		v.callers[r.Name] = caller
		v.callersByKeyHash[spec.KeyHash] = caller
	case *BudgetSpec:
		v.budgets[r.Name] = spec
	case *ClassSpec:
		v.classes[r.Name] = spec
	case *ServiceSpec:
		v.services[r.Name] = spec
	case *PolicySpec:
		v.policies[r.Name] = spec
	}
}

// Revision returns the revision of the configuration.
func (v *View) Revision() uint64 { return v.revision }

// Faults returns the faults of the records that this program could not read.
func (v *View) Faults() map[ID]Faults { return v.faults }

// CallerByKeyHash returns the caller whose bearer key has the SHA-256 hash, in
// lower-case hex.
func (v *View) CallerByKeyHash(hash string) (*Caller, bool) { return lookup(v.callersByKeyHash, hash) }

// Caller returns a caller by name.
func (v *View) Caller(name string) (*Caller, bool) { return lookup(v.callers, name) }

// Organisation returns an organisation by name.
func (v *View) Organisation(name string) (*OrganisationSpec, bool) {
	return lookup(v.organisations, name)
}

// Class returns a priority class by name.
func (v *View) Class(name string) (*ClassSpec, bool) { return lookup(v.classes, name) }

// Classes returns the names of the priority classes, ordered by descending worth.
func (v *View) Classes() []string {
	return slices.SortedFunc(maps.Keys(v.classes), func(a, b string) int {
		if d := v.classes[b].Worth - v.classes[a].Worth; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
}

// Budget returns a budget by name.
func (v *View) Budget(name string) (*BudgetSpec, bool) { return lookup(v.budgets, name) }

// Service returns a service by name.
func (v *View) Service(name string) (*ServiceSpec, bool) { return lookup(v.services, name) }

// Services returns the names of all services, sorted.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.services)) }

// Policies returns the names of all policies, sorted.
func (v *View) Policies() []string { return slices.Sorted(maps.Keys(v.policies)) }

// Method returns the first listed call of a plain service that matches httpMethod and
// urlPath, the path below /services/{service}.
func (v *View) Method(service, httpMethod, urlPath string) (*MethodSpec, bool) {
	spec, ok := v.services[service]
	if !ok {
		return nil, false
	}
	for i := range spec.Methods {
		m := &spec.Methods[i]
		if m.Method != httpMethod {
			continue
		}
		if matched, err := path.Match(m.Path, urlPath); err == nil && matched {
			return m, true
		}
	}
	return nil, false
}

func lookup[V any](m map[string]*V, name string) (*V, bool) {
	value, ok := m[name]
	return value, ok
}
