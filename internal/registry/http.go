package registry

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// Limits on an announcement.
const (
	maxAnnouncementBytes = 256 << 10
	maxNameBytes         = 128
	maxServices          = 256
	maxCapacity          = 100_000
)

// Handler serves POST announce.PathAnnounce.
type Handler struct {
	// Registry takes the announcements in.
	Registry *Registry
	// Forward, if set, is called with each announcement that was news, to pass
	// it on to the other hosts. It must not block.
	Forward func(announce.Announcement)
	// Heard, if set, is called with the id of the sender of each announcement that
	// came from the upstream itself.
	Heard func(id string, now time.Time)
	// Observe, if set, is called with each announcement that was news.
	Observe func(announce.Announcement, time.Time)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
}

// ServeHTTP implements http.Handler. It answers 204, or 400 with a reason.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "only POST is served here", http.StatusMethodNotAllowed)
		return
	}
	a, err := Decode(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if h.Heard != nil {
		h.Heard(a.ID, time.Now())
	}
	h.Take(a, true)
	w.WriteHeader(http.StatusNoContent)
}

// Take takes an announcement in and, if it was news and forward is set, passes it on.
func (h *Handler) Take(a announce.Announcement, forward bool) {
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

// Decode reads and checks one announcement in JSON.
func Decode(body io.Reader) (announce.Announcement, error) {
	var a announce.Announcement
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return a, eris.Wrap(err, "decode announcement")
	}
	return a, Check(&a)
}

// Check tells what is wrong with an announcement, if anything.
func Check(a *announce.Announcement) error {
	switch {
	case a.ID == "" || len(a.ID) > maxNameBytes:
		return eris.Errorf("id: must have 1 to %d bytes", maxNameBytes)
	case len(a.Zone) > maxNameBytes:
		return eris.Errorf("zone: must have at most %d bytes", maxNameBytes)
	case a.State != announce.StateServing && a.State != announce.StateLeaving:
		return eris.Errorf("state: %q is not known", a.State)
	case a.Kind != announce.KindEngine && a.Kind != announce.KindService:
		return eris.Errorf("kind: %q is not known", a.Kind)
	case a.Capacity < 0 || a.Capacity > maxCapacity:
		return eris.Errorf("capacity: must be 0 to %d", maxCapacity)
	case a.InFlight < 0 || a.Queued < 0:
		return eris.New("in_flight, queued: must not be negative")
	case len(a.Services) > maxServices:
		return eris.Errorf("services: at most %d", maxServices)
	}
	for i := range a.Services {
		if name := a.Services[i].Name; name == "" || len(name) > maxNameBytes {
			return eris.Errorf("services[%d].name: must have 1 to %d bytes", i, maxNameBytes)
		}
	}
	return checkAddress(a.Address)
}

// checkAddress requires a base URL with an IP number.
func checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return eris.Errorf("address: %q is not an http or https URL", address)
	}
	if net.ParseIP(u.Hostname()) == nil {
		return eris.Errorf("address: the host of %q is not an IP number", address)
	}
	return nil
}
