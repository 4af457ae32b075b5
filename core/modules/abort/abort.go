// Package abort ends HTTP responses that cannot be completed.
package abort

import (
	"net"
	"net/http"
)

// Response ends an incomplete response in a way that the client notices, and does not return. It must be called by the handler of the
// request. With HTTP/1.1 the client misses bytes of an announced length or the last chunk. A response without a length to an HTTP/1.0
// request ends with its connection, so that only a reset shows that it is incomplete.
func Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetOnClose(c)
			_ = c.Close()
		}
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes closing a connection reset it. The connection may be wrapped.
func resetOnClose(c net.Conn) {
	for c != nil {
		if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0)
			return
		}
		wrapper, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return
		}
		c = wrapper.Unwrap()
	}
}
