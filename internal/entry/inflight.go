package entry

import "sync"

// inFlightRequests is the set of ids of the requests that this host is serving.
type inFlightRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newInFlightRequests() *inFlightRequests { return &inFlightRequests{ids: map[string]struct{}{}} }

// add adds a request; ok is false if it is already being served.
func (o *inFlightRequests) add(id string) (remove func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, found := o.ids[id]; found {
		return nil, false
	}
	o.ids[id] = struct{}{}
	return func() { o.remove(id) }, true
}

func (o *inFlightRequests) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

func (o *inFlightRequests) contains(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, found := o.ids[id]
	return found
}

func (o *inFlightRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ids)
}
