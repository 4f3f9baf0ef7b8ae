package entry

import (
	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// recheck tells whether the configuration in force now still lets the call run
// on t. It is asked right before each dispatch, because a change may have been
// accepted since the call was admitted.
func (x *exchange) recheck(t target) error {
	if err := x.h.checkLease(); err != nil {
		return err
	}
	view := x.h.View()
	if view == nil {
		return errkind.New(errkind.LeaseLapsed, "the host has no configuration").WithRetryAfter(leaseRetry)
	}
	if view.Revision() == x.id.view.Revision() {
		return nil
	}
	id, err := identify(view, x.id.caller.KeyHash)
	if err != nil {
		return err
	}
	if id.caller.Name != x.id.caller.Name || id.caller.Organisation != x.id.caller.Organisation {
		return errkind.New(errkind.Forbidden, "the key belongs to another caller now")
	}
	if err := x.recheckMethod(view); err != nil {
		return err
	}
	filter, _ := id.allowed(x.service)
	if _, found := view.Service(x.service); !found || !filter.Allows(t.entry.ID, t.entry.State().Zone) {
		return errkind.New(errkind.Forbidden, "the policy in force no longer allows the upstream that was chosen")
	}
	x.id, x.filter = id, filter
	return nil
}

// recheckMethod tells whether a plain call is still a method of its service, as
// repeatable as it was.
func (x *exchange) recheckMethod(view *config.View) error {
	if x.kind != callPlain {
		return nil
	}
	method, found := view.Method(x.service, x.method, x.below)
	if !found || method.Repeatable != x.repeatable {
		return errkind.New(errkind.NotFound, "service %q no longer has the method as it was", x.service)
	}
	return nil
}
