package entry

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
	"github.com/godwitbend/godwitbend/internal/membudget"
)

const (
	dialTimeout = time.Second
	// queryTimeout bounds a query to an upstream other than the call itself.
	queryTimeout = time.Second
	// maxReplyBytes bounds the response to a query, besides the text of an answer in it.
	maxReplyBytes = 64 << 10
)

// upstreamClient sends requests to upstreams, each on a connection of its own: what arrives on a connection
// belongs to no other request, and a failed dial proves that nothing was sent.
type upstreamClient struct {
	http   *http.Client
	memory *membudget.Budget
	// answerBytes bounds the answer in a reply to a query.
	answerBytes int64
}

func newUpstreamClient(c *http.Client, memory *membudget.Budget, answerBytes int64) *upstreamClient {
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression: true,
		}}
	}
	return &upstreamClient{http: withoutKeepAlive(withoutRedirects(c)), memory: memory, answerBytes: answerBytes}
}

// withoutRedirects returns a copy of c that returns redirects as responses, because
// following one could run a call a second time.
func withoutRedirects(c *http.Client) *http.Client {
	next := *c
	next.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &next
}

func withoutKeepAlive(c *http.Client) *http.Client {
	transport, ok := c.Transport.(*http.Transport)
	if !ok {
		return c
	}
	next := *c
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	fresh.MaxResponseHeaderBytes = MaxAnswerHeadBytes
	next.Transport = fresh
	return &next
}

// sendCall sends the call to t and returns the response after checking its request id.
func (x *exchange) sendCall(ctx context.Context, t target) (*http.Response, *failure) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, x.method, t.address+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, &failure{reason: reasonNotSent, notRun: true, detail: err.Error()}
	}
	// Without GetBody the transport can't retry the request on its own.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(x.body))
	if x.contentType != "" {
		req.Header.Set("Content-Type", x.contentType)
	}
	req.Header.Set(announce.HeaderPriority, strconv.Itoa(x.identity.class.Worth))
	x.setIdentityHeaders(req, t)
	resp, err := x.h.upstreams.http.Do(req)
	if err != nil && !connected.Load() {
		t.entry.MarkUnreachable()
		return nil, x.classifyTransportError(ctx, err, true)
	}
	if err != nil {
		return nil, x.classifyTransportError(ctx, err, false)
	}
	if f := x.checkResponseID(resp); f != nil {
		return nil, f
	}
	if f := x.refusedByOtherIncarnation(resp, t); f != nil {
		return nil, f
	}
	return resp, nil
}

// refusedByOtherIncarnation returns a failure if a different incarnation than t's refused the call.
func (x *exchange) refusedByOtherIncarnation(resp *http.Response, t target) *failure {
	got := resp.Header.Get(announce.HeaderIncarnation)
	if resp.StatusCode != http.StatusConflict || got == "" || got == strconv.FormatUint(t.incarnation, 10) {
		return nil
	}
	_ = resp.Body.Close()
	t.entry.MarkLost(t.incarnation, x.h.Now())
	return &failure{reason: reasonRefused, notRun: true, detail: "the upstream has restarted"}
}

func (x *exchange) setIdentityHeaders(req *http.Request, t target) {
	req.Header.Set(announce.HeaderRequestID, x.requestID)
	req.Header.Set(announce.HeaderAttempt, strconv.FormatUint(uint64(x.attempt), 10))
	req.Header.Set(announce.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
}

// checkResponseID rejects the answer to another request. Only an error response
// (status 400 or higher) may come without a request id.
func (x *exchange) checkResponseID(resp *http.Response) *failure {
	ids := resp.Header.Values(announce.HeaderRequestID)
	if !isForeign(ids, x.requestID) && (len(ids) > 0 || resp.StatusCode >= http.StatusBadRequest) {
		return nil
	}
	_ = resp.Body.Close()
	return &failure{reason: reasonForeign, detail: fmt.Sprintf("the answer carries the request ids %q", ids)}
}

// isForeign reports whether ids, those that an answer carries, include another than that of the request.
func isForeign(ids []string, requestID string) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return id != requestID })
}

// classifyTransportError classifies a connection error.
func (x *exchange) classifyTransportError(ctx context.Context, err error, notSent bool) *failure {
	switch {
	case x.hostStopped():
		return &failure{reason: reasonStopped, notRun: notSent, detail: "the host stopped"}
	case x.workCtx.Err() != nil:
		return &failure{reason: reasonBroken, notRun: notSent, callerDisconnected: true, detail: "the caller has disconnected"}
	case notSent:
		return &failure{reason: reasonNotSent, notRun: true, detail: err.Error()}
	case ctx.Err() != nil || isTimeout(err):
		return &failure{reason: reasonTimeout, detail: "the upstream sent no data within the timeout"}
	default:
		return &failure{reason: reasonBroken, connectionBroken: true, detail: err.Error()}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// requestState queries (GET) or cancels (DELETE) a request and returns the state that the upstream reports.
func (c *upstreamClient) requestState(ctx context.Context, method, address, requestID string) (announce.RequestState, error) {
	hold := c.memory.Hold()
	defer func() { _ = hold.Resize(nil, 0) }() // never waits
	return c.readState(ctx, hold, method, address, requestID)
}

// readState is requestState, and makes the reply the memory in use of a hold.
func (c *upstreamClient) readState(ctx context.Context, hold *membudget.Hold, method, address, requestID string) (announce.RequestState, error) {
	var state announce.RequestState
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address+announce.PathRequests+requestID, nil)
	if err != nil {
		return state, eris.Wrap(err, "query upstream")
	}
	req.Header.Set(announce.HeaderRequestID, requestID)
	return state, c.doJSON(req, hold, maxReplyBytes+int64(base64.StdEncoding.EncodedLen(int(c.answerBytes))), &state)
}

// tokenize returns the exact number of prompt tokens of a chat request.
func (c *upstreamClient) tokenize(ctx context.Context, address string, body []byte) (int64, error) {
	var count announce.TokenCount
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+announce.PathTokenize, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "tokenize")
	}
	req.Header.Set("Content-Type", "application/json")
	hold := c.memory.Hold()
	defer func() { _ = hold.Resize(nil, 0) }() // never waits
	if err := c.doJSON(req, hold, maxReplyBytes, &count); err != nil {
		return 0, err
	}
	if count.Tokens <= 0 {
		return 0, eris.Errorf("tokenize: invalid token count %d from the upstream", count.Tokens)
	}
	return count.Tokens, nil
}

// doJSON sends a query and decodes the reply, of at most limit bytes, which becomes the memory in use of hold.
func (c *upstreamClient) doJSON(req *http.Request, hold *membudget.Hold, limit int64, into any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "query upstream")
	}
	defer func() { _ = resp.Body.Close() }()
	requestID, ids := req.Header.Get(announce.HeaderRequestID), resp.Header.Values(announce.HeaderRequestID)
	if requestID != "" && isForeign(ids, requestID) {
		return eris.Errorf("query upstream: the answer carries the request ids %q", ids)
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("query upstream: status %d", resp.StatusCode)
	}
	cancelled := req.Context().Done()
	reply, err := hold.ReadAll(cancelled, resp.Body, 0, resp.ContentLength, limit)
	if err == nil && int64(len(reply)) > limit {
		err = eris.Errorf("the reply exceeds %d bytes", limit)
	}
	if err == nil {
		err = hold.Resize(cancelled, int64(2*len(reply))) // the texts in it are copied
	}
	if err != nil {
		return eris.Wrap(err, "query upstream")
	}
	return eris.Wrap(json.Unmarshal(reply, into), "decode answer")
}

// resume requests the events of a stream starting at event number from.
func (x *exchange) resume(ctx context.Context, t target, from int) (*http.Response, *failure) {
	url := t.address + announce.PathRequests + x.requestID + "/stream?from=" + strconv.Itoa(from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &failure{reason: reasonNotSent, detail: err.Error()}
	}
	x.setIdentityHeaders(req, t)
	resp, err := x.h.upstreams.http.Do(req)
	if err != nil {
		return nil, x.classifyTransportError(ctx, err, false)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &failure{reason: reasonResume, detail: "the upstream no longer knows the stream"}
	}
	return resp, x.checkResponseID(resp)
}

// cancel cancels the request if it is running on the upstream, even if the caller
// has disconnected, and returns the tokens used; known is false if the upstream
// does not report them. A request unknown to the upstream is not cancelled, since
// that would prevent the upstream from running it later.
func (x *exchange) cancel(t target) (tokens int64, known bool) {
	if !t.servesRequestState {
		return 0, false
	}
	ctx := context.WithoutCancel(x.ctx)
	state, err := x.h.upstreams.requestState(ctx, http.MethodGet, t.address, x.requestID)
	if err == nil && state.State == "running" {
		state, err = x.h.upstreams.requestState(ctx, http.MethodDelete, t.address, x.requestID)
	}
	return state.Tokens, err == nil && state.State != "unknown"
}
