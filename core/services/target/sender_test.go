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

// serveRaw accepts connections, sends the head of each request to the channel, and gives the answer that the function
// chooses for the request with the given number; an empty answer closes the connection.
func serveRaw(t *testing.T, heads chan<- string, answer func(request int) string) string {
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
				head, err := readHead(reader)
				if err != nil {
					break
				}
				heads <- head
				text := answer(n)
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

func readHead(r *bufio.Reader) (string, error) {
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

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

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

// TestRequestLine checks that the target sees the caller's URI unchanged and no sign of a body.
func TestRequestLine(t *testing.T) {
	heads := make(chan string, 1)
	address := serveRaw(t, heads, func(int) string { return okAnswer })
	s := target.NewSender()
	t.Cleanup(s.Close)
	for _, uri := range []string{"/", "/a/b", "/a%2Fb", "/a%20b/", "/a?", "/a?x=%2F&y", "/a;b", "/%E0%A6%95", "//a"} {
		t.Run(uri, func(t *testing.T) {
			if err := send(t, s, address, http.MethodGet, uri); err != nil {
				t.Fatal(err)
			}
			head := <-heads
			if !strings.HasPrefix(head, "GET "+uri+" HTTP/1.1\r\nHost: shop.example\r\n") {
				t.Fatalf("got %q", head)
			}
			if strings.Contains(head, "Transfer-Encoding") || strings.Contains(head, "Content-Length") {
				t.Fatalf("the request announces a body: %q", head)
			}
		})
	}
}

// TestNoHiddenRetry checks that a reused connection that fails makes the attempt fail instead of repeating it unseen.
func TestNoHiddenRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			heads := make(chan string, 10)
			address := serveRaw(t, heads, func(n int) string {
				if n == 1 {
					return ""
				}
				return strings.TrimSuffix(okAnswer, bodyOf(method))
			})
			s := target.NewSender()
			t.Cleanup(s.Close)
			if err := send(t, s, address, method, "/"); err != nil {
				t.Fatal(err)
			}
			if err := send(t, s, address, method, "/"); err == nil || target.IsNotSent(err) {
				t.Fatalf("got %v, want a broken attempt", err)
			}
			if len(heads) != 2 {
				t.Fatalf("the target saw %d requests, want 2", len(heads))
			}
		})
	}
}

// bodyOf returns the part of okAnswer that an answer to the method leaves out.
func bodyOf(method string) string {
	if method == http.MethodHead {
		return "ok"
	}
	return ""
}
