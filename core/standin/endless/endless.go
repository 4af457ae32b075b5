// Package endless is an HTTP server whose responses do not end, for tests of what a client bounds.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
)

const (
	// maxSent bounds what is sent on a connection, in case the client does not close it.
	maxSent = 64 << 20
	// chunkSize is about the size of a write.
	chunkSize = 64 << 10
)

// Serve responds to the first request on each connection with the text, and then with the repeated one until the connection is closed.
// It returns when the listener is closed.
func Serve(l net.Listener, text, repeated string) {
	chunk := strings.Repeat(repeated, chunkSize/len(repeated))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go respond(c, text, chunk)
	}
}

func respond(c net.Conn, text, chunk string) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, text)
	for range maxSent / len(chunk) {
		if _, err := io.WriteString(c, chunk); err != nil {
			return
		}
	}
}
