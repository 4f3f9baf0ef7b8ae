package catalog

import (
	"strings"
)

// Index provides the lookups needed to serve requests. It is immutable.
type Index struct {
	Document *Document
	// routes holds the routes by host name and path prefix.
	routes   map[string]map[string]*Route
	services map[string]*Service
	keys     map[string]*Organisation
}

// NewIndex returns an index of a valid document.
func NewIndex(d *Document) *Index {
	x := &Index{
		Document: d,
		routes:   make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(d.Services)),
		keys:     make(map[string]*Organisation),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		if x.routes[r.Host] == nil {
			x.routes[r.Host] = make(map[string]*Route)
		}
		x.routes[r.Host][r.Prefix] = r
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		for _, key := range o.Keys {
			x.keys[key] = o
		}
	}
	return x
}

// Route returns the route of host with the longest prefix of path, or nil if there is none.
func (x *Index) Route(host, path string) *Route {
	prefixes := x.routes[host]
	if len(prefixes) == 0 {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Organisation returns the organisation to which an API key belongs, or nil.
func (x *Index) Organisation(key string) *Organisation { return x.keys[key] }

// RequiresKeys reports whether callers must present API keys. Without any organisation
// none are required.
func (x *Index) RequiresKeys() bool { return len(x.Document.Organisations) > 0 }
