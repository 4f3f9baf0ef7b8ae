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

// Backoff between two rounds over all servers, and the maximum size of a response.
const (
	initialBackoff   = 100 * time.Millisecond
	maxBackoff       = time.Second
	maxResponseBytes = 64 << 20
)

// requestTimeout bounds one HTTP request, so that an unresponsive server leaves time to
// try the next one.
const requestTimeout = 10 * time.Second

// client calls the operators' API on the first server that answers.
type client struct {
	http    *http.Client
	servers []string
	key     string
	// next is the index, modulo the number of servers, of the server to call.
	next int
}

// client returns a client for the servers and the key of the command line.
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
		return nil, usageError("--server names no server")
	}
	return cl, nil
}

// transport returns the transport for the calls. With --ca-file it trusts only that
// authority.
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
// must be safe to repeat. A successful response is decoded into reply.
func (cl *client) call(ctx context.Context, method, path string, body, reply any) error {
	data, err := encodeBody(body)
	if err != nil {
		return err
	}
	var lastErr error
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		for range cl.servers {
			final, err := cl.sendOnce(ctx, method, path, data, reply)
			if final {
				return err
			}
			if lastErr == nil || ctx.Err() == nil {
				lastErr = err
			}
			cl.next++
		}
		if !sleep(ctx, backoff) {
			return lastErr
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// sendOnce sends a request to one server. The result is final unless a retry may succeed.
func (cl *client) sendOnce(ctx context.Context, method, path string, body []byte, reply any) (final bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	server := cl.servers[cl.next%len(cl.servers)]
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return true, usageError("--server: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+cl.key)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := cl.http.Do(request)
	if err != nil {
		return false, unavailable(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return false, unavailable(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return true, json.Unmarshal(data, reply)
	}
	return decodeErrorReply(response.StatusCode, data)
}

func unavailable(err error) *failure {
	return &failure{code: exitUnavailable, text: fmt.Sprintf("no answer: %v", err)}
}

// decodeErrorReply decodes an unsuccessful response. A response that does not come from
// the API, such as a load balancer's, is final unless its status is 5xx.
func decodeErrorReply(status int, data []byte) (final bool, err error) {
	var errorReply operatorapi.ErrorReply
	if err := json.Unmarshal(data, &errorReply); err == nil && errorReply.Error.Kind != "" {
		return !errorReply.Error.Retryable, failureFromReply(&errorReply)
	}
	text := fmt.Sprintf("response with status %d is not from the operators' API: %.200s", status, data)
	if status >= http.StatusInternalServerError {
		return false, &failure{code: exitUnavailable, text: text}
	}
	return true, &failure{code: exitFailure, text: "error: " + text}
}

// sendChange sends a change and, if wait is set, repeats it while it is pending, until it
// is accepted or ctx ends. Neither is an error; the reply's State tells which it is.
func (cl *client) sendChange(ctx context.Context, method, path string, body any, wait bool) (*operatorapi.ChangeReply, error) {
	var pending *operatorapi.ChangeReply
	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
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
		if !sleep(ctx, backoff) {
			return pending, nil
		}
	}
}

// earlierResult returns the result of the operation given by --operation-id, or nil if it
// has made no change yet. It must be called before a change that depends on the current
// records is built, because the same command would then yield a different request.
func (c *command) earlierResult(ctx context.Context, cl *client) (*operatorapi.ChangeReply, error) {
	if c.operationID == "" {
		return nil, nil
	}
	reply, err := cl.sendChange(ctx, "GET", operatorapi.PathChanges+"/"+url.PathEscape(c.operationID), nil, !c.noWait)
	var f *failure
	if errors.As(err, &f) && f.code == exitNotFound {
		return nil, nil
	}
	return reply, err
}

func isUnavailable(err error) bool {
	var f *failure
	return errors.As(err, &f) && f.code == exitUnavailable
}

// sleep waits for d. It returns false if ctx ends first.
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
