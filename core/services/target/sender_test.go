package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/services/target"
)

// startSequentialServer serves one connection at a time. It sends the head of each request to heads and responds with
// the text that responseFor returns for the request's number; an empty text closes the connection.
func startSequentialServer(t *testing.T, heads chan<- string, responseFor func(request int) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			for reader := bufio.NewReader(c); ; n++ {
				head, err := readRequestHead(reader)
				if err != nil {
					break
				}
				heads <- head
				text := responseFor(n)
				if _, err := io.WriteString(c, text); err != nil || text == "" {
					n++
					break
				}
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func readRequestHead(r *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		if line == "\r\n" {
			return head.String(), nil
		}
		head.WriteString(line)
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func send(t *testing.T, s *target.Sender, address, method, uri string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := s.Send(ctx, target.Attempt{
		Address: address, Method: method, URI: uri, Host: "shop.example", Header: http.Header{}, Idempotent: true,
	})
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// TestRequestLine checks that the target receives the caller's URI unchanged and no header that announces a body.
func TestRequestLine(t *testing.T) {
	heads := make(chan string, 1)
	address := startSequentialServer(t, heads, func(int) string { return okResponse })
	s := target.NewSender()
	t.Cleanup(s.Close)
	for _, uri := range []string{"/", "/a/b", "/a%2Fb", "/a%20b/", "/a?", "/a?x=%2F&y", "/a;b", "/%E0%A6%95", "//a"} {
		t.Run(uri, func(t *testing.T) {
			if err := send(t, s, address, http.MethodGet, uri); err != nil {
				t.Fatal(err)
			}
			head := <-heads
			if !strings.HasPrefix(head, "GET "+uri+" HTTP/1.1\r\nHost: shop.example\r\n") {
				t.Fatalf("got request head %q, want one that starts with the unchanged URI and the Host header", head)
			}
			if strings.Contains(head, "Transfer-Encoding") || strings.Contains(head, "Content-Length") {
				t.Fatalf("got request head %q, want no header that announces a body", head)
			}
		})
	}
}

// TestTransportDoesNotRetry checks that an attempt fails when its reused connection breaks, instead of being repeated
// by the transport.
func TestTransportDoesNotRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			heads := make(chan string, 10)
			address := startSequentialServer(t, heads, func(n int) string {
				if n == 1 {
					return ""
				}
				return strings.TrimSuffix(okResponse, omittedBody(method))
			})
			s := target.NewSender()
			t.Cleanup(s.Close)
			if err := send(t, s, address, method, "/"); err != nil {
				t.Fatal(err)
			}
			if err := send(t, s, address, method, "/"); err == nil || target.IsNotSent(err) {
				t.Fatalf("got error %v, want one that says that the attempt may have run", err)
			}
			if len(heads) != 2 {
				t.Fatalf("got %d requests at the target, want 2", len(heads))
			}
		})
	}
}

// omittedBody returns the part of okResponse that a response to the method omits.
func omittedBody(method string) string {
	if method == http.MethodHead {
		return "ok"
	}
	return ""
}
