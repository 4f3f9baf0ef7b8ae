package fake_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
)

func TestEngineChecksFencingNumber(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withEngine(t, fake.EngineOptions{ChecksFencing: checks}, func(f *fixture) {
			sendOrder := func(id string, fencing int, model string) int {
				body := fmt.Sprintf(`{"id":%q,"fencing_number":%d,"action":"load","model":%q}`, id, fencing, model)
				resp, err := f.send(http.MethodPost, announce.PathOrders, "", body)
				f.Expect(err).NotTo(HaveOccurred())
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			f.Expect(sendOrder("o2", 2, "new")).To(Equal(http.StatusNoContent))
			f.Expect(sendOrder("o2", 2, "new")).To(Equal(http.StatusNoContent))
			old := sendOrder("o1", 1, "old")
			services := f.engine.Announcement().Services
			if checks {
				f.Expect(old).To(Equal(http.StatusConflict))
				f.Expect(services).To(HaveLen(2))
			} else {
				f.Expect(old).To(Equal(http.StatusNoContent))
				f.Expect(services).To(HaveLen(3))
			}
			f.Expect(f.engine.Truth().Records()).To(HaveLen(len(services) - 1))
		})
	}
}

func TestAnnouncedLoadLags(t *testing.T) {
	withEngine(t, fake.EngineOptions{CommonOptions: fake.CommonOptions{LoadLag: time.Second}}, func(f *fixture) {
		go func() { _, _, _ = f.chat("r1", fmt.Sprintf(chatBody, true, 300, "a")) }()
		synctest.Wait()
		f.Expect(f.engine.Announcement().InFlight).To(Equal(0))
		time.Sleep(time.Second)
		f.Expect(f.engine.Announcement().InFlight).To(Equal(1))
	})
}

// announcementRecorder collects announcements as an entry host does.
type announcementRecorder struct {
	mu            sync.Mutex
	announcements []announce.Announcement
}

func (rec *announcementRecorder) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var a announce.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.announcements = append(rec.announcements, a)
}

func (rec *announcementRecorder) received() []announce.Announcement {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.announcements
}

func TestAnnouncerSendsEverySecondAndOnLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := fake.NewService(fake.ServiceOptions{CommonOptions: fake.CommonOptions{ID: "s"}, Names: []string{"numbering"}})
		var recorder announcementRecorder
		a := fake.Announcer{Source: s, Hosts: []string{"http://a", "http://b"}, Client: serve(t, &recorder)}
		go a.Run(t.Context())
		time.Sleep(2500 * time.Millisecond)
		g.Expect(recorder.received()).To(HaveLen(6))
		s.Leave()
		synctest.Wait()
		g.Expect(recorder.received()).To(HaveLen(8))
		last := recorder.received()[7]
		g.Expect(last.State).To(Equal(announce.StateLeaving))
		g.Expect(last.Sequence).To(Equal(uint64(4)))
	})
}

// withService runs test in a synctest bubble with a plain service.
func withService(t *testing.T, opts fake.ServiceOptions, test func(f *fixture, s *fake.Service)) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewService(opts)
		test(&fixture{WithT: NewWithT(t), ctx: t.Context(), client: serve(t, s)}, s)
	})
}

func (f *fixture) call(method, path, id, body string) (int, string, error) {
	resp, err := f.send(method, path, id, body)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data), err
}

func TestServiceSeriesAndBookings(t *testing.T) {
	withService(t, fake.ServiceOptions{Names: []string{"numbering"}}, func(f *fixture, s *fake.Service) {
		for i := range 3 {
			_, answer, err := f.call(http.MethodPost, "/series/A/next", fmt.Sprint("r", i), "")
			f.Expect(err).NotTo(HaveOccurred())
			f.Expect(answer).To(MatchJSON(fmt.Sprintf(`{"series":"A","number":%d}`, i+1)))
		}
		status, _, err := f.call(http.MethodPost, "/bookings", "r4", "wedding in Gent")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(status).To(Equal(http.StatusCreated))
		_, diary, err := f.call(http.MethodGet, "/diary", "r5", "")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(diary).To(ContainSubstring("wedding in Gent"))
		f.Expect(f.state(http.MethodGet, "r1").Body).To(MatchJSON(`{"series":"A","number":2}`))
		f.Expect(s.Truth().Records()).To(HaveLen(5))
	})
}

func TestServiceCancelsOnlyBeforeEffect(t *testing.T) {
	opts := fake.ServiceOptions{WorkTime: 10 * time.Millisecond, AnswerTime: 10 * time.Millisecond}
	withService(t, opts, func(f *fixture, s *fake.Service) {
		f.Expect(f.state(http.MethodDelete, "r0").State).To(Equal("cancelled"))
		status, _, err := f.call(http.MethodPost, "/series/A/next", "r0", "")
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(status).To(Equal(http.StatusConflict))
		for _, id := range []string{"r1", "r2"} {
			go func() { _, _, _ = f.call(http.MethodPost, "/series/A/next", id, "") }()
			synctest.Wait()
			if id == "r1" {
				f.Expect(f.state(http.MethodDelete, id).State).To(Equal("cancelled"))
			} else {
				time.Sleep(15 * time.Millisecond)
				f.Expect(f.state(http.MethodDelete, id).State).To(Equal("done"))
			}
		}
		f.Expect(s.Wait(f.ctx)).To(Succeed())
		records := s.Truth().Records()
		f.Expect(records).To(HaveLen(1))
		f.Expect(records[0].RequestID).To(Equal("r2"))
	})
}

func TestServiceEffectSurvivesLostAnswer(t *testing.T) {
	withService(t, fake.ServiceOptions{}, func(f *fixture, s *fake.Service) {
		s.SetFaults(fake.Faults{DropAnswers: true})
		_, _, err := f.call(http.MethodPost, "/series/A/next", "r1", "")
		f.Expect(err).To(HaveOccurred())
		f.Expect(s.Truth().Records()).To(HaveLen(1))
		s.SetFaults(fake.Faults{CrashMarker: "poison"})
		_, _, err = f.call(http.MethodPost, "/bookings", "r2", "poison")
		f.Expect(err).To(HaveOccurred())
		f.Expect(f.state(http.MethodGet, "r1").State).To(Equal("unknown"))
	})
}

func TestWeightStoreFetchesShareRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		store := fake.NewWeightStore(1000, 1000)
		client := serve(t, store)
		start := time.Now()
		var fetches sync.WaitGroup
		for range 3 {
			fetches.Go(func() {
				resp, err := client.Get("http://weights/weights/m")
				if err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		fetches.Wait()
		g.Expect(time.Since(start)).To(Equal(3 * time.Second))
		g.Expect(store.Fetches()).To(Equal(3))
	})
}
