package ingress

import (
	"bytes"
	"net/http"
)

const (
	// lineBytes is the memory of a header line besides its text, once parsed and once more as sent to an upstream.
	lineBytes = 512
	// textFactor is the number of copies of the text of a head: as parsed, and as sent to an upstream.
	textFactor = 2
	// opaqueFactor is the memory of each byte of a head that can't be looked into, as it is encrypted.
	opaqueFactor = 32
)

// headMeter follows the head of a request.
type headMeter struct {
	bytes, lines int64
	// lineLength is the length of the present line, without a carriage return at its end.
	lineLength int
	carriage   bool
	// begun reports that a line with content was read, and ended that the empty line after it was.
	begun, ended bool
}

// feed takes bytes and returns how many of them belong to the head.
func (m *headMeter) feed(p []byte) (n int) {
	for n < len(p) && !m.ended {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			m.addToLine(p[n:])
			m.bytes += int64(len(p) - n)
			return len(p)
		}
		m.addToLine(p[n : n+end])
		m.bytes += int64(end + 1)
		n += end + 1
		m.lines++
		empty := m.lineLength == 0
		m.ended = empty && m.begun
		m.begun = m.begun || !empty
		m.lineLength, m.carriage = 0, false
	}
	return n
}

func (m *headMeter) addToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	if m.carriage { // it was within the line
		m.lineLength++
	}
	m.lineLength += len(p)
	if m.carriage = p[len(p)-1] == '\r'; m.carriage {
		m.lineLength--
	}
}

// memory returns what the head takes once parsed, in bytes.
func (m *headMeter) memory() int64 { return textFactor*m.bytes + lineBytes*m.lines }

// headMemory returns the same for a head that was parsed.
func headMemory(r *http.Request) int64 {
	m := headMeter{bytes: int64(len(r.RequestURI) + len(r.Host)), lines: 1}
	for name, values := range r.Header {
		for _, value := range values {
			m.bytes += int64(len(name) + len(value))
		}
		m.lines += int64(len(values))
	}
	return m.memory()
}
