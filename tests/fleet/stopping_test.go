package fleet_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/fake"
	"github.com/godwitbend/godwitbend/internal/harness"
)

// ended is how a request ended: its status, 0 without a whole answer, and the body.
type ended struct {
	what, body string
	status     int
}

// send sends a request to a host without a timeout of its own.
func (s *site) send(ctx context.Context, h *host, what, path, key string, body io.Reader) ended {
	client := s.net.Node(callersNode).Client()
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.callersURL()+path, body)
	s.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	if err != nil {
		return ended{what: what, body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return ended{what: what, body: err.Error()}
	}
	return ended{what, string(data), resp.StatusCode}
}

// Guards against requests whose deadline is later than the end of the drain, and that are cut without an answer then.
func TestStoppingHostAnswersRequestsThatOutlastItsDrain(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3, engine: fake.EngineOptions{TokenTime: 9 * time.Second}, plainTime: 12 * time.Minute}, func(s *site) {
		s.mustApply(s.hosts[0], s.newChange(config.KindClass, "c", `{"worth":5,"deadline_ms":3600000}`))
		time.Sleep(settleTime)
		stopping := s.hosts[3]
		ctx, exit := context.WithCancel(context.Background())
		defer exit()
		results := make(chan ended, 4)
		start := func(what, path string, body io.Reader) {
			go func() { results <- s.send(ctx, stopping, what, path, what, body) }()
		}
		chat := fmt.Sprintf(`{"model":%q,"max_tokens":200,"messages":[{"role":"user","content":"good morning"}]}`, modelName)
		start("model", harness.PathChat, strings.NewReader(chat))
		start("stream", harness.PathChat, strings.NewReader(strings.Replace(chat, "{", `{"stream":true,`, 1)))
		start("service", "/services/"+plainName+"/series/a/next", nil)
		unfinished, finish := io.Pipe()
		start("unfinished", harness.PathChat, unfinished)
		_, _ = finish.Write([]byte("{"))
		time.Sleep(time.Second)
		stopping.cancel()
		err := <-stopping.done
		stopping.done <- err
		exit()
		_ = finish.Close()
		statuses, bodies := map[string]int{}, map[string]string{}
		for range 4 {
			r := <-results
			statuses[r.what], bodies[r.what] = r.status, r.body
		}
		s.Expect(statuses).To(Equal(map[string]int{
			"model": http.StatusGatewayTimeout, "service": http.StatusGatewayTimeout, "unfinished": http.StatusServiceUnavailable,
			"stream": http.StatusOK,
		}), "%v", bodies)
		s.Expect(bodies["stream"]).To(And(ContainSubstring("the stream was interrupted"), Not(ContainSubstring("[DONE]"))))
		s.Expect(err).NotTo(HaveOccurred())
		retry := s.send(context.Background(), s.hosts[0], "retry", "/services/"+plainName+"/series/a/next", "service", nil)
		s.Expect(retry.status).To(Equal(http.StatusOK), retry.body)
		s.Expect(retry.body).To(ContainSubstring(`"number":1`), "the call ran once")
		s.Expect(s.budget(s.hosts[0]).Reserved).To(BeZero())
	})
}
