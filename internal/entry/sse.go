package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

// maxEventBytes bounds the size of a server-sent event.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = eris.New("the event exceeds the size limit")
	doneMarker       = []byte("[DONE]")
)

// eventReader reads the data fields of server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReader(r)}
}

// next returns the data of the next event. It returns io.ErrUnexpectedEOF if
// the stream ends inside an event, and io.EOF if it ends between events.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	seen := false
	for {
		line, err := r.readLine()
		if err != nil {
			if seen && err == io.EOF {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if seen {
				return data, nil
			}
			continue
		}
		value, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			continue
		}
		if seen {
			data = append(data, '\n')
		}
		seen = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
		if len(data) > maxEventBytes {
			return nil, errEventTooLarge
		}
	}
}

// readLine returns the next line without its line ending. An unterminated line at
// the end of the stream yields io.ErrUnexpectedEOF.
func (r *eventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.reader.ReadSlice('\n')
		line = append(line, fragment...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(line) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
