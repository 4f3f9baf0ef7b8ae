package rpc

// frameMeter follows the frames of a connection. A frame has a control byte, three numbers (stream, message and length)
// and data; the lowest bit of the control byte marks the last frame of a message.
type frameMeter struct {
	// message is the size of the message that is being read, and limit the largest one allowed, in bytes.
	message, limit int64
	// joined is the size of the largest message that ended in the bytes fed last, and kept the size of the buffer for messages,
	// which the reader keeps until smallRun messages after it were small.
	joined, kept int64
	smallRun     int
	control      byte
	// numbers holds the numbers of the header, of which index are complete, after the control byte.
	numbers  [3]uint64
	index    int
	shift    uint
	inHeader bool
	id       [2]uint64
	// left is the rest of the data of the frame, in bytes.
	left int64
}

// feed takes the next bytes of the connection.
func (m *frameMeter) feed(p []byte) error {
	for len(p) > 0 {
		switch {
		case m.left > 0:
			n := min(m.left, int64(len(p)))
			m.left, m.message, p = m.left-n, m.message+n, p[n:]
		case !m.inHeader:
			m.numbers, m.index, m.shift, m.control, m.inHeader = [3]uint64{}, 0, 0, p[0], true
			p = p[1:]
			continue
		default:
			if err := m.feedHeader(p[0]); err != nil {
				return err
			}
			p = p[1:]
		}
		if !m.inHeader && m.left == 0 && m.control&1 != 0 {
			m.endMessage()
		}
	}
	return nil
}

func (m *frameMeter) endMessage() {
	m.smallRun++
	switch {
	case m.message >= m.kept/4:
		m.smallRun = 0
	case m.smallRun >= smallPacketRun:
		m.kept, m.smallRun = 0, 0
	}
	m.join()
}

// join records that the reader has all that it gets of the message.
func (m *frameMeter) join() {
	m.joined, m.kept, m.message = max(m.joined, m.message), max(m.kept, m.message), 0
}

// memory returns the memory that the messages of the connection take, in bytes.
func (m *frameMeter) memory() int64 {
	return max(m.kept+m.joined, whileJoined(m.joined), m.kept+m.message)
}

// feedHeader takes the next byte of a number in the header.
func (m *frameMeter) feedHeader(b byte) error {
	if m.shift >= maxVarintBits {
		return errInvalidFrame
	}
	m.numbers[m.index] |= uint64(b&0x7f) << m.shift
	m.shift += 7
	if b&0x80 != 0 {
		return nil
	}
	m.index, m.shift = m.index+1, 0
	if m.index < len(m.numbers) {
		return nil
	}
	if id := [2]uint64(m.numbers[:2]); id != m.id {
		m.id = id
		m.join() // what was read of another message is dropped
	}
	if m.numbers[2] > maxFrameBytes {
		return errFrameTooLarge
	}
	if m.message+int64(m.numbers[2]) > m.limit {
		return errMessageTooLarge
	}
	m.inHeader, m.left = false, int64(m.numbers[2])
	return nil
}
