package upstreamhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds the size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxFillerBytes bounds the comments and empty lines before an event.
	maxFillerBytes = 16 << 10
)

// Event is one server-sent event, unmodified.
type Event struct {
	// Raw holds the bytes of the event, including the comments and empty lines before it and
	// the terminating empty line.
	Raw []byte
	// ID is the numeric id of the event; HasID is false if it has none.
	ID    int64
	HasID bool
}

// EventReader splits an event stream into events.
type EventReader struct {
	reader *bufio.Reader
	memory *answerMemory
}

// NewEventReader returns a reader of the events in body. If that is the body of an Answer, the latest event counts as
// memory in use.
func NewEventReader(body io.Reader) *EventReader {
	memory := &answerMemory{}
	if b, ok := body.(*answerBody); ok {
		memory = b.memory
	}
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize), memory: memory}
}

// ErrTruncatedEvent reports that the stream ended in the middle of an event.
var ErrTruncatedEvent = errors.New("the stream ended in the middle of an event")

// errEventTooLarge reports that an event exceeds maxEventBytes or maxFillerBytes.
var errEventTooLarge = eris.New("stream event exceeds the size limit")

// Next returns the next complete event, or io.EOF after the last one. The event before it must not be used any more.
func (r *EventReader) Next() (*Event, error) {
	event := &Event{}
	r.memory.keep(0)
	// line may be the rest of a line that is longer than the buffer.
	hasField, atLineStart := false, true
	for {
		line, err := r.reader.ReadSlice('\n')
		raw, memoryErr := r.memory.append(event.Raw, line, maxEventBytes+readBufferSize)
		if memoryErr != nil {
			return nil, memoryErr
		}
		event.Raw = raw
		content := bytes.TrimRight(line, "\r\n")
		filler := len(content) == 0 || content[0] == ':'
		startsLine := atLineStart
		hasField = hasField || startsLine && !filler
		atLineStart = err == nil
		switch {
		case errors.Is(err, io.EOF) && !hasField && len(line) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, ErrTruncatedEvent
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, eris.Wrap(err, "read stream event")
		case len(event.Raw) > maxEventBytes:
			r.memory.exceeded(limitEvent, maxEventBytes)
			return nil, errEventTooLarge
		case !hasField && len(event.Raw) > maxFillerBytes:
			r.memory.exceeded(limitFiller, maxFillerBytes)
			return nil, errEventTooLarge
		case err != nil:
			continue
		case !startsLine:
			continue
		case len(content) == 0 && hasField:
			return event, nil
		}
		event.parseField(content)
	}
}

func (e *Event) parseField(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID, e.HasID = id, true
	}
}
