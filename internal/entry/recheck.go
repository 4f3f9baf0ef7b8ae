package entry

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// recheckConfiguration returns an error if the current configuration does not
// allow the call to run on t. It is called immediately before each dispatch,
// because the configuration may have changed since the call was admitted.
func (x *exchange) recheckConfiguration(t target) error {
	if err := x.h.checkLease(); err != nil {
		return err
	}
	view := x.h.View()
	if view == nil {
		return errkind.New(errkind.LeaseLapsed, "the host has not received a configuration").WithRetryAfter(leaseRetryAfter)
	}
	if view.Revision() == x.identity.view.Revision() {
		return nil
	}
	id, err := identify(view, x.identity.caller.KeyHash)
	if err != nil {
		return err
	}
	if id.caller.Name != x.identity.caller.Name || id.caller.Organisation != x.identity.caller.Organisation {
		return errkind.New(errkind.Forbidden, "the key has been reassigned to another caller")
	}
	if err := x.recheckMethod(view); err != nil {
		return err
	}
	filter, _ := id.policyFilter(x.service)
	if _, found := view.Service(x.service); !found || !filter.Allows(t.entry.ID, t.entry.State().Zone) {
		return errkind.New(errkind.Forbidden, "the policy no longer allows the selected upstream")
	}
	x.identity, x.filter = id, filter
	return nil
}

// recheckMethod returns an error if the method of a plain call was removed from
// its service, or if the method's repeatable setting has changed.
func (x *exchange) recheckMethod(view *config.View) error {
	if x.kind != callPlain {
		return nil
	}
	method, found := view.Method(x.service, x.method, x.subpath)
	if !found || method.Repeatable != x.repeatable {
		return errkind.New(errkind.NotFound, "the method was removed from service %q or changed", x.service)
	}
	return nil
}
