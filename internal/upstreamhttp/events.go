package upstreamhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Event is one event of a stream as it came.
type Event struct {
	// Raw is the event with the empty line that ends it.
	Raw []byte
	// ID is the number of the event; HasID is false if it has none.
	ID    int64
	HasID bool
}

// EventReader splits a stream into events.
type EventReader struct {
	reader *bufio.Reader
}

// NewEventReader reads the events of an answer's body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBuffer)}
}

// ErrCutEvent reports that the stream ended in the middle of an event.
var ErrCutEvent = errors.New("the stream ended in the middle of an event")

// Next returns the next whole event, or io.EOF after the last one.
func (r *EventReader) Next() (*Event, error) {
	event := &Event{}
	for {
		line, err := r.reader.ReadSlice('\n')
		event.Raw = append(event.Raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(event.Raw) > maxEventBytes {
				return nil, eris.New("an event of the stream is too long")
			}
			continue
		case errors.Is(err, io.EOF) && len(event.Raw) == 0:
			return nil, io.EOF
		case errors.Is(err, io.EOF):
			return nil, ErrCutEvent
		case err != nil:
			return nil, eris.Wrap(err, "read an event")
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return event, nil
		}
		event.field(content)
		if len(event.Raw) > maxEventBytes {
			return nil, eris.New("an event of the stream is too long")
		}
	}
}

func (e *Event) field(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.ID, e.HasID = id, true
	}
}
