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

// bench is one engine and a client of it.
type bench struct {
	*WithT
	ctx    context.Context
	engine *fake.Engine
	client *http.Client
}

// withEngine runs test in a bubble with an engine of the given options.
func withEngine(t *testing.T, opts fake.EngineOptions, test func(*bench)) {
	synctest.Test(t, func(t *testing.T) {
		opts.Models = []announce.ServiceOffer{{Name: "m"}}
		if opts.TokenTime == 0 {
			opts.TokenTime = 10 * time.Millisecond
		}
		e := fake.NewEngine(opts)
		t.Cleanup(e.Close)
		test(&bench{NewWithT(t), t.Context(), e, serve(t, e)})
	})
}

func (b *bench) send(method, path, id, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://engine"+path, strings.NewReader(body))
	b.Expect(err).NotTo(HaveOccurred())
	req.Header.Set(announce.HeaderRequestID, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return b.client.Do(req)
}

// chat sends a chat request and returns its status and what arrived of the answer.
func (b *bench) chat(id, body string, header ...string) (int, string, error) {
	resp, err := b.send(http.MethodPost, "/v1/chat/completions", id, body, header...)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, string(data), err
}

func (b *bench) state(method, id string) announce.RequestState {
	resp, err := b.send(method, announce.PathRequests+id, id, "")
	b.Expect(err).NotTo(HaveOccurred())
	var s announce.RequestState
	b.Expect(json.NewDecoder(resp.Body).Decode(&s)).To(Succeed())
	_ = resp.Body.Close()
	return s
}

// text returns the text in a stream's events and whether it has the end marker.
func text(stream string) (string, bool) {
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

func TestStreamAndWholeAnswerAgree(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(b *bench) {
		streamed := fmt.Sprintf(chatBody, true, 20, "a")
		req, err := fake.ParseChat([]byte(streamed))
		b.Expect(err).NotTo(HaveOccurred())
		want := req.AnswerText(req.OutputTokens())
		start := time.Now()
		status, stream, err := b.chat("r1", streamed)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(status).To(Equal(http.StatusOK))
		b.Expect(time.Since(start)).To(Equal(time.Duration(req.OutputTokens()) * 10 * time.Millisecond))
		got, whole := text(stream)
		b.Expect(got).To(Equal(want))
		b.Expect(whole).To(BeTrue())
		b.Expect(stream).To(ContainSubstring(fmt.Sprintf(`"total_tokens":%d`, req.PromptTokens()+req.OutputTokens())))
		_, answer, err := b.chat("r1", fmt.Sprintf(chatBody, false, 20, "a"))
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(answer).To(ContainSubstring(want))
	})
}

func TestStreamIsResumedAfterTheReaderIsGone(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(b *bench) {
		ctx, cancel := context.WithTimeout(b.ctx, 55*time.Millisecond)
		defer cancel()
		body := fmt.Sprintf(chatBody, true, 30, "a")
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://engine/v1/chat/completions", strings.NewReader(body))
		req.Header.Set(announce.HeaderRequestID, "r1")
		resp, err := b.client.Do(req)
		b.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		b.Expect(err).To(HaveOccurred())
		resp, err = b.send(http.MethodGet, announce.PathRequests+"r1/stream?from=5", "r1", "")
		b.Expect(err).NotTo(HaveOccurred())
		rest, err := io.ReadAll(resp.Body)
		b.Expect(err).NotTo(HaveOccurred())
		parsed, _ := fake.ParseChat([]byte(body))
		want := parsed.AnswerText(parsed.OutputTokens())
		got, whole := text(string(rest))
		b.Expect(whole).To(BeTrue())
		b.Expect(parsed.AnswerText(5) + got).To(Equal(want))
		b.Expect(b.engine.Truth().Records()).To(HaveLen(2))
	})
}

func TestCancelBeforeArrivalAndWhileRunning(t *testing.T) {
	withEngine(t, fake.EngineOptions{}, func(b *bench) {
		b.Expect(b.state(http.MethodDelete, "early").State).To(Equal("cancelled"))
		status, _, err := b.chat("early", fmt.Sprintf(chatBody, true, 30, "a"))
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(status).To(Equal(http.StatusConflict))
		b.Expect(b.engine.Truth().Records()).To(BeEmpty())

		go func() { _, _, _ = b.chat("late", fmt.Sprintf(chatBody, true, 30, "a")) }()
		time.Sleep(35 * time.Millisecond)
		state := b.state(http.MethodDelete, "late")
		b.Expect(state.State).To(Equal("cancelled"))
		last := b.engine.Truth().Records()[1]
		b.Expect(last.Event).To(Equal(fake.TruthCancelled))
		b.Expect(last.OutputTokens).To(Equal(int64(3)))
		b.Expect(state.Tokens).To(Equal(last.PromptTokens + last.OutputTokens))
		b.Expect(b.state(http.MethodGet, "other").State).To(Equal("unknown"))
	})
}

func TestQueueIsBoundedAndServedByPriority(t *testing.T) {
	withEngine(t, fake.EngineOptions{Capacity: 1, Queue: 2}, func(b *bench) {
		for i, priority := range []string{"0", "1", "9"} {
			go func() {
				_, _, _ = b.chat(fmt.Sprint("r", i), fmt.Sprintf(chatBody, true, 20, "a"), announce.HeaderPriority, priority)
			}()
			synctest.Wait()
		}
		a := b.engine.Announcement()
		b.Expect([]int{a.InFlight, a.Queued}).To(Equal([]int{1, 2}))
		status, _, err := b.chat("r3", fmt.Sprintf(chatBody, true, 20, "a"))
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(status).To(Equal(http.StatusServiceUnavailable))
		b.Expect(b.engine.Wait(b.ctx)).To(Succeed())
		var order []string
		for _, r := range b.engine.Truth().Records() {
			if r.Event == fake.TruthStarted {
				order = append(order, r.RequestID)
			}
		}
		b.Expect(order).To(Equal([]string{"r0", "r2", "r1"}))
	})
}

func TestCrashDropsAllAndStartsTheNextIncarnation(t *testing.T) {
	faults := fake.Faults{CrashMarker: "poison"}
	withEngine(t, fake.EngineOptions{Identity: fake.Identity{Incarnation: 7, Faults: faults}}, func(b *bench) {
		lost := make(chan error, 1)
		go func() {
			_, _, err := b.chat("innocent", fmt.Sprintf(chatBody, true, 30, "a"))
			lost <- err
		}()
		time.Sleep(25 * time.Millisecond)
		_, _, err := b.chat("guilty", fmt.Sprintf(chatBody, true, 30, "poison"))
		b.Expect(err).To(HaveOccurred())
		b.Expect(<-lost).To(HaveOccurred())
		synctest.Wait()
		b.Expect(b.engine.Announcement().Incarnation).To(Equal(uint64(8)))
		b.Expect(b.state(http.MethodGet, "innocent").State).To(Equal("unknown"))
		events := map[string]fake.TruthEvent{}
		for _, r := range b.engine.Truth().Records() {
			events[r.RequestID] = r.Event
		}
		b.Expect(events).To(HaveKeyWithValue("innocent", fake.TruthCrashed))
	})
}

func TestAnswerFaults(t *testing.T) {
	body := fmt.Sprintf(chatBody, true, 10, "a")
	withEngine(t, fake.EngineOptions{Identity: fake.Identity{Faults: fake.Faults{ExtraTokens: 5}}}, func(b *bench) {
		_, stream, err := b.chat("r1", body)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(stream).To(ContainSubstring(`"completion_tokens":15`))
		b.engine.SetFaults(fake.Faults{TruncateAfter: 2})
		_, stream, err = b.chat("r2", body)
		b.Expect(err).To(HaveOccurred())
		b.Expect(strings.Count(stream, "data: ")).To(Equal(2))
		b.engine.SetFaults(fake.Faults{Refuse: true})
		_, _, err = b.chat("r3", body)
		b.Expect(err).To(HaveOccurred())
		b.engine.SetFaults(fake.Faults{DropAnswers: true})
		_, _, err = b.chat("r4", body)
		b.Expect(err).To(HaveOccurred())
		b.engine.SetFaults(fake.Faults{ForeignID: "r1"})
		resp, err := b.send(http.MethodPost, "/v1/chat/completions", "r5", body)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(resp.Header.Get(announce.HeaderRequestID)).To(Equal("r1"))
		_ = resp.Body.Close()
		synctest.Wait()
		ran := map[string]bool{}
		for _, r := range b.engine.Truth().Records() {
			ran[r.RequestID] = true
		}
		b.Expect(ran).To(HaveLen(4))
		b.Expect(ran).NotTo(HaveKey("r3"))
	})
}

func TestCacheSavesPromptTimeAndPublishesItsEvents(t *testing.T) {
	opts := fake.EngineOptions{PromptTokenTime: time.Millisecond, CacheBlocks: 4, CacheGapEvery: 5}
	withEngine(t, opts, func(b *bench) {
		prompt := strings.Repeat("x", 4*announce.PrefixBlockBytes)
		took := func(id string) time.Duration {
			start := time.Now()
			_, _, err := b.chat(id, fmt.Sprintf(chatBody, true, 1, prompt))
			b.Expect(err).NotTo(HaveOccurred())
			return time.Since(start)
		}
		cold, warm := took("r1"), took("r2")
		b.Expect(cold - warm).To(Equal(4 * announce.PrefixBlockBytes / 4 * time.Millisecond))
		_, _, err := b.chat("r3", fmt.Sprintf(chatBody, true, 1, strings.Repeat("y", announce.PrefixBlockBytes)))
		b.Expect(err).NotTo(HaveOccurred())
		events := b.engine.Announcement().CacheEvents
		var numbers []uint64
		for _, e := range events {
			numbers = append(numbers, e.Number)
		}
		b.Expect(numbers).To(Equal([]uint64{1, 2, 3, 4, 6}))
		b.Expect(events[4]).To(Equal(announce.CacheEvent{Number: 6, Prefix: events[0].Prefix, Evicted: true}))
	})
}
