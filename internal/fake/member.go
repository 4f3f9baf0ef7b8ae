package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/godwitbend/godwitbend/internal/announce"
)

// Paths that a stand-in serves to tests.
const (
	// PathTruth returns a TruthReport.
	PathTruth = "/truth"
	// PathFaults takes a PUT of Faults.
	PathFaults = "/admin/faults"
	// PathLeave takes a POST and starts to leave.
	PathLeave = "/admin/leave"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 16 << 20

// TruthReport is the ground truth of one stand-in.
type TruthReport struct {
	Upstream    string        `json:"upstream"`
	Incarnation uint64        `json:"incarnation"`
	Records     []TruthRecord `json:"records"`
}

// Identity describes a stand-in to the system.
type Identity struct {
	ID   string
	Zone string
	// Address is the base URL under which the system reaches it.
	Address string
	// Incarnation defaults to the time of the start in nanoseconds.
	Incarnation uint64
	// LoadLag is the age of the load that announcements tell.
	LoadLag time.Duration
	// Truth records what it runs; nil means a new record.
	Truth *Truth
	// Faults are the faults at the start.
	Faults Faults
	// OnCrash, if set, is called when the stand-in crashes, after the truth was recorded.
	OnCrash func()
	// HideRequests makes it announce that it does not know requests by id.
	HideRequests bool
}

// loadSample is the load at one time.
type loadSample struct {
	at               time.Time
	inFlight, queued int
}

// member is what all stand-ins share: identity, leaving, faults and truth.
type member struct {
	mu          sync.Mutex
	identity    Identity
	incarnation uint64
	sequence    uint64
	leavingAt   time.Time
	faults      Faults
	samples     []loadSample
	truth       *Truth
	changed     chan struct{}
}

func newMember(id Identity) *member {
	if id.Incarnation == 0 {
		id.Incarnation = uint64(time.Now().UnixNano())
	}
	if id.Truth == nil {
		id.Truth = NewTruth(nil)
	}
	return &member{
		identity:    id,
		incarnation: id.Incarnation,
		faults:      id.Faults,
		truth:       id.Truth,
		changed:     make(chan struct{}, 1),
	}
}

// Truth returns the record of what the stand-in ran.
func (m *member) Truth() *Truth { return m.truth }

// Changed receives a value when the next announcement should not wait.
func (m *member) Changed() <-chan struct{} { return m.changed }

// Leave makes the stand-in announce that it leaves. It still runs what reaches it.
func (m *member) Leave() {
	m.mu.Lock()
	if m.leavingAt.IsZero() {
		m.leavingAt = time.Now()
	}
	m.mu.Unlock()
	m.notify()
}

// SetFaults replaces the faults.
func (m *member) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

func (m *member) currentFaults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

func (m *member) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// restart begins the next incarnation.
func (m *member) restart() {
	m.mu.Lock()
	m.incarnation++
	m.sequence = 0
	m.samples = nil
	m.mu.Unlock()
	m.notify()
}

// record adds r to the truth under incarnation.
func (m *member) record(incarnation uint64, r TruthRecord) {
	m.mu.Lock()
	r.Upstream = m.identity.ID
	r.Incarnation = incarnation
	if !m.leavingAt.IsZero() {
		r.AfterLeaving = time.Since(m.leavingAt).Milliseconds()
	}
	m.mu.Unlock()
	m.truth.add(r)
}

func (m *member) currentIncarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// announcement returns the next announcement with the given present load.
func (m *member) announcement(inFlight, queued int) announce.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	state := announce.StateServing
	if !m.leavingAt.IsZero() {
		state = announce.StateLeaving
	}
	seen := m.laggedLoad(loadSample{at: time.Now(), inFlight: inFlight, queued: queued})
	return announce.Announcement{
		ID:                 m.identity.ID,
		Incarnation:        m.incarnation,
		Sequence:           m.sequence,
		Zone:               m.identity.Zone,
		Address:            m.identity.Address,
		InFlight:           seen.inFlight,
		Queued:             seen.queued,
		State:              state,
		ServesRequestState: !m.identity.HideRequests,
	}
}

// laggedLoad stores now and returns the newest sample that is at least LoadLag old.
func (m *member) laggedLoad(now loadSample) loadSample {
	m.samples = append(m.samples, now)
	var seen loadSample
	kept := 0
	for i, s := range m.samples {
		if now.at.Sub(s.at) >= m.identity.LoadLag {
			seen = s
			kept = i
		}
	}
	m.samples = m.samples[kept:]
	return seen
}

// addAdmin registers the paths that tests use.
func (m *member) addAdmin(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathTruth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, TruthReport{
			Upstream:    m.identity.ID,
			Incarnation: m.currentIncarnation(),
			Records:     m.truth.Records(),
		})
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		m.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, _ *http.Request) {
		m.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
}

// readBody reads the whole body of r.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]map[string]string{"error": {"message": message}})
}

// dropConnection ends the request without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }

// writeState answers a question about a request as the present incarnation.
func (m *member) writeState(w http.ResponseWriter, state announce.RequestState) {
	state.Incarnation = m.currentIncarnation()
	writeJSON(w, http.StatusOK, state)
}

// meant tells whether a request is meant for the present incarnation.
func (m *member) meant(r *http.Request) bool {
	want := r.Header.Get(announce.HeaderIncarnation)
	return want == "" || want == formatIncarnation(m.currentIncarnation())
}

// setIncarnation names the present incarnation in an answer.
func (m *member) setIncarnation(w http.ResponseWriter) {
	w.Header().Set(announce.HeaderIncarnation, formatIncarnation(m.currentIncarnation()))
}

func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 10) }
