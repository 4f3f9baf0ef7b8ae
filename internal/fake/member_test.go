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

func TestOrdersAreFencedWhereChecked(t *testing.T) {
	for _, checks := range []bool{true, false} {
		withEngine(t, fake.EngineOptions{ChecksFencing: checks}, func(b *bench) {
			give := func(id string, fencing int, model string) int {
				body := fmt.Sprintf(`{"id":%q,"fencing_number":%d,"action":"load","model":%q}`, id, fencing, model)
				resp, err := b.send(http.MethodPost, announce.PathOrders, "", body)
				b.Expect(err).NotTo(HaveOccurred())
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			b.Expect(give("o2", 2, "new")).To(Equal(http.StatusNoContent))
			b.Expect(give("o2", 2, "new")).To(Equal(http.StatusNoContent))
			old := give("o1", 1, "old")
			services := b.engine.Announcement().Services
			if checks {
				b.Expect(old).To(Equal(http.StatusConflict))
				b.Expect(services).To(HaveLen(2))
			} else {
				b.Expect(old).To(Equal(http.StatusNoContent))
				b.Expect(services).To(HaveLen(3))
			}
			b.Expect(b.engine.Truth().Records()).To(HaveLen(len(services) - 1))
		})
	}
}

func TestLoadIsAnnouncedLate(t *testing.T) {
	withEngine(t, fake.EngineOptions{Identity: fake.Identity{LoadLag: time.Second}}, func(b *bench) {
		go func() { _, _, _ = b.chat("r1", fmt.Sprintf(chatBody, true, 300, "a")) }()
		synctest.Wait()
		b.Expect(b.engine.Announcement().InFlight).To(Equal(0))
		time.Sleep(time.Second)
		b.Expect(b.engine.Announcement().InFlight).To(Equal(1))
	})
}

// inbox collects announcements as an entry host does.
type inbox struct {
	mu  sync.Mutex
	got []announce.Announcement
}

func (i *inbox) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	var a announce.Announcement
	if json.NewDecoder(r.Body).Decode(&a) != nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.got = append(i.got, a)
}

func (i *inbox) received() []announce.Announcement {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.got
}

func TestAnnouncesEverySecondAndAtOnceWhenLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := fake.NewService(fake.ServiceOptions{Identity: fake.Identity{ID: "s"}, Names: []string{"numbering"}})
		var in inbox
		a := fake.Announcer{Source: s, Hosts: []string{"http://a", "http://b"}, Client: serve(t, &in)}
		go a.Run(t.Context())
		time.Sleep(2500 * time.Millisecond)
		g.Expect(in.received()).To(HaveLen(6))
		s.Leave()
		synctest.Wait()
		g.Expect(in.received()).To(HaveLen(8))
		last := in.received()[7]
		g.Expect(last.State).To(Equal(announce.StateLeaving))
		g.Expect(last.Sequence).To(Equal(uint64(4)))
	})
}

// withService runs test in a bubble with a plain service.
func withService(t *testing.T, opts fake.ServiceOptions, test func(b *bench, s *fake.Service)) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewService(opts)
		test(&bench{WithT: NewWithT(t), ctx: t.Context(), client: serve(t, s)}, s)
	})
}

func (b *bench) call(method, path, id, body string) (int, string, error) {
	resp, err := b.send(method, path, id, body)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data), err
}

func TestServiceGivesNumbersAndTakesBookings(t *testing.T) {
	withService(t, fake.ServiceOptions{Names: []string{"numbering"}}, func(b *bench, s *fake.Service) {
		for i := range 3 {
			_, answer, err := b.call(http.MethodPost, "/series/A/next", fmt.Sprint("r", i), "")
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(answer).To(MatchJSON(fmt.Sprintf(`{"series":"A","number":%d}`, i+1)))
		}
		status, _, err := b.call(http.MethodPost, "/bookings", "r4", "wedding in Gent")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(status).To(Equal(http.StatusCreated))
		_, diary, err := b.call(http.MethodGet, "/diary", "r5", "")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(diary).To(ContainSubstring("wedding in Gent"))
		b.Expect(b.state(http.MethodGet, "r1").Body).To(MatchJSON(`{"series":"A","number":2}`))
		b.Expect(s.Truth().Records()).To(HaveLen(5))
	})
}

func TestServiceCallIsCancelledOnlyBeforeItTakesEffect(t *testing.T) {
	opts := fake.ServiceOptions{WorkTime: 10 * time.Millisecond, AnswerTime: 10 * time.Millisecond}
	withService(t, opts, func(b *bench, s *fake.Service) {
		b.Expect(b.state(http.MethodDelete, "r0").State).To(Equal("cancelled"))
		status, _, err := b.call(http.MethodPost, "/series/A/next", "r0", "")
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(status).To(Equal(http.StatusConflict))
		for _, id := range []string{"r1", "r2"} {
			go func() { _, _, _ = b.call(http.MethodPost, "/series/A/next", id, "") }()
			synctest.Wait()
			if id == "r1" {
				b.Expect(b.state(http.MethodDelete, id).State).To(Equal("cancelled"))
			} else {
				time.Sleep(15 * time.Millisecond)
				b.Expect(b.state(http.MethodDelete, id).State).To(Equal("done"))
			}
		}
		b.Expect(s.Wait(b.ctx)).To(Succeed())
		records := s.Truth().Records()
		b.Expect(records).To(HaveLen(1))
		b.Expect(records[0].RequestID).To(Equal("r2"))
	})
}

func TestServiceLosesAnswersButNotEffects(t *testing.T) {
	withService(t, fake.ServiceOptions{}, func(b *bench, s *fake.Service) {
		s.SetFaults(fake.Faults{DropAnswers: true})
		_, _, err := b.call(http.MethodPost, "/series/A/next", "r1", "")
		b.Expect(err).To(HaveOccurred())
		b.Expect(s.Truth().Records()).To(HaveLen(1))
		s.SetFaults(fake.Faults{CrashMarker: "poison"})
		_, _, err = b.call(http.MethodPost, "/bookings", "r2", "poison")
		b.Expect(err).To(HaveOccurred())
		b.Expect(b.state(http.MethodGet, "r1").State).To(Equal("unknown"))
	})
}

func TestWeightStoreLimitsTheRateOfAllFetchesTogether(t *testing.T) {
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
