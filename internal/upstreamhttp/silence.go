package upstreamhttp

import "time"

// silentConn is a connection that tells for how long nothing has arrived.
type silentConn interface {
	// Unacknowledged returns the time since the peer last sent data or an acknowledgement; 0 if it is not known.
	Unacknowledged() time.Duration
}

func (c *withdrawableConn) unacknowledged() time.Duration {
	if conn, ok := c.ReadWriteCloser.(silentConn); ok {
		return conn.Unacknowledged()
	}
	return 0
}
