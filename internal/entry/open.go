package entry

import "sync"

// openRequests knows the requests that this host serves, by id.
type openRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func newOpenRequests() *openRequests { return &openRequests{ids: map[string]struct{}{}} }

// enter notes a request; ok is false if it is being served already.
func (o *openRequests) enter(id string) (leave func(), ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, found := o.ids[id]; found {
		return nil, false
	}
	o.ids[id] = struct{}{}
	return func() { o.leave(id) }, true
}

func (o *openRequests) leave(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

func (o *openRequests) has(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, found := o.ids[id]
	return found
}

func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.ids)
}
