package settings

import "time"

// Clients bounds what the clients of a host hold together.
type Clients struct {
	// MemoryShare is the part of the host's memory that connections, requests and messages of all clients may take together,
	// from 0.05 to 0.8. Default: 0.4.
	MemoryShare float64 `json:"memory_share"`
	// Descriptors is the number of descriptors of the process, half of which clients may use. Default: 0, which is the limit of
	// the system.
	Descriptors int64 `json:"descriptors"`
	// ReceiveBuffer is the size of the receive buffer of a connection on which a client sends a large body, or another host
	// messages, in bytes. Default: 32768.
	ReceiveBuffer int `json:"receive_buffer"`
	// StallTime is the time without progress after which a client yields if others need what it holds. Default: 1s.
	StallTime Duration `json:"stall_time"`
}

// Limits on what clients hold.
const (
	minMemoryShare   = 0.05
	maxMemoryShare   = 0.8
	minDescriptors   = 64
	maxDescriptors   = 1 << 24
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 16 << 20
	minStallTime     = 100 * time.Millisecond
)

func defaultClients() Clients {
	return Clients{MemoryShare: 0.4, ReceiveBuffer: 32 << 10, StallTime: Duration{time.Second}}
}

func (c *checker) checkClients(clients *Clients) {
	c.checkFraction("clients.memory_share", clients.MemoryShare, minMemoryShare, maxMemoryShare)
	if clients.Descriptors != 0 {
		c.checkNumber("clients.descriptors", clients.Descriptors, minDescriptors, maxDescriptors)
	}
	c.checkNumber("clients.receive_buffer", int64(clients.ReceiveBuffer), minReceiveBuffer, maxReceiveBuffer)
	c.checkDuration("clients.stall_time", clients.StallTime, minStallTime, maxDuration)
}
