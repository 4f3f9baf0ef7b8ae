package upstreamhttp

import (
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/godwitbend/godwitbend/internal/membudget"
)

const (
	// answerAllowance is the memory of each answer that doesn't count against the budget, in bytes.
	answerAllowance = 128 << 10
	// maxAnswerMemory bounds the memory of one answer, in bytes: a body of 4 MB while its buffer grows, and a header.
	maxAnswerMemory = 8 << 20
	// headMemoryFactor is the memory that a parsed header takes for each byte, at most. It is the largest if the fields
	// are as short as possible.
	headMemoryFactor = 32
	// headReadBytes bounds one read of a header, so that a short one that arrives in two parts stays within answerAllowance,
	// with what is read of the body.
	headReadBytes = 2 << 10
	// fieldMemory is the memory that a field of a parsed header takes besides its text, in bytes.
	fieldMemory = 96
)

// The limits that an answer may exceed.
const (
	limitHead   = "head"
	limitBody   = "body"
	limitEvent  = "event"
	limitFiller = "filler"
)

// metrics counts what the limits on answers do.
type metrics struct {
	overLimit map[string]tally.Counter
	waited    tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{overLimit: map[string]tally.Counter{}, waited: scope.Counter("answers_waited_for_memory")}
	for _, limit := range []string{limitHead, limitBody, limitEvent, limitFiller} {
		m.overLimit[limit] = scope.Tagged(map[string]string{"limit": limit}).Counter("answers_over_limit")
	}
	return m
}

// Instrument makes the client count in scope the answers that exceed a limit and those that wait for memory, and returns
// it. It must be called before Do.
func (c *Client) Instrument(scope tally.Scope) *Client {
	c.metrics = newMetrics(scope)
	return c
}

// answerMemory is the memory in use for one answer. Its zero value is not bounded.
type answerMemory struct {
	hold      *membudget.Hold
	cancelled <-chan struct{}
	// header is the memory of the header, in bytes.
	header  int64
	address string
	metrics *metrics
}

// exceeded records that the answer is given up because it exceeds a limit.
func (m *answerMemory) exceeded(limit string, maxBytes int64) {
	if m.hold == nil {
		return
	}
	m.metrics.overLimit[limit].Inc(1)
	klog.InfoS("answer of an upstream exceeds a limit", "address", m.address, "limit", limit, "max_bytes", maxBytes)
}

// keep makes the header and size bytes more the memory in use, which must not be more than before.
func (m *answerMemory) keep(size int64) {
	if m.hold != nil {
		_ = m.hold.Resize(nil, m.header+size) // never waits
	}
}

// keepHeader makes the header the memory in use. It counts twice, as it is copied for the caller, so that it may take more
// than was held while it was read.
func (m *answerMemory) keepHeader(header http.Header) error {
	for name, values := range header {
		for _, value := range values {
			m.header += 2 * int64(len(name)+len(value)+fieldMemory)
		}
	}
	return m.hold.Resize(m.cancelled, m.header)
}

// append appends more to data, whose capacity is at most limit bytes.
func (m *answerMemory) append(data, more []byte, limit int64) ([]byte, error) {
	for m.hold != nil && len(data)+len(more) > max(cap(data), readBufferSize) {
		grown, err := m.hold.Grow(m.cancelled, data, m.header, limit)
		if err != nil {
			return nil, eris.Wrap(err, "read stream event")
		}
		data = grown
	}
	return append(data, more...), nil
}

// readAll reads r, whose length is declared or negative, to its end, or limit bytes and one if it is longer.
func (m *answerMemory) readAll(r io.Reader, length, limit int64) ([]byte, error) {
	return m.hold.ReadAll(m.cancelled, r, m.header, length, limit)
}

// release returns all memory.
func (m *answerMemory) release() {
	if m.hold.Waited() {
		m.metrics.waited.Inc(1)
	}
	_ = m.hold.Resize(nil, 0) // never waits
}

// answerBody is the body of an answer.
type answerBody struct {
	io.ReadCloser
	memory *answerMemory
}

// errHeadTooLarge reports that the header of an answer exceeds maxHeadBytes.
var errHeadTooLarge = eris.New("answer header exceeds the size limit")

// headReader reads from conn, up to maxHeadBytes until the header has ended.
type headReader struct {
	conn   io.Reader
	memory *answerMemory
	read   int64
	ended  bool
	failed bool
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if r.ended {
		return r.conn.Read(p)
	}
	if r.failed {
		return 0, errHeadTooLarge // it was reported
	}
	if r.read >= maxHeadBytes {
		r.failed = true
		r.memory.exceeded(limitHead, maxHeadBytes)
		return 0, errHeadTooLarge
	}
	n, err := r.conn.Read(p[:min(int64(len(p)), headReadBytes, maxHeadBytes-r.read)])
	r.read += int64(n)
	if memoryErr := r.memory.hold.Resize(r.memory.cancelled, r.read*headMemoryFactor); memoryErr != nil {
		return n, memoryErr
	}
	return n, err
}
