package placement

// Notice is what an upstream says of itself in the header of an answer.
type Notice struct {
	// Limited reports that the upstream takes at most RequestRate requests per second from all
	// hosts together.
	Limited     bool
	RequestRate float64
	// Invalid is a limit that could not be read; empty if there is none.
	Invalid string
}
