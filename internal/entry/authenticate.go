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

// defaultDeadline is the deadline of a class that states none.
const defaultDeadline = 30 * time.Second

// identity is an authenticated caller under one configuration view.
type identity struct {
	view   *config.View
	caller *config.Caller
	class  *config.ClassSpec
}

// deadline returns the time from arrival to the first byte that the class allows.
func (id *identity) deadline() time.Duration {
	if id.class.DeadlineMS <= 0 {
		return defaultDeadline
	}
	return time.Duration(id.class.DeadlineMS) * time.Millisecond
}

// authenticate finds the caller of r by its bearer key, as identify does.
func (h *Handler) authenticate(r *http.Request) (*identity, error) {
	key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || key == "" {
		return nil, errkind.New(errkind.Unauthenticated, "a bearer key is required")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	view := h.View()
	if view == nil {
		return nil, errkind.New(errkind.LeaseLapsed, "the host has no configuration yet").WithRetryAfter(leaseRetry)
	}
	return identify(view, hash)
}

// identify returns the caller whose key has the given hash. The identity is
// returned with a Forbidden error too, if the caller is known but may have no
// work done.
func identify(view *config.View, hash string) (*identity, error) {
	caller, ok := view.CallerByKeyHash(hash)
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(caller.KeyHash)) != 1 {
		return nil, errkind.New(errkind.Unauthenticated, "the key is not known")
	}
	id := &identity{view: view, caller: caller}
	org, ok := view.Organisation(caller.Organisation)
	if !ok || org.Disabled {
		return id, errkind.New(errkind.Forbidden, "the organisation is disabled")
	}
	id.class, ok = view.Class(caller.Class)
	if !ok {
		return id, errkind.New(errkind.Forbidden, "the caller's class does not exist")
	}
	return id, nil
}

// Times after which a caller is told to come back.
const (
	leaseRetry   = time.Second
	drainRetry   = 200 * time.Millisecond
	controlRetry = time.Second
)

// checkOpen refuses work that the host may not take now.
func (h *Handler) checkOpen() error {
	if h.Draining != nil && h.Draining() {
		return errkind.New(errkind.Draining, "the host is shutting down").WithRetryAfter(drainRetry)
	}
	if h.Session() == "" {
		return errkind.New(errkind.SessionExpired, "the host has no session yet").WithRetryAfter(leaseRetry)
	}
	return h.checkLease()
}

// checkLease refuses work while the configuration lease does not hold.
func (h *Handler) checkLease() error {
	if h.LeaseValid != nil && !h.LeaseValid() {
		return errkind.New(errkind.LeaseLapsed, "the host's configuration may be out of date").WithRetryAfter(leaseRetry)
	}
	return nil
}
