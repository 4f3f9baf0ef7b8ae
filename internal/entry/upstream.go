package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/godwitbend/godwitbend/internal/announce"
)

const (
	dialTimeout = time.Second
	// askTimeout bounds one question to an upstream beside the call itself.
	askTimeout = time.Second
	// idleConnections is the number of idle connections kept per upstream.
	idleConnections = 64
	// idleTimeout is how long an idle connection is kept.
	idleConnectionTimeout = 30 * time.Second
	// maxStateBytes bounds the answer to a question.
	maxStateBytes = 16 << 20
)

// upstreamClient speaks to upstreams.
type upstreamClient struct {
	shared *http.Client
	// once opens a connection per call, so that a failed dial proves that
	// nothing was sent. It serves calls that may not be repeated.
	once *http.Client
}

func newUpstreamClient(c *http.Client) *upstreamClient {
	if c == nil {
		c = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
			DisableCompression:  true,
		}}
	}
	return &upstreamClient{shared: withoutRedirects(c), once: withoutKeepAlive(withoutRedirects(c))}
}

// withoutRedirects returns a client that passes redirects on as answers: a
// redirect must not run a call a second time.
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
	next.Transport = fresh
	return &next
}

// sendCall sends the call of x to t and returns the response, whose id is checked.
func (x *exchange) sendCall(ctx context.Context, t target) (*http.Response, *failure) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, x.method, t.address+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, &failure{reason: reasonNotSent, notRun: true, text: err.Error()}
	}
	// Without GetBody the transport never sends the call a second time by itself.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(x.body))
	if x.contentType != "" {
		req.Header.Set("Content-Type", x.contentType)
	}
	req.Header.Set(announce.HeaderPriority, strconv.Itoa(x.id.class.Worth))
	x.setIdentity(req, t)
	client := x.h.upstreams.shared
	if !x.repeatable {
		client = x.h.upstreams.once
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		t.entry.MarkUnreachable()
		return nil, x.transportFailure(ctx, err, true)
	}
	if err != nil {
		return nil, x.transportFailure(ctx, err, false)
	}
	if f := x.refusedByOther(resp, t); f != nil {
		return nil, f
	}
	return resp, x.checkIdentity(resp)
}

// refusedByOther returns the failure if another incarnation than t's refused the call.
func (x *exchange) refusedByOther(resp *http.Response, t target) *failure {
	got := resp.Header.Get(announce.HeaderIncarnation)
	if resp.StatusCode != http.StatusConflict || got == "" || got == strconv.FormatUint(t.incarnation, 10) {
		return nil
	}
	_ = resp.Body.Close()
	t.entry.MarkLost(t.incarnation, x.h.Now())
	return &failure{reason: reasonRefused, notRun: true, text: "the upstream has restarted"}
}

func (x *exchange) setIdentity(req *http.Request, t target) {
	req.Header.Set(announce.HeaderRequestID, x.requestID)
	req.Header.Set(announce.HeaderAttempt, strconv.FormatUint(uint64(x.attempt), 10))
	req.Header.Set(announce.HeaderIncarnation, strconv.FormatUint(t.incarnation, 10))
}

// checkIdentity rejects an answer to another request. Only an answer that says
// that the call was refused may come without an id.
func (x *exchange) checkIdentity(resp *http.Response) *failure {
	got := resp.Header.Get(announce.HeaderRequestID)
	if got == x.requestID || (got == "" && resp.StatusCode >= http.StatusBadRequest) {
		return nil
	}
	_ = resp.Body.Close()
	return &failure{reason: reasonForeign, text: "the answer carries the id " + strconv.Quote(got)}
}

// transportFailure classifies an error of the connection.
func (x *exchange) transportFailure(ctx context.Context, err error, notSent bool) *failure {
	switch {
	case x.work.Err() != nil:
		return &failure{reason: reasonBroken, notRun: notSent, callerGone: true, text: "the caller has gone"}
	case notSent:
		return &failure{reason: reasonNotSent, notRun: true, text: err.Error()}
	case ctx.Err() != nil || isTimeout(err):
		return &failure{reason: reasonTimeout, text: "the upstream was silent for too long"}
	default:
		return &failure{reason: reasonBroken, broken: true, text: err.Error()}
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}

// ask returns the upstream's word on a request.
func (c *upstreamClient) ask(ctx context.Context, method, address, requestID string) (announce.RequestState, error) {
	var state announce.RequestState
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address+announce.PathRequests+requestID, nil)
	if err != nil {
		return state, eris.Wrap(err, "ask upstream")
	}
	return state, c.doJSON(req, &state)
}

// tokenize returns the exact number of prompt tokens of a chat request.
func (c *upstreamClient) tokenize(ctx context.Context, address string, body []byte) (int64, error) {
	var count announce.TokenCount
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+announce.PathTokenize, bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "tokenize")
	}
	req.Header.Set("Content-Type", "application/json")
	if err := c.doJSON(req, &count); err != nil {
		return 0, err
	}
	if count.Tokens <= 0 {
		return 0, eris.Errorf("tokenize: the upstream counted %d tokens", count.Tokens)
	}
	return count.Tokens, nil
}

func (c *upstreamClient) doJSON(req *http.Request, into any) error {
	resp, err := c.shared.Do(req)
	if err != nil {
		return eris.Wrap(err, "ask upstream")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("ask upstream: status %d", resp.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(into), "decode answer")
}

// resume asks for the events of a stream from number from on.
func (x *exchange) resume(ctx context.Context, t target, from int) (*http.Response, *failure) {
	url := t.address + announce.PathRequests + x.requestID + "/stream?from=" + strconv.Itoa(from)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &failure{reason: reasonNotSent, text: err.Error()}
	}
	x.setIdentity(req, t)
	resp, err := x.h.upstreams.shared.Do(req)
	if err != nil {
		return nil, x.transportFailure(ctx, err, false)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &failure{reason: reasonResume, text: "the stream is not known any more"}
	}
	return resp, x.checkIdentity(resp)
}

// cancel ends the request if it runs at the upstream, also when the caller has
// gone, and returns the tokens that it has used; known is false if they can't
// be learnt. A request that is not known there is left alone: to cancel it
// would keep the upstream from running it later.
func (x *exchange) cancel(t target) (tokens int64, known bool) {
	if !t.asks {
		return 0, false
	}
	ctx := context.WithoutCancel(x.ctx)
	state, err := x.h.upstreams.ask(ctx, http.MethodGet, t.address, x.requestID)
	if err == nil && state.State == "running" {
		state, err = x.h.upstreams.ask(ctx, http.MethodDelete, t.address, x.requestID)
	}
	return state.Tokens, err == nil && state.State != "unknown"
}
