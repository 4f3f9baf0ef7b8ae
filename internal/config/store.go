package config

import (
	"cmp"
	"maps"
	"slices"
)

// ID identifies a record.
type ID struct {
	Kind Kind
	Name string
}

// ID returns the identity of r.
func (r Record) ID() ID { return ID{r.Kind, r.Name} }

// entry is a stored record with its typed spec in the newest schema version.
type entry struct {
	record Record
	spec   any
}

// Store holds the current records. All references between them resolve.
type Store struct {
	entries map[ID]entry
	// callersByKeyHash maps key hashes to names of callers.
	callersByKeyHash map[string]string
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{entries: make(map[ID]entry), callersByKeyHash: make(map[string]string)}
}

// Len returns the number of records.
func (s *Store) Len() int { return len(s.entries) }

// Get returns the current record with an id.
func (s *Store) Get(id ID) (Record, bool) {
	e, ok := s.entries[id]
	return e.record, ok
}

// BudgetOrganisation returns the organisation of a budget, and false if there is no
// such budget.
func (s *Store) BudgetOrganisation(budget string) (string, bool) {
	spec, ok := s.entries[ID{KindBudget, budget}].spec.(*BudgetSpec)
	if !ok {
		return "", false
	}
	return spec.Organisation, true
}

// Records returns the current records, ordered by kind and name.
func (s *Store) Records() []Record {
	records := make([]Record, 0, len(s.entries))
	for _, e := range s.entries {
		records = append(records, e.record)
	}
	slices.SortFunc(records, compareRecords)
	return records
}

func compareRecords(a, b Record) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Apply applies a validated change: it stores the written records and removes the
// deleted ones.
func (s *Store) Apply(c *Change) {
	for _, e := range c.writes {
		s.remove(e.record.ID())
	}
	for _, e := range c.writes {
		if !e.record.Deleted {
			s.put(e)
		}
	}
}

// Load stores a record from a snapshot. The record was validated when it was written, so
// faults in its spec are ignored; Load fails only if CheckRecord returns no spec.
func (s *Store) Load(r Record) error {
	spec, faults := CheckRecord(r)
	if spec == nil {
		return faults
	}
	s.put(entry{r, spec})
	return nil
}

func (s *Store) put(e entry) {
	s.entries[e.record.ID()] = e
	if caller, ok := e.spec.(*CallerSpec); ok {
		s.callersByKeyHash[caller.KeyHash] = e.record.Name
	}
}

func (s *Store) remove(id ID) {
	if caller, ok := s.entries[id].spec.(*CallerSpec); ok {
		delete(s.callersByKeyHash, caller.KeyHash)
	}
	delete(s.entries, id)
}

// ConvertAll converts all records to schema version to. If one of them cannot be
// converted, it returns an error and converts none.
func (s *Store) ConvertAll(to int) error {
	converted := make(map[ID]entry, len(s.entries))
	for _, id := range slices.SortedFunc(maps.Keys(s.entries), compareIDs) {
		e := s.entries[id]
		record, err := Convert(e.record, to)
		if err != nil {
			return err
		}
		converted[id] = entry{record, e.spec}
	}
	s.entries = converted
	return nil
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
