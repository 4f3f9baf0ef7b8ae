package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// orderBook holds what an engine has loaded and the orders that it has applied.
type orderBook struct {
	mu       sync.Mutex
	opts     EngineOptions
	offers   []announce.ServiceOffer
	role     string
	highest  uint64
	finished map[string]bool
}

func newOrderBook(opts EngineOptions) *orderBook {
	return &orderBook{
		opts:     opts,
		offers:   slices.Clone(opts.Models),
		role:     opts.Role,
		finished: map[string]bool{},
	}
}

func (b *orderBook) loaded() ([]announce.ServiceOffer, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.offers), b.role
}

func (b *orderBook) serves(model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.offers, func(o announce.ServiceOffer) bool { return o.Name == model })
}

// admit tells whether order o may be applied and whether it was applied before.
func (b *orderBook) admit(o announce.Order) (allowed, repeated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.finished[o.ID] {
		return true, true
	}
	if b.opts.ChecksFencing && o.FencingNumber < b.highest {
		return false, false
	}
	b.highest = max(b.highest, o.FencingNumber)
	return true, false
}

func (b *orderBook) apply(o announce.Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finished[o.ID] = true
	sameName := func(s announce.ServiceOffer) bool { return s.Name == o.Model }
	switch o.Action {
	case "load":
		i := slices.IndexFunc(b.offers, sameName)
		if i < 0 {
			b.offers = append(b.offers, announce.ServiceOffer{Name: o.Model})
			i = len(b.offers) - 1
		}
		if o.Version != "" {
			b.offers[i].Version = o.Version
		}
		if o.Adapter != "" && !slices.Contains(b.offers[i].Adapters, o.Adapter) {
			b.offers[i].Adapters = append(slices.Clone(b.offers[i].Adapters), o.Adapter)
		}
	case "unload":
		b.offers = slices.DeleteFunc(b.offers, sameName)
	case "role":
		b.role = o.Role
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
		writeError(w, http.StatusConflict, "old fencing number")
		return
	}
	if repeated {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if o.Action == "load" && !e.fetch(r, o) {
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

// fetch takes the time of a load and tells whether the weights arrived.
func (e *Engine) fetch(r *http.Request, o announce.Order) bool {
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
