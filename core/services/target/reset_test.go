package target_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"medlarpond.dev/core/services/target"
)

const (
	// resetUploadBytes is more than fits into the buffers of a connection whose target does not read.
	resetUploadBytes = 4 << 20
	// resetDelay is the time for which a target waits between a part of its response and the end of the connection.
	resetDelay = 100 * time.Millisecond
)

// startEarlyServer starts a server that sends a part of a response without a length before it reads the body of the request, and
// then ends the connection with end. part is the number of bytes.
func startEarlyServer(t *testing.T, part int, end func(*net.TCPConn)) string {
	t.Helper()
	return startServer(t, func(c net.Conn, _ int) {
		request, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Request-Id"))
		_, _ = c.Write(bytes.Repeat([]byte("a"), part))
		time.Sleep(resetDelay)
		end(c.(*net.TCPConn))
	})
}

func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// halfClose ends the response in order; the reset that follows concerns only the rest of the request.
func halfClose(c *net.TCPConn) {
	_ = c.CloseWrite()
	time.Sleep(resetDelay)
	_ = c.Close()
}

// sendUpload sends a request with a body of resetUploadBytes and returns the body of the response. The connection has ended before
// the part of the response that is not read at once is read.
func sendUpload(t *testing.T, address string, length int64) ([]byte, error) {
	t.Helper()
	x := newExchange(address, "r")
	x.Request.Method, x.Request.Length, x.NonIdempotent = http.MethodPost, length, true
	x.Request.Rest = io.LimitReader(zeros{}, resetUploadBytes)
	x.Deadline = time.Now().Add(10 * time.Second)
	response, err := target.NewPool().Do(t.Context(), x)
	if err != nil {
		return nil, err
	}
	if response.Rest == nil {
		return response.Body, nil
	}
	defer func() { _ = response.Rest.Close() }()
	time.Sleep(3 * resetDelay)
	rest, err := io.ReadAll(response.Rest)
	return append(response.Body, rest...), err
}

// TestResetDuringUploadIsNoEndOfResponse guards against a response without a length that is cut short by a reset and looks complete:
// the kernel reports the reset to the write of the request body, and the read sees the end of the stream.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const concurrent = 32
	for _, length := range []int64{resetUploadBytes, -1} {
		for _, part := range []int{30_000, 100_000} {
			t.Run(fmt.Sprintf("length %d, %d bytes of the response", length, part), func(t *testing.T) {
				address := startEarlyServer(t, part, resetConnection)
				var sending sync.WaitGroup
				for range concurrent {
					sending.Go(func() {
						if body, err := sendUpload(t, address, length); err == nil {
							t.Errorf("a response that was reset looks complete with %d bytes, want an error", len(body))
						}
					})
				}
				sending.Wait()
			})
		}
	}
}

// TestResetAfterEndOfResponse guards against a whole response without a length that is dropped because its target resets the
// connection after the end, as it does not read the rest of the request.
func TestResetAfterEndOfResponse(t *testing.T) {
	for _, part := range []int{30_000, 100_000} {
		address := startEarlyServer(t, part, halfClose)
		for range 5 {
			if body, err := sendUpload(t, address, resetUploadBytes); err != nil || len(body) != part {
				t.Errorf("got %d bytes and error %v, want %d bytes", len(body), err, part)
			}
		}
	}
}

// TestSenderResetDuringUploadIsNoEndOfResponse guards against the same failure with the connections of an http.Transport.
func TestSenderResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const concurrent, part = 32, 100_000
	address := startEarlyServer(t, part, resetConnection)
	s := target.NewSender()
	defer s.Close()
	var sending sync.WaitGroup
	for range concurrent {
		sending.Go(func() {
			response, err := s.Send(t.Context(), target.Attempt{
				Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{},
				Body: strings.NewReader(strings.Repeat("x", resetUploadBytes)), ContentLength: resetUploadBytes,
			})
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			time.Sleep(resetDelay / 2)
			if body, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("a response that was reset looks complete with %d bytes, want an error", len(body))
			}
		})
	}
	sending.Wait()
}

// TestAttemptThatIsGivenUpIsReset guards against a request that is given up while the network holds it back, and that is delivered and
// runs later: bytes of a connection that is closed in order are still sent, those of one that is reset are not.
func TestAttemptThatIsGivenUpIsReset(t *testing.T) {
	for name, giveUp := range map[string]func(x *target.Exchange, cancel context.CancelFunc){
		"caller leaves": func(_ *target.Exchange, cancel context.CancelFunc) { time.AfterFunc(resetDelay, cancel) },
		"time is over":  func(x *target.Exchange, _ context.CancelFunc) { x.Deadline = time.Now().Add(resetDelay) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan error, 1)
			address := startServer(t, func(c net.Conn, _ int) {
				_, err := io.Copy(io.Discard, c)
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			x := newExchange(address, "r")
			giveUp(&x, cancel)
			if _, err := target.NewPool().Do(ctx, x); err == nil {
				t.Error("got a response, want an error")
			}
			if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the target sees the end of its connection with error %v, want a reset", err)
			}
		})
	}
}
