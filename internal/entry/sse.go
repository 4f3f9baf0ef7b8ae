package entry

import (
	"bufio"
	"bytes"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// maxEventBytes bounds the size of a server-sent event.
	maxEventBytes = 1 << 20
	// maxFillerBytes bounds the comments, empty lines and unknown fields before the end of an event.
	maxFillerBytes = 16 << 10
	// eventBufferBytes is the size of the read buffer, which is not reserved.
	eventBufferBytes = 4 << 10
)

var (
	errEventTooLarge = eris.New("the event exceeds the size limit")
	doneMarker       = []byte("[DONE]")
)

// eventReader reads the data fields of server-sent events.
type eventReader struct {
	reader *bufio.Reader
	// reserve makes an event of a number of bytes the memory in use; nil means that it isn't bounded.
	reserve func(bytes int) error
}

func newEventReader(r io.Reader, reserve func(bytes int) error) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), reserve: reserve}
}

// next returns the data of the next event. It returns io.ErrUnexpectedEOF if
// the stream ends inside an event, and io.EOF if it ends between events.
func (r *eventReader) next() ([]byte, error) {
	var data []byte
	seen, filler := false, 0
	if err := r.use(0); err != nil {
		return nil, err
	}
	for {
		line, err := r.readLine(len(data))
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
		}
		value, found := bytes.CutPrefix(line, []byte("data:"))
		if !found {
			if filler += len(line) + 1; filler > maxFillerBytes {
				return nil, errEventTooLarge
			}
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

// use makes an event of a number of bytes the memory in use.
func (r *eventReader) use(bytes int) error {
	if r.reserve == nil {
		return nil
	}
	return r.reserve(bytes)
}

// readLine returns the next line of an event, of which a number of bytes were read before, without its line ending. An
// unterminated line at the end of the stream yields io.ErrUnexpectedEOF.
func (r *eventReader) readLine(before int) ([]byte, error) {
	var line []byte
	for {
		fragment, err := r.reader.ReadSlice('\n')
		if size := before + len(line) + len(fragment); size > eventBufferBytes {
			if err := r.use(size); err != nil {
				return nil, err
			}
		}
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
