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

// Paths of a stand-in's API for tests.
const (
	// PathTruth returns a TruthReport.
	PathTruth = "/truth"
	// PathFaults accepts a PUT of Faults, which replace the current ones.
	PathFaults = "/admin/faults"
	// PathLeave accepts a POST, which makes the stand-in leave.
	PathLeave = "/admin/leave"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

// TruthReport is the ground truth of one stand-in.
type TruthReport struct {
	Upstream    string        `json:"upstream"`
	Incarnation uint64        `json:"incarnation"`
	Records     []TruthRecord `json:"records"`
}

// CommonOptions are the options that all stand-ins share.
type CommonOptions struct {
	ID   string
	Zone string
	// Address is the base URL at which hosts reach the stand-in.
	Address string
	// Incarnation defaults to the start time in nanoseconds since the Unix epoch.
	Incarnation uint64
	// LoadLag is the minimum age of the load that announcements report.
	LoadLag time.Duration
	// Truth records what the stand-in runs; nil means an empty record.
	Truth *GroundTruth
	// Faults are the initial faults.
	Faults Faults
	// OnCrash, if not nil, is called when the stand-in crashes, after the ground truth was recorded.
	OnCrash func()
	// HideRequestState makes the stand-in announce that it does not report the state of requests.
	HideRequestState bool
}

// loadSample is the load of a stand-in at one time.
type loadSample struct {
	at               time.Time
	inFlight, queued int
}

// standIn implements what all stand-ins share: announcements, leaving, faults and the
// ground truth.
type standIn struct {
	mu          sync.Mutex
	common      CommonOptions
	incarnation uint64
	sequence    uint64
	leavingAt   time.Time
	faults      Faults
	samples     []loadSample
	truth       *GroundTruth
	changed     chan struct{}
}

func newStandIn(opts CommonOptions) *standIn {
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(time.Now().UnixNano())
	}
	if opts.Truth == nil {
		opts.Truth = NewGroundTruth(nil)
	}
	return &standIn{
		common:      opts,
		incarnation: opts.Incarnation,
		faults:      opts.Faults,
		truth:       opts.Truth,
		changed:     make(chan struct{}, 1),
	}
}

// Truth returns the ground truth of the stand-in.
func (s *standIn) Truth() *GroundTruth { return s.truth }

// Changed returns a channel that receives a value when an announcement is due before the
// next interval.
func (s *standIn) Changed() <-chan struct{} { return s.changed }

// Leave makes the stand-in announce that it is leaving. It still runs the requests that it
// receives.
func (s *standIn) Leave() {
	s.mu.Lock()
	if s.leavingAt.IsZero() {
		s.leavingAt = time.Now()
	}
	s.mu.Unlock()
	s.notify()
}

// SetFaults replaces the injected faults.
func (s *standIn) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *standIn) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *standIn) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// restart begins the next incarnation.
func (s *standIn) restart() {
	s.mu.Lock()
	s.incarnation++
	s.sequence = 0
	s.samples = nil
	s.mu.Unlock()
	s.notify()
}

// record adds r to the ground truth as an event of the given incarnation.
func (s *standIn) record(incarnation uint64, r TruthRecord) {
	s.mu.Lock()
	r.Upstream = s.common.ID
	r.Incarnation = incarnation
	if !s.leavingAt.IsZero() {
		r.AfterLeavingMS = time.Since(s.leavingAt).Milliseconds()
	}
	s.mu.Unlock()
	s.truth.add(r)
}

func (s *standIn) currentIncarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// announcement returns the next announcement, given the current load.
func (s *standIn) announcement(inFlight, queued int) announce.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := announce.StateServing
	if !s.leavingAt.IsZero() {
		state = announce.StateLeaving
	}
	reported := s.laggedLoad(loadSample{at: time.Now(), inFlight: inFlight, queued: queued})
	return announce.Announcement{
		ID:                 s.common.ID,
		Incarnation:        s.incarnation,
		Sequence:           s.sequence,
		Zone:               s.common.Zone,
		Address:            s.common.Address,
		InFlight:           reported.inFlight,
		Queued:             reported.queued,
		State:              state,
		ServesRequestState: !s.common.HideRequestState,
	}
}

// laggedLoad stores the current load and returns the newest sample that is at least LoadLag
// old, or an empty one.
func (s *standIn) laggedLoad(current loadSample) loadSample {
	s.samples = append(s.samples, current)
	var reported loadSample
	kept := 0
	for i, sample := range s.samples {
		if current.at.Sub(sample.at) >= s.common.LoadLag {
			reported = sample
			kept = i
		}
	}
	s.samples = s.samples[kept:]
	return reported
}

// addAdminRoutes registers the API for tests.
func (s *standIn) addAdminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathTruth, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, TruthReport{
			Upstream:    s.common.ID,
			Incarnation: s.currentIncarnation(),
			Records:     s.truth.Records(),
		})
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, _ *http.Request) {
		s.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
}

// readBody reads the body of r. If that fails, it answers with an error and reports false.
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

// dropConnection aborts the request and closes its connection.
func dropConnection() { panic(http.ErrAbortHandler) }

// writeState answers with the state of a request, as reported by the current incarnation.
func (s *standIn) writeState(w http.ResponseWriter, state announce.RequestState) {
	state.Incarnation = s.currentIncarnation()
	writeJSON(w, http.StatusOK, state)
}

// matchesIncarnation reports whether a request is addressed to the current incarnation, or
// to any.
func (s *standIn) matchesIncarnation(r *http.Request) bool {
	want := r.Header.Get(announce.HeaderIncarnation)
	return want == "" || want == formatIncarnation(s.currentIncarnation())
}

// setIncarnation sets the header that names the current incarnation.
func (s *standIn) setIncarnation(w http.ResponseWriter) {
	w.Header().Set(announce.HeaderIncarnation, formatIncarnation(s.currentIncarnation()))
}

func formatIncarnation(n uint64) string { return strconv.FormatUint(n, 10) }
