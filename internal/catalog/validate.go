package catalog

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Numbers above these bounds would overflow in sums and products.
const (
	maxWeight = 1 << 30
	maxSlots  = 1 << 20
	// maxEngineTokens bounds what an engine holds, and maxPrepaid the tokens of an organisation.
	maxEngineTokens = 1 << 40
	maxPrepaid      = 1 << 53
)

// Validate checks the document. It returns an error for the first fault that it finds.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return eris.New("the version is missing")
	}
	services := map[string]bool{}
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" {
			return eris.New("a service has no name")
		}
		if services[name] {
			return eris.Errorf("service %q is listed twice", name)
		}
		services[name] = true
		if w := d.Services[i].WarmUp; w.Rate < 0 || w.Duration < 0 {
			return eris.Errorf("the warm-up of service %q is negative", name)
		}
		if err := d.Services[i].Engine.validate(); err != nil {
			return eris.Wrapf(err, "service %q", name)
		}
	}
	if err := d.validateRoutes(services); err != nil {
		return err
	}
	return d.validateOrganisations()
}

func (e *Engine) validate() error {
	switch {
	case e == nil:
		return nil
	case e.Slots < 0 || e.Slots > maxSlots:
		return eris.Errorf("the number of slots is not between 0 and %d", maxSlots)
	case e.KVCapacity < 0 || e.KVCapacity > maxEngineTokens:
		return eris.Errorf("the size of the KV cache is not between 0 and %d tokens", maxEngineTokens)
	case e.MaxTokensPerEvent < 0 || e.MaxTokensPerEvent > maxEngineTokens:
		return eris.Errorf("an event is not of 0 to %d tokens", maxEngineTokens)
	}
	return nil
}

func (d *Document) validateRoutes(services map[string]bool) error {
	routeNames := map[[2]string]string{}
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.validate(services); err != nil {
			return eris.Wrapf(err, "route %q", r.Name)
		}
		hostAndPrefix := [2]string{r.Host, r.Prefix}
		if other, taken := routeNames[hostAndPrefix]; taken {
			return eris.Errorf("routes %q and %q have the same host and prefix", other, r.Name)
		}
		routeNames[hostAndPrefix] = r.Name
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Name == "":
		return eris.New("the name is missing")
	case r.Host == "":
		return eris.New("the host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return eris.Errorf("the prefix %q does not begin and end with a slash", r.Prefix)
	case r.Kind < Idempotent || r.Kind > Streaming:
		return eris.New("the kind is unknown")
	case r.Timeout <= 0:
		return eris.New("the timeout is not above 0")
	case r.MaxAttempts < 0:
		return eris.New("the number of attempts is negative")
	case len(r.Targets) == 0:
		return eris.New("no service is named")
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return eris.Errorf("service %q is unknown", t.Service)
		}
		if t.Weight < 0 || t.Weight > maxWeight {
			return eris.Errorf("the weight of service %q is not between 0 and %d", t.Service, maxWeight)
		}
		sum += t.Weight
	}
	if sum == 0 {
		return eris.New("the weights add up to 0")
	}
	return nil
}

func (d *Document) validateOrganisations() error {
	names, keys := map[string]bool{}, map[string]string{}
	for i := range d.Organisations {
		o := &d.Organisations[i]
		if o.Name == "" {
			return eris.New("an organisation has no name")
		}
		if names[o.Name] {
			return eris.Errorf("organisation %q is listed twice", o.Name)
		}
		names[o.Name] = true
		if o.Prepaid != nil && (*o.Prepaid < 0 || *o.Prepaid > maxPrepaid) {
			return eris.Errorf("the prepaid total of organisation %q is not between 0 and %d", o.Name, maxPrepaid)
		}
		for _, key := range o.Keys {
			if other, taken := keys[key]; taken && other != o.Name {
				return eris.Errorf("organisations %q and %q share a key", other, o.Name)
			}
			keys[key] = o.Name
		}
	}
	return nil
}
