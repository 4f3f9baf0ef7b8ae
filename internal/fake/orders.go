package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// orderState holds the loaded models and the role of an engine, and the orders that it has
// applied.
type orderState struct {
	mu             sync.Mutex
	opts           EngineOptions
	offers         []announce.ServiceOffer
	role           string
	highestFencing uint64
	applied        map[string]bool
}

func newOrderState(opts EngineOptions) *orderState {
	return &orderState{
		opts:    opts,
		offers:  slices.Clone(opts.Models),
		role:    opts.Role,
		applied: map[string]bool{},
	}
}

func (s *orderState) loaded() ([]announce.ServiceOffer, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.offers), s.role
}

func (s *orderState) serves(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.offers, func(o announce.ServiceOffer) bool { return o.Name == model })
}

// admit reports whether order o may be applied and whether it was applied before.
func (s *orderState) admit(o announce.Order) (allowed, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applied[o.ID] {
		return true, true
	}
	if s.opts.ChecksFencing && o.FencingNumber < s.highestFencing {
		return false, false
	}
	s.highestFencing = max(s.highestFencing, o.FencingNumber)
	return true, false
}

func (s *orderState) apply(o announce.Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied[o.ID] = true
	sameName := func(offer announce.ServiceOffer) bool { return offer.Name == o.Model }
	switch o.Action {
	case "load":
		i := slices.IndexFunc(s.offers, sameName)
		if i < 0 {
			s.offers = append(s.offers, announce.ServiceOffer{Name: o.Model})
			i = len(s.offers) - 1
		}
		if o.Version != "" {
			s.offers[i].Version = o.Version
		}
		if o.Adapter != "" && !slices.Contains(s.offers[i].Adapters, o.Adapter) {
			s.offers[i].Adapters = append(slices.Clone(s.offers[i].Adapters), o.Adapter)
		}
	case "unload":
		s.offers = slices.DeleteFunc(s.offers, sameName)
	case "role":
		s.role = o.Role
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o announce.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	allowed, repeated := e.orders.admit(o)
	if !allowed {
		writeError(w, http.StatusConflict, "stale fencing number")
		return
	}
	if repeated {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if o.Action == "load" && !e.loadWeights(r, o) {
		writeError(w, http.StatusBadGateway, "the weights could not be fetched")
		return
	}
	e.orders.apply(o)
	e.record(e.currentIncarnation(), TruthRecord{
		Event:         TruthOrdered,
		Order:         o.ID,
		Service:       o.Model,
		FencingNumber: o.FencingNumber,
	})
	e.notify()
	w.WriteHeader(http.StatusNoContent)
}

// loadWeights fetches the weights for a load order, waits for LoadTime, and reports whether
// the load succeeded.
func (e *Engine) loadWeights(r *http.Request, o announce.Order) bool {
	if e.opts.FetchWeights != nil && e.opts.FetchWeights(r.Context(), o.Model) != nil {
		return false
	}
	select {
	case <-time.After(e.opts.LoadTime):
		return true
	case <-r.Context().Done():
		return false
	}
}
