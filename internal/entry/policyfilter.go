package entry

import "github.com/godwitbend/godwitbend/internal/config"

// policyFilter returns the policy filter of the caller's organisation for service.
// The second result is false if no policy allows the service.
func (id *identity) policyFilter(service string) (config.Filter, bool) {
	f := id.view.Filter(id.caller.Organisation, service)
	return f, !f.Empty()
}
