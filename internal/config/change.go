package config

import (
	"fmt"
	"maps"
	"slices"
)

// Change is a checked set of writes, ready to be applied to the store that
// checked it.
type Change struct {
	writes []entry
}

// Records returns the records of the change as they will be stored.
func (c *Change) Records() []Record {
	records := make([]Record, len(c.writes))
	for i, e := range c.writes {
		records[i] = e.record
	}
	return records
}

// SetRevision gives every record of the change its revision.
func (c *Change) SetRevision(revision uint64) {
	for i := range c.writes {
		c.writes[i].record.Revision = revision
	}
}

// Check returns the change that writes would make, brought to schema version
// schema, or all faults of the writes and of the references after them.
func (s *Store) Check(writes []Record, schema int) (*Change, Faults) {
	after := &overlay{store: s, writes: make(map[ID]entry, len(writes))}
	change := &Change{}
	var faults Faults
	for _, r := range writes {
		e, found := s.checkWrite(r, schema)
		if _, twice := after.writes[r.ID()]; twice {
			found = append(found, Fault{r.Kind, r.Name, "name", "is written twice"})
		}
		faults = append(faults, found...)
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

// overlay is the state of the store after some writes.
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

// checkReferences checks what the writes refer to, and what refers to them.
func (o *overlay) checkReferences(writes []entry) Faults {
	var faults Faults
	keys := make(map[string]string)
	for _, e := range writes {
		l := &faultList{record: e.record}
		o.checkOutgoing(l, e.spec)
		o.checkKey(l, e.spec, keys)
		faults = append(faults, l.faults...)
	}
	if o.needsIncoming(writes) {
		faults = append(faults, o.checkIncoming()...)
	}
	return faults
}

func (o *overlay) checkOutgoing(l *faultList, spec any) {
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

// checkKey checks that no two callers share a key.
func (o *overlay) checkKey(l *faultList, spec any, written map[string]string) {
	caller, ok := spec.(*CallerSpec)
	if !ok {
		return
	}
	other, taken := written[caller.KeyHash]
	if !taken {
		other, taken = o.store.callersByKey[caller.KeyHash]
	}
	written[caller.KeyHash] = l.record.Name
	if !taken || other == l.record.Name {
		return
	}
	present, _ := o.get(ID{KindCaller, other})
	if holder, ok := present.(*CallerSpec); ok && holder.KeyHash == caller.KeyHash {
		l.add("spec.key_hash", "is the key of caller %q", other)
	}
}

// needsIncoming tells whether the writes may break references to them: a
// record is deleted, or a budget moves to another organisation.
func (o *overlay) needsIncoming(writes []entry) bool {
	return slices.ContainsFunc(writes, func(e entry) bool {
		if e.record.Deleted {
			return true
		}
		budget, ok := e.spec.(*BudgetSpec)
		before, existed := o.store.BudgetOrganisation(e.record.Name)
		return ok && existed && before != budget.Organisation
	})
}

// checkIncoming checks the references of all records that are not written.
func (o *overlay) checkIncoming() Faults {
	var faults Faults
	for _, id := range slices.SortedFunc(maps.Keys(o.store.entries), compareIDs) {
		if _, written := o.writes[id]; written {
			continue
		}
		e := o.store.entries[id]
		l := &faultList{record: e.record}
		o.checkOutgoing(l, e.spec)
		faults = append(faults, l.faults...)
	}
	return faults
}

// BudgetOrganisation returns the organisation of a budget that the change writes.
func (c *Change) BudgetOrganisation(budget string) (string, bool) {
	for _, e := range c.writes {
		if spec, ok := e.spec.(*BudgetSpec); ok && e.record.Name == budget {
			return spec.Organisation, true
		}
	}
	return "", false
}
