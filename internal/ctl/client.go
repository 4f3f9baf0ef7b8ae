package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/godwitbend/godwitbend/internal/hosttls"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// Waits between two tries, and the bound of one answer's size.
const (
	firstPause     = 100 * time.Millisecond
	longestPause   = time.Second
	maxAnswerBytes = 64 << 20
)

// attemptTimeout bounds one try, so that a silent server leaves time for the next one.
const attemptTimeout = 10 * time.Second

// client sends calls to the first server that answers.
type client struct {
	http    *http.Client
	servers []string
	key     string
	next    int
}

func (c *command) client() (*client, error) {
	if c.keyFile == "" {
		return nil, &failure{code: exitUnauthorised, text: "error: --key-file is required"}
	}
	data, err := os.ReadFile(c.keyFile)
	if err != nil {
		return nil, err
	}
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	cl := &client{http: &http.Client{Transport: transport}, key: strings.TrimSpace(string(data))}
	for _, list := range c.servers {
		for _, server := range strings.Split(list, ",") {
			if server = strings.TrimSpace(server); server != "" {
				cl.servers = append(cl.servers, c.baseURL(server))
			}
		}
	}
	if len(cl.servers) == 0 {
		return nil, invalid("--server names no server")
	}
	return cl, nil
}

// transport returns the transport that trusts the authority that the operator names.
func (c *command) transport() (http.RoundTripper, error) {
	if c.caFile == "" {
		return c.Transport, nil
	}
	pool, err := hosttls.LoadCertPool(c.caFile)
	if err != nil {
		return nil, err
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
	return transport, nil
}

func (c *command) baseURL(server string) string {
	switch {
	case strings.Contains(server, "://"):
	case c.caFile != "":
		server = "https://" + server
	default:
		server = "http://" + server
	}
	return strings.TrimSuffix(server, "/")
}

// call sends a request until a server gives a final answer or ctx ends. The request
// must be safe to send again. A success is decoded into reply.
func (cl *client) call(ctx context.Context, method, path string, body, reply any) error {
	data, err := encodeBody(body)
	if err != nil {
		return err
	}
	var last error
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		for range cl.servers {
			final, err := cl.try(ctx, method, path, data, reply)
			if final {
				return err
			}
			if last == nil || ctx.Err() == nil {
				last = err
			}
			cl.next++
		}
		if !sleep(ctx, pause) {
			return last
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// try sends a request once. The result is final unless another try may do better.
func (cl *client) try(ctx context.Context, method, path string, body []byte, reply any) (final bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	server := cl.servers[cl.next%len(cl.servers)]
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return true, invalid("--server: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+cl.key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := cl.http.Do(request)
	if err != nil {
		return false, noAnswer(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return false, noAnswer(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return true, json.Unmarshal(data, reply)
	}
	return decodeRefusal(response.StatusCode, data)
}

func noAnswer(err error) *failure {
	return &failure{code: exitUnavailable, text: fmt.Sprintf("no answer: %v", err)}
}

// decodeRefusal reads an answer that is no success. One that is not of the API, such
// as a balancer's, is final only if it blames the request.
func decodeRefusal(status int, data []byte) (final bool, err error) {
	var refused operatorapi.ErrorReply
	if err := json.Unmarshal(data, &refused); err == nil && refused.Error.Kind != "" {
		return !refused.Error.Retryable, refusal(&refused)
	}
	text := fmt.Sprintf("answer %d is not of the operators' API: %.200s", status, data)
	if status >= http.StatusInternalServerError {
		return false, &failure{code: exitUnavailable, text: text}
	}
	return true, &failure{code: exitFailure, text: "error: " + text}
}

// change sends a change and, while it is pending, sends it again until it is
// accepted or ctx ends. Both ends are successes that reply tells apart.
func (cl *client) change(ctx context.Context, method, path string, body any, wait bool) (*operatorapi.ChangeReply, error) {
	var pending *operatorapi.ChangeReply
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		var reply operatorapi.ChangeReply
		err := cl.call(ctx, method, path, body, &reply)
		switch {
		case err != nil && pending != nil && isUnavailable(err):
			return pending, nil
		case err != nil:
			return nil, err
		case reply.State == operatorapi.StateAccepted || !wait:
			return &reply, nil
		}
		pending = &reply
		if !sleep(ctx, pause) {
			return pending, nil
		}
	}
}

// earlier returns what became of the operation that the operator names, or nil if
// it has made no change yet. A change that rests on what was read before it would
// not be the same request when sent again.
func (c *command) earlier(ctx context.Context, cl *client) (*operatorapi.ChangeReply, error) {
	if c.operationID == "" {
		return nil, nil
	}
	done, err := cl.change(ctx, "GET", operatorapi.PathChanges+"/"+url.PathEscape(c.operationID), nil, !c.noWait)
	var f *failure
	if errors.As(err, &f) && f.code == exitNotFound {
		return nil, nil
	}
	return done, err
}

func isUnavailable(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.code == exitUnavailable
}

// sleep waits for d and tells whether ctx still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
