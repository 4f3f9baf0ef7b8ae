package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/errkind"
)

// defaultDeadline applies to priority classes that don't configure a deadline.
const defaultDeadline = 30 * time.Second

// identity is an authenticated caller as defined by one configuration view.
type identity struct {
	view   *config.View
	caller *config.Caller
	class  *config.ClassSpec
}

// deadline returns the time that the class allows from arrival to the first event of the answer.
func (id *identity) deadline() time.Duration {
	if id.class.DeadlineMS <= 0 {
		return defaultDeadline
	}
	return time.Duration(id.class.DeadlineMS) * time.Millisecond
}

// authenticate looks up the caller of r by its bearer key. It returns what identify returns.
func (h *Handler) authenticate(r *http.Request) (*identity, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, errkind.New(errkind.Unauthenticated, "a bearer key is required")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	view := h.View()
	if view == nil {
		return nil, errkind.New(errkind.LeaseLapsed, "the host has not received a configuration yet").WithRetryAfter(leaseRetryAfter)
	}
	return identify(view, hash)
}

// identify returns the caller whose key has the given hash. If the caller is
// known but not allowed to send requests, it returns the identity together with
// a Forbidden error.
func identify(view *config.View, hash string) (*identity, error) {
	caller, ok := view.CallerByKeyHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(caller.KeyHash)) != 1 {
		return nil, errkind.New(errkind.Unauthenticated, "the bearer key is unknown")
	}
	id := &identity{view: view, caller: caller}
	org, ok := view.Organisation(caller.Organisation)
	if !ok || org.Disabled {
		return id, errkind.New(errkind.Forbidden, "the organisation is disabled")
	}
	id.class, ok = view.Class(caller.Class)
	if !ok {
		return id, errkind.New(errkind.Forbidden, "the caller's priority class does not exist")
	}
	return id, nil
}

// Retry-After values.
const (
	leaseRetryAfter   = time.Second
	drainRetryAfter   = 200 * time.Millisecond
	controlRetryAfter = time.Second
)

func errDraining() *errkind.Error {
	return errkind.New(errkind.Draining, "the host is draining").WithRetryAfter(drainRetryAfter)
}

// checkAcceptingWork returns an error while the host must not accept new requests.
func (h *Handler) checkAcceptingWork() error {
	if h.Draining != nil && h.Draining() {
		return errDraining()
	}
	if h.Session() == "" {
		return errkind.New(errkind.SessionExpired, "the host has no session").WithRetryAfter(leaseRetryAfter)
	}
	return h.checkLease()
}

// checkLease returns an error while the configuration lease is not valid.
func (h *Handler) checkLease() error {
	if h.LeaseValid != nil && !h.LeaseValid() {
		return errkind.New(errkind.LeaseLapsed, "the host's configuration lease has lapsed").WithRetryAfter(leaseRetryAfter)
	}
	return nil
}
