package front

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// discardTimeout limits how long the server reads the rest of a body that nobody needs, so that a caller that sends its
// whole request before it reads can receive the response.
const discardTimeout = time.Second

// errUploadEnded is returned to the reader of a body after the response to its request has been sent.
var errUploadEnded = errors.New("the response to the request has been sent before its body was read")

// upload is the body of a caller's request. While a response is sent, a body that is streamed may still be read for the
// target. The HTTP server must not read from it at the same time: the target would get the body without the part that the
// server has read. An upload is read by one goroutine; finish is called by the handler.
type upload struct {
	io.ReadCloser
	request *http.Request
	control *http.ResponseController
	// complete is true once the whole body has been read.
	complete atomic.Bool
	// ended is true once the body must not be read any more.
	ended atomic.Bool
	// mu is held while the body is read.
	mu sync.Mutex
}

// newUpload replaces the body of a request by an upload. From then on the server reads the body only after finish.
func newUpload(w http.ResponseWriter, r *http.Request) *upload {
	u := &upload{ReadCloser: r.Body, request: r, control: http.NewResponseController(w)}
	u.complete.Store(r.ContentLength == 0)
	if r.ContentLength != 0 {
		// Without full duplex, the server discards up to 256 KiB of the body when the head of the response is written.
		_ = u.control.EnableFullDuplex()
		r.Body = u
	}
	return u
}

// Read implements io.Reader.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ended.Load() {
		return 0, errUploadEnded
	}
	n, err := u.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) {
		u.complete.Store(true)
	}
	return n, err
}

// finish ends the reading of the body, waits for a Read in progress, and lets the server discard what is left. It must be
// called when the response has been written and before the handler returns.
func (u *upload) finish() {
	if u.complete.Load() {
		return
	}
	u.ended.Store(true)
	_ = u.control.SetReadDeadline(time.Now())
	u.mu.Lock()
	defer u.mu.Unlock()
	// The server closes a connection gently behind a body of its own that has not been read to the end.
	u.request.Body = u.ReadCloser
	_ = u.control.SetReadDeadline(time.Now().Add(discardTimeout))
}
