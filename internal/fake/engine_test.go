package fake_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/fake"
)

const chatBody = `{"model":"m","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}`

// fixture is an engine under test and an HTTP client connected to it.
type fixture struct {
	*WithT
	ctx    context.Context
	engine *fake.Engine
	client *http.Client
}

// withEngine runs test in a synctest bubble with an engine of the given options.
func withEngine(t *testing.T, opts fake.EngineOptions, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		opts.Models = []announce.ServiceOffer{{Name: "m"}}
		if opts.TokenTime == 0 {
			opts.TokenTime = 10 * time.Millisecond
		}
		e := fake.NewEngine(opts)
		t.Cleanup(e.Close)
		test(&fixture{NewWithT(t), t.Context(), e, serve(t, e)})
	})
}

func (f *fixture) send(method, path, id, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://engine"+path, strings.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(announce.HeaderRequestID, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return f.client.Do(req)
}

// chat sends a chat request and returns its status and the received part of the answer.
func (f *fixture) chat(id, body string, header ...string) (int, string, error) {
	resp, err := f.send(http.MethodPost, "/v1/chat/completions", id, body, header...)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data), err
}

func (f *fixture) state(method, id string) announce.RequestState {
	resp, err := f.send(method, announce.PathRequests+id, id, "")
	f.Expect(err).NotTo(HaveOccurred())
	var s announce.RequestState
	f.Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
	_ = resp.Body.Close()
	return s
}

// streamText returns the text in the events of a stream, and whether the stream has its end
// marker.
func streamText(stream string) (string, bool) {
	var b strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if !ok || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		for _, c := range chunk.Choices {
			b.WriteString(c.Delta.Content)
		}
	}
	return b.String(), strings.Contains(stream, "data: [DONE]")
}

func TestStreamingAndNonStreamingAnswersMatch(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(f *fixture) {
		streamed := fmt.Sprintf(chatBody, true, 20, "a")
		req, err := fake.ParseChat([]byte(streamed))
		f.Expect(err).NotTo(HaveOccurred())
		want := req.AnswerText(req.OutputTokens())
		start := time.Now()
		status, stream, err := f.chat("r1", streamed)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(status).To(Equal(http.StatusOK))
		f.Expect(time.Since(start)).To(Equal(time.Duration(req.OutputTokens()) * 10 * time.Millisecond))
		got, complete := streamText(stream)
		f.Expect(got).To(Equal(want))
		f.Expect(complete).To(BeTrue())
		f.Expect(stream).To(ContainSubstring(fmt.Sprintf(`"total_tokens":%d`, req.PromptTokens()+req.OutputTokens())))
		_, answer, err := f.chat("r1", fmt.Sprintf(chatBody, false, 20, "a"))
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(answer).To(ContainSubstring(want))
	})
}

func TestStreamResumesAfterDisconnect(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(f *fixture) {
		ctx, cancel := context.WithTimeout(f.ctx, 55*time.Millisecond)
		defer cancel()
		body := fmt.Sprintf(chatBody, true, 30, "a")
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/v1/chat/completions", strings.NewReader(body))
		req.Header.Set(announce.HeaderRequestID, "r1")
		resp, err := f.client.Do(req)
		f.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		f.Expect(err).To(HaveOccurred())
		resp, err = f.send(http.MethodGet, announce.PathRequests+"r1/stream?from=5", "r1", "")
		f.Expect(err).NotTo(HaveOccurred())
		rest, err := io.ReadAll(resp.Body)
		f.Expect(err).NotTo(HaveOccurred())
		parsed, _ := fake.ParseChat([]byte(body))
		want := parsed.AnswerText(parsed.OutputTokens())
		got, complete := streamText(string(rest))
		f.Expect(complete).To(BeTrue())
		f.Expect(parsed.AnswerText(5) + got).To(Equal(want))
		f.Expect(f.engine.Truth().Records()).To(HaveLen(2))
	})
}

func TestCancelBeforeArrivalAndWhileRunning(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(f *fixture) {
		f.Expect(f.state(http.MethodDelete, "early").State).To(Equal("cancelled"))
		status, _, err := f.chat("early", fmt.Sprintf(chatBody, true, 30, "a"))
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(status).To(Equal(http.StatusConflict))
		f.Expect(f.engine.Truth().Records()).To(BeEmpty())

		go func() { _, _, _ = f.chat("late", fmt.Sprintf(chatBody, true, 30, "a")) }()
		time.Sleep(35 * time.Millisecond)
		state := f.state(http.MethodDelete, "late")
		f.Expect(state.State).To(Equal("cancelled"))
		last := f.engine.Truth().Records()[1]
		f.Expect(last.Event).To(Equal(fake.TruthCancelled))
		f.Expect(last.OutputTokens).To(Equal(int64(3)))
		f.Expect(state.Tokens).To(Equal(last.PromptTokens + last.OutputTokens))
		f.Expect(f.state(http.MethodGet, "other").State).To(Equal("unknown"))
	})
}

func TestQueueLimitAndPriority(t *testing.T) {
	withEngine(t, fake.EngineOptions{Capacity: 1, QueueLimit: 2}, func(f *fixture) {
		for i, priority := range []string{"0", "1", "9"} {
			go func() {
				_, _, _ = f.chat(fmt.Sprint("r", i), fmt.Sprintf(chatBody, true, 20, "a"), announce.HeaderPriority, priority)
			}()
			synctest.Wait()
		}
		a := f.engine.Announcement()
		f.Expect([]int{a.InFlight, a.Queued}).To(Equal([]int{1, 2}))
		status, _, err := f.chat("r3", fmt.Sprintf(chatBody, true, 20, "a"))
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(status).To(Equal(http.StatusServiceUnavailable))
		f.Expect(f.engine.Wait(f.ctx)).To(Succeed())
		var order []string
		for _, r := range f.engine.Truth().Records() {
			if r.Event == fake.TruthStarted {
				order = append(order, r.RequestID)
			}
		}
		f.Expect(order).To(Equal([]string{"r0", "r2", "r1"}))
	})
}

func TestCrashStartsNextIncarnation(t *testing.T) {
	faults := fake.Faults{CrashMarker: "poison"}
	withEngine(t, fake.EngineOptions{CommonOptions: fake.CommonOptions{Incarnation: 7, Faults: faults}}, func(f *fixture) {
		lost := make(chan error, 1)
		go func() {
			_, _, err := f.chat("innocent", fmt.Sprintf(chatBody, true, 30, "a"))
			lost <- err
		}()
		time.Sleep(25 * time.Millisecond)
		_, _, err := f.chat("guilty", fmt.Sprintf(chatBody, true, 30, "poison"))
		f.Expect(err).To(HaveOccurred())
		f.Expect(<-lost).To(HaveOccurred())
		synctest.Wait()
		f.Expect(f.engine.Announcement().Incarnation).To(Equal(uint64(8)))
		f.Expect(f.state(http.MethodGet, "innocent").State).To(Equal("unknown"))
		events := map[string]fake.TruthEvent{}
		for _, r := range f.engine.Truth().Records() {
			events[r.RequestID] = r.Event
		}
		f.Expect(events).To(HaveKeyWithValue("innocent", fake.TruthCrashed))
	})
}

func TestAnswerFaults(t *testing.T) {
	body := fmt.Sprintf(chatBody, true, 10, "a")
	withEngine(t, fake.EngineOptions{CommonOptions: fake.CommonOptions{Faults: fake.Faults{ExtraTokens: 5}}}, func(f *fixture) {
		_, stream, err := f.chat("r1", body)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(stream).To(ContainSubstring(`"completion_tokens":15`))
		f.engine.SetFaults(fake.Faults{TruncateAfter: 2})
		_, stream, err = f.chat("r2", body)
		f.Expect(err).To(HaveOccurred())
		f.Expect(strings.Count(stream, "data: ")).To(Equal(2))
		f.engine.SetFaults(fake.Faults{Refuse: true})
		_, _, err = f.chat("r3", body)
		f.Expect(err).To(HaveOccurred())
		f.engine.SetFaults(fake.Faults{DropAnswers: true})
		_, _, err = f.chat("r4", body)
		f.Expect(err).To(HaveOccurred())
		f.engine.SetFaults(fake.Faults{ForeignID: "r1"})
		resp, err := f.send(http.MethodPost, "/v1/chat/completions", "r5", body)
		f.Expect(err).NotTo(HaveOccurred())
		f.Expect(resp.Header.Get(announce.HeaderRequestID)).To(Equal("r1"))
		_ = resp.Body.Close()
		synctest.Wait()
		ran := map[string]bool{}
		for _, r := range f.engine.Truth().Records() {
			ran[r.RequestID] = true
		}
		f.Expect(ran).To(HaveLen(4))
		f.Expect(ran).NotTo(HaveKey("r3"))
	})
}

func TestPrefixCacheShortensPrefillAndPublishesEvents(t *testing.T) {
	opts := fake.EngineOptions{PromptTokenTime: time.Millisecond, CacheBlocks: 4, CacheGapEvery: 5}
	withEngine(t, opts, func(f *fixture) {
		prompt := strings.Repeat("x", 4*announce.PrefixBlockBytes)
		took := func(id string) time.Duration {
			start := time.Now()
			_, _, err := f.chat(id, fmt.Sprintf(chatBody, true, 1, prompt))
			f.Expect(err).NotTo(HaveOccurred())
			return time.Since(start)
		}
		cold, warm := took("r1"), took("r2")
		f.Expect(cold - warm).To(Equal(4 * announce.PrefixBlockBytes / 4 * time.Millisecond))
		_, _, err := f.chat("r3", fmt.Sprintf(chatBody, true, 1, strings.Repeat("y", announce.PrefixBlockBytes)))
		f.Expect(err).NotTo(HaveOccurred())
		events := f.engine.Announcement().CacheEvents
		var numbers []uint64
		for _, e := range events {
			numbers = append(numbers, e.Number)
		}
		f.Expect(numbers).To(Equal([]uint64{1, 2, 3, 4, 6}))
		f.Expect(events[4]).To(Equal(announce.CacheEvent{Number: 6, Prefix: events[0].Prefix, Evicted: true}))
	})
}
