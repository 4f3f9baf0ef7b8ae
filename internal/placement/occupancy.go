package placement

// Occupancy is the load that all hosts put on an upstream, as far as this one knows.
type Occupancy struct {
	Load
	// Full reports that it takes no further request.
	Full bool
}

// Occupancy returns the load of an upstream. Of the request, the limits are used that upstreams have for it: MaxInFlight and
// KVCapacity. It is empty for an upstream that is not known.
func (p *Pool) Occupancy(id string, req *Request) Occupancy {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[id]
	if u == nil {
		return Occupancy{}
	}
	o := Occupancy{Load: Load{InFlight: u.inFlight(), Backlog: u.backlog(), KVTokens: u.kvTokens()}}
	o.Full = req.MaxInFlight != nil && o.InFlight >= req.MaxInFlight(u) || !fitsKVCache(req, u, 1)
	return o
}
