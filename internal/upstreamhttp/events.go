package upstreamhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// Event is one server-sent event, unmodified.
type Event struct {
	// Raw holds the bytes of the event, including the terminating empty line.
	Raw []byte
	// ID is the numeric id of the event; HasID is false if it has none.
	ID    int64
	HasID bool
}

// EventReader splits an event stream into events.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader returns a reader of the events in the body of an answer.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
}

// ErrTruncatedEvent reports that the stream ended in the middle of an event.
var ErrTruncatedEvent = errors.New("the stream ended in the middle of an event")

// Next returns the next complete event, or io.EOF after the last one.
func (r *EventReader) Next() (*Event, error) {
	event := &Event{}
	for {
		line, err := r.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event.Raw) > maxEventBytes {
				return nil, eris.New("stream event exceeds the size limit")
			}
			continue
		case errors.Is(err, io.EOF) && len(event.Raw) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, ErrTruncatedEvent
		case err != nil:
			return nil, eris.Wrap(err, "read stream event")
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event, nil
		}
		event.parseField(content)
		if len(event.Raw) > maxEventBytes {
			return nil, eris.New("stream event exceeds the size limit")
		}
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
