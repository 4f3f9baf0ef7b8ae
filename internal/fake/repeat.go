package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// RepeatAnswers serves a connection as a faulty upstream does that keeps it open and writes each answer twice: at
// once, and when the next request has arrived. The answer to a request is its body. It returns when the
// connection ends.
func RepeatAnswers(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader, latest := bufio.NewReader(conn), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, latest+answer+answer); err != nil {
			return
		}
		latest = answer
	}
}
