package registry

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/errkind"
	"github.com/godwitbend/godwitbend/internal/hostaddr"
	"github.com/godwitbend/godwitbend/internal/ingress"
)

// Limits on the size and values of an announcement.
const (
	maxAnnouncementBytes = 256 << 10
	// decodedFactor is the memory of each byte of an announcement once decoded, at most.
	decodedFactor = 16
	maxNameBytes  = 128
	maxServices   = 256
	maxCapacity   = 100_000
	// maxLoad bounds each of the announced loads, so that their sum doesn't overflow.
	maxLoad = 1 << 30
)

// Handler serves POST announce.PathAnnounce.
type Handler struct {
	// Registry is the registry to which announcements are applied.
	Registry *Registry
	// Forward, if set, is called with each new announcement to forward it to the
	// other hosts. It must not block.
	Forward func(announce.Announcement)
	// OnDirect, if set, is called with the upstream's id for each announcement
	// received from the upstream itself, including repeated ones.
	OnDirect func(id string, now time.Time)
	// Observe, if set, is called with each new announcement.
	Observe func(announce.Announcement, time.Time)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// ServeHTTP implements http.Handler. It answers 204, 400 with a reason, or 405.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST is served here", http.StatusMethodNotAllowed)
		return
	}
	body, err := ingress.ReadBody(r, maxAnnouncementBytes, decodedFactor)
	var refusal *errkind.Error
	if errors.As(err, &refusal) {
		refusal.WriteHeader(w)
		return
	}
	var a announce.Announcement
	if err == nil {
		a, err = Decode(bytes.NewReader(body))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if h.OnDirect != nil {
		h.OnDirect(a.ID, time.Now())
	}
	h.Apply(a, true)
	w.WriteHeader(http.StatusNoContent)
}

// Apply applies an announcement and, if it is new and forward is set, forwards it.
func (h *Handler) Apply(a announce.Announcement, forward bool) {
	now := time.Now
	if h.Now != nil {
		now = h.Now
	}
	at := now()
	if !h.Registry.Apply(a, at) {
		return
	}
	if h.Observe != nil {
		h.Observe(a, at)
	}
	if forward && h.Forward != nil {
		h.Forward(a)
	}
}

// Decode decodes one announcement from JSON and validates it.
func Decode(body io.Reader) (announce.Announcement, error) {
	var a announce.Announcement
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return a, eris.Wrap(err, "decode announcement")
	}
	return a, Validate(&a)
}

// Validate returns an error that names the first invalid field of an announcement.
func Validate(a *announce.Announcement) error {
	switch {
	case a.ID == "" || len(a.ID) > maxNameBytes:
		return eris.Errorf("id: length must be 1 to %d bytes", maxNameBytes)
	case len(a.Zone) > maxNameBytes:
		return eris.Errorf("zone: length must be at most %d bytes", maxNameBytes)
	case a.State != announce.StateServing && a.State != announce.StateLeaving:
		return eris.Errorf("state: unknown value %q", a.State)
	case a.Kind != announce.KindEngine && a.Kind != announce.KindService:
		return eris.Errorf("kind: unknown value %q", a.Kind)
	case a.Capacity < 0 || a.Capacity > maxCapacity:
		return eris.Errorf("capacity: must be between 0 and %d", maxCapacity)
	case a.InFlight < 0 || a.InFlight > maxLoad || a.Queued < 0 || a.Queued > maxLoad:
		return eris.Errorf("in_flight, queued: must be between 0 and %d", maxLoad)
	case len(a.Services) > maxServices:
		return eris.Errorf("services: must have at most %d entries", maxServices)
	}
	for i := range a.Services {
		if name := a.Services[i].Name; name == "" || len(name) > maxNameBytes {
			return eris.Errorf("services[%d].name: length must be 1 to %d bytes", i, maxNameBytes)
		}
	}
	return validateAddress(a.Address)
}

// validateAddress requires a base URL with the IP address of one host.
func validateAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("address: %q is not an http or https URL", address)
	}
	port := map[string]string{"http": "80", "https": "443"}[u.Scheme]
	return eris.Wrapf(hostaddr.Check(net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), port))), "address: %q", address)
}
