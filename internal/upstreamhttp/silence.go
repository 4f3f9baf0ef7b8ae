package upstreamhttp

import "time"

// silentConn is a connection whose peer may acknowledge nothing for a time. It fails then, unless it is kept open.
type silentConn interface {
	// KeepOpen makes the connection last until the peer or this host ends it.
	KeepOpen()
	// Unacknowledged returns the time since the peer last sent data or an acknowledgement; 0 if it is not known.
	Unacknowledged() time.Duration
}

func (c *withdrawableConn) keepOpen() {
	if conn, ok := c.ReadWriteCloser.(silentConn); ok && c.keptOpen.CompareAndSwap(false, true) {
		conn.KeepOpen()
	}
}

func (c *withdrawableConn) unacknowledged() time.Duration {
	if conn, ok := c.ReadWriteCloser.(silentConn); ok {
		return conn.Unacknowledged()
	}
	return 0
}
