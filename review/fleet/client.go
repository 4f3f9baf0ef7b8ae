package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a client attempt.
type Request struct {
	Method, Host, Path, Key, Body string
	Deadline                      time.Duration
	Header                        map[string]string
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Status int
	Seal   string
	Body   string
	Err    error
}

// NewID returns the id of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends a request to a gateway on a new connection.
func Send(ctx context.Context, m *Machine, r Request) Answer {
	a := Answer{ID: NewID()}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+m.FrontAddress()+r.Path, strings.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = r.Host
	req.Header.Set("Attempt-Id", a.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set("Authorization", "Token "+r.Key)
	}
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body, a.Err = resp.StatusCode, resp.Header.Get("Replica-Seal"), string(body), err
	return a
}
