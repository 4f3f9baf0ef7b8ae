package entry

import "sync"

// inFlightRequests is the set of ids of the requests that this host is serving.
type inFlightRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newInFlightRequests() *inFlightRequests { return &inFlightRequests{ids: map[string]struct{}{}} }

// add adds a request; ok is false if it is already being served.
func (r *inFlightRequests) add(id string) (remove func(), ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.ids[id]; found {
		return nil, false
	}
	r.ids[id] = struct{}{}
	return func() { r.remove(id) }, true
}

func (r *inFlightRequests) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.ids, id)
}

func (r *inFlightRequests) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, found := r.ids[id]
	return found
}

func (r *inFlightRequests) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ids)
}
