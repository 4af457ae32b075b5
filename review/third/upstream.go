package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	// responseBytes is the size of a whole response, firstPart what an upstream sends of it before it reads the body.
	responseBytes = 60_000
	firstPart     = 30_000
	// readPause is the time between the first part of the response and the reading of the body.
	readPause = 800 * time.Millisecond
	// windowBytes keeps the receive window small, as the links of the platform do.
	windowBytes = 64 << 10
)

// runUpstream is the program of an upstream that answers before it has read a long body, without a length: it sends a part of
// its response, reads the body, sends the rest and closes the connection. It runs until it is killed.
func runUpstream(address, id string) error {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serveEarly(c, id)
	}
}

func serveEarly(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	requestID := request.Header.Get(names.Headers.RequestID)
	if request.Header.Get(names.Headers.Expected) != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Headers.RequestID, requestID)
		return
	}
	_, _ = fmt.Fprintf(os.Stdout, "         upstream %s runs %s\n", id, requestID)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nConnection: close\r\n\r\n",
		names.Headers.RequestID, requestID, names.Headers.Seal, requestID)
	if _, err := c.Write(bytes.Repeat([]byte("a"), firstPart)); err != nil {
		return
	}
	time.Sleep(readPause)
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = c.Write(bytes.Repeat([]byte("b"), responseBytes-firstPart))
	_, _ = fmt.Fprintf(os.Stdout, "         upstream %s has sent its whole response to %s\n", id, requestID)
}
