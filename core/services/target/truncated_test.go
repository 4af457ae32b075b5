package target_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"medlarpond.dev/core/services/target"
)

// TestTruncatedResponsesAreNoResponses lets a target stop after each byte of a response, in its head and in its body, and close
// or reset the connection. No part of it may pass for a complete response.
func TestTruncatedResponsesAreNoResponses(t *testing.T) {
	const id = "r"
	for name, response := range map[string]string{
		"length":          responseText(id, "body"),
		"no body":         "HTTP/1.1 200 OK\r\nSeal: s\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n",
		"chunked":         "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"chunked trailer": "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nbody\r\n0\r\nX: 1\r\n\r\n",
		"bare newlines":   "HTTP/1.1 200 OK\nRequest-Id: r\nContent-Length: 4\n\nbody",
		"refusal":         "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"interim":         "HTTP/1.1 100 Continue\r\n\r\n" + responseText(id, "body"),
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				length := 0
				address := startServer(t, func(c net.Conn, _ int) {
					_, _ = readRequest(bufio.NewReader(c))
					mu.Lock()
					defer mu.Unlock()
					_, _ = io.WriteString(c, response[:length])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := target.NewPool()
				for n := range len(response) {
					mu.Lock()
					length = n
					mu.Unlock()
					if got, err := p.Do(t.Context(), newExchange(address, id)); err == nil {
						t.Errorf("after %d of %d bytes (%q): got status %d and body %q, want an error", n, len(response),
							response[max(0, n-20):n], got.Status, got.Body)
					}
				}
			})
		}
	}
	// Without a length the end of the connection ends the body, but not the head.
	const unframed = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nConnection: close\r\n\r\n"
	for n := range len(unframed) {
		address := startServer(t, func(c net.Conn, _ int) {
			_, _ = readRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, unframed[:n])
		})
		if got, err := target.NewPool().Do(t.Context(), newExchange(address, id)); err == nil {
			t.Errorf("after %q of an unframed response: got status %d and body %q, want an error", strings.TrimSpace(unframed[:n]), got.Status, got.Body)
		}
	}
}
