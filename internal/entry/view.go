package entry

import "github.com/godwitbend/godwitbend/internal/config"

// allowed returns the policy filter of the caller's organisation for service.
func (id *identity) allowed(service string) (config.Filter, bool) {
	f := id.view.Filter(id.caller.Organisation, service)
	return f, !f.Empty()
}
