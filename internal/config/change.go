package config

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a validated set of writes. It may be applied only to the store that
// validated it.
type Change struct {
	writes []entry
}

// Records returns the records of the change in the form in which they are stored.
func (c *Change) Records() []Record {
	records := make([]Record, len(c.writes))
	for i, e := range c.writes {
		records[i] = e.record
	}
	return records
}

// SetRevision sets the revision of all records of the change.
func (c *Change) SetRevision(revision uint64) {
	for i := range c.writes {
		c.writes[i].record.Revision = revision
	}
}

// Check validates writes and converts them to schema version schema. It returns the
// resulting change, or the faults of the writes; if there are none, the faults of the
// references after the writes.
func (s *Store) Check(writes []Record, schema int) (*Change, Faults) {
	after := &overlay{store: s, writes: make(map[ID]entry, len(writes))}
	change := &Change{}
	var faults Faults
	for _, r := range writes {
		e, recordFaults := s.checkWrite(r, schema)
		if _, duplicate := after.writes[r.ID()]; duplicate {
			recordFaults = append(recordFaults, Fault{r.Kind, r.Name, "name", "is written twice"})
		}
		faults = append(faults, recordFaults...)
		after.writes[r.ID()] = e
		change.writes = append(change.writes, e)
	}
	if len(faults) > 0 {
		return nil, faults
	}
	faults = after.checkReferences(change.writes)
	if len(faults) > 0 {
		return nil, faults
	}
	return change, nil
}

func (s *Store) checkWrite(r Record, schema int) (entry, Faults) {
	spec, faults := CheckRecord(r)
	if len(faults) > 0 {
		return entry{}, faults
	}
	if r.Deleted {
		r.Spec = nil
		r.SchemaVersion = schema
		return entry{record: r}, nil
	}
	stored, err := Convert(r, schema)
	if err == nil {
		stored.Spec, err = compact(stored.Spec)
	}
	if err != nil {
		return entry{}, Faults{{r.Kind, r.Name, "schema_version", fmt.Sprintf("version %d is in force: %v", schema, err)}}
	}
	return entry{stored, spec}, nil
}

// overlay is the state of the store after writes that are not yet applied.
type overlay struct {
	store  *Store
	writes map[ID]entry
}

func (o *overlay) get(id ID) (any, bool) {
	e, ok := o.writes[id]
	if !ok {
		e, ok = o.store.entries[id]
	}
	return e.spec, ok && !e.record.Deleted
}

// checkReferences returns a fault for each reference that does not resolve after the
// writes: those of the written records, and those of other records to them.
func (o *overlay) checkReferences(writes []entry) Faults {
	var faults Faults
	keys := make(map[string]string)
	for _, e := range writes {
		l := &faultList{record: e.record}
		o.checkSpecReferences(l, e.spec)
		o.checkUniqueKey(l, e.spec, keys)
		faults = append(faults, l.faults...)
	}
	if o.mayBreakReferences(writes) {
		faults = append(faults, o.checkUnwrittenRecords()...)
	}
	return faults
}

func (o *overlay) checkSpecReferences(l *faultList, spec any) {
	switch spec := spec.(type) {
	case *CallerSpec:
		o.checkExists(l, "spec.organisation", KindOrganisation, spec.Organisation)
		o.checkExists(l, "spec.class", KindClass, spec.Class)
		if o.checkExists(l, "spec.budget", KindBudget, spec.Budget) {
			o.checkSameOrganisation(l, spec)
		}
	case *BudgetSpec:
		o.checkExists(l, "spec.organisation", KindOrganisation, spec.Organisation)
	case *PolicySpec:
		o.checkPolicyReferences(l, spec)
	}
}

func (o *overlay) checkExists(l *faultList, field string, kind Kind, name string) bool {
	_, ok := o.get(ID{kind, name})
	if !ok {
		l.add(field, "there is no %s %q", kind, name)
	}
	return ok
}

func (o *overlay) checkSameOrganisation(l *faultList, caller *CallerSpec) {
	spec, _ := o.get(ID{KindBudget, caller.Budget})
	budget, ok := spec.(*BudgetSpec)
	if ok && budget.Organisation != caller.Organisation {
		l.add("spec.budget", "budget %q belongs to organisation %q", caller.Budget, budget.Organisation)
	}
}

func (o *overlay) checkPolicyReferences(l *faultList, spec *PolicySpec) {
	if spec.Organisation != Wildcard {
		o.checkExists(l, "spec.organisation", KindOrganisation, spec.Organisation)
	}
	for i, service := range spec.Services {
		if service == Wildcard {
			continue
		}
		field := fmt.Sprintf("spec.services[%d]", i)
		if l.record.SchemaVersion == 1 {
			field = "spec.allow"
		}
		o.checkExists(l, field, KindService, service)
	}
}

// checkUniqueKey adds a fault if another caller has the same key. written maps the
// key hashes of the writes checked before to their callers.
func (o *overlay) checkUniqueKey(l *faultList, spec any, written map[string]string) {
	caller, ok := spec.(*CallerSpec)
	if !ok {
		return
	}
	other, taken := written[caller.KeyHash]
	if !taken {
		other, taken = o.store.callersByKeyHash[caller.KeyHash]
	}
	written[caller.KeyHash] = l.record.Name
	if !taken || other == l.record.Name {
		return
	}
	otherSpec, _ := o.get(ID{KindCaller, other})
	if otherCaller, ok := otherSpec.(*CallerSpec); ok && otherCaller.KeyHash == caller.KeyHash {
		l.add("spec.key_hash", "is the key of caller %q", other)
	}
}

// mayBreakReferences reports whether the writes may break references of other
// records, because they delete a record or move a budget to another organisation.
func (o *overlay) mayBreakReferences(writes []entry) bool {
	return slices.ContainsFunc(writes, func(e entry) bool {
		if e.record.Deleted {
			return true
		}
		budget, ok := e.spec.(*BudgetSpec)
		before, existed := o.store.BudgetOrganisation(e.record.Name)
		return ok && existed && before != budget.Organisation
	})
}

// checkUnwrittenRecords returns a fault for each reference of a record that is not
// written which does not resolve after the writes.
func (o *overlay) checkUnwrittenRecords() Faults {
	var faults Faults
	for _, id := range slices.SortedFunc(maps.Keys(o.store.entries), compareIDs) {
		if _, written := o.writes[id]; written {
			continue
		}
		e := o.store.entries[id]
		l := &faultList{record: e.record}
		o.checkSpecReferences(l, e.spec)
		faults = append(faults, l.faults...)
	}
	return faults
}

// BudgetOrganisation returns the organisation of a budget as written by the change,
// and false if the change does not write it or deletes it.
func (c *Change) BudgetOrganisation(budget string) (string, bool) {
	for _, e := range c.writes {
		if spec, ok := e.spec.(*BudgetSpec); ok && e.record.Name == budget {
			return spec.Organisation, true
		}
	}
	return "", false
}
