package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	importSize = 1 << 20
	answerSize = 160 << 10
	// spoilingUpstream is the one of the two upstreams that answers one in 50 requests early (garble: share 0.5, x 0.02).
	spoilingUpstream = "i-pos-a"
	// pieceSize and pieceInterval give a client's link 20 Mbit/s.
	pieceSize     = 62_500
	pieceInterval = 25 * time.Millisecond
)

// linkReader reads a body at the rate of a client's link.
type linkReader struct{ body []byte }

// Read implements io.Reader.
func (r *linkReader) Read(b []byte) (int, error) {
	if len(r.body) == 0 {
		return 0, io.EOF
	}
	time.Sleep(pieceInterval)
	n := copy(b, r.body[:min(len(r.body), pieceSize)])
	r.body = r.body[n:]
	return n, nil
}

// importBody returns the body of the request number n; the position of each eight bytes can be read from them.
func importBody(n int) []byte {
	b := make([]byte, 0, importSize)
	for len(b) < importSize {
		b = fmt.Appendf(b, "%02x%06x", n&0xff, len(b))
	}
	return b
}

// earlyUpstream answers some requests before it has read their bodies, keeps the connection and reads on.
type earlyUpstream struct {
	trouble                     bool
	arrivals, early, wrongBytes atomic.Int64
}

func (s *earlyUpstream) serve(u *upstream, c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get(headerID)
		if request.Header.Get(headerExpected) != u.id {
			return
		}
		var n int
		_, _ = fmt.Sscanf(request.URL.Path, "/import/%d", &n)
		early := s.trouble && u.id == spoilingUpstream && s.arrivals.Add(1)%50 == 25
		want := importBody(n)
		var got []byte
		if !early {
			if got, err = io.ReadAll(request.Body); err != nil {
				u.t.log("upstream %s: the body of %s breaks off: %v", u.id, id, err)
				return
			}
		} else {
			s.early.Add(1)
			got = make([]byte, 4096)
			if _, err := io.ReadFull(request.Body, got); err != nil {
				return
			}
		}
		answer := bytes.Repeat([]byte("x"), answerSize)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\n%s: 1,0,4\r\nContent-Length: %d\r\n\r\n", headerID, id, headerSeal, headerLoad, len(answer))
		if _, err := c.Write(append([]byte(head), answer[:answerSize/2]...)); err != nil {
			return
		}
		if early {
			u.t.log("upstream %s answers %s after %d bytes of its body, and reads on", u.id, id, len(got))
			time.Sleep(300 * time.Millisecond)
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			rest, err := io.ReadAll(request.Body)
			_ = c.SetReadDeadline(time.Time{})
			got = append(got, rest...)
			u.t.log("upstream %s: %s has %d bytes of %d, end: %v", u.id, id, len(got), len(want), err)
		}
		// A body that breaks off is excused; other bytes in the place of the rest are not.
		for at := range got {
			if at >= len(want) || got[at] != want[at] {
				s.wrongBytes.Add(1)
				u.t.log("upstream %s: %s has other bytes from offset %d: %q, due were %q", u.id, id, at, got[at:min(at+16, len(got))], want[at:min(at+16, len(want))])
				break
			}
		}
		if _, err := c.Write(answer[answerSize/2:]); err != nil {
			return
		}
	}
}

// earlyAnswer sends large bodies while upstreams answer some requests early, and checks UNASKED.
func earlyAnswer(t *trial) (held bool, err error) {
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	s := &earlyUpstream{trouble: t.trouble}
	var instances []*instance
	for _, zone := range []string{"pos-a", "sfo-a"} {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
		if _, err := t.startUpstream("i-"+zone, "yard", zone, s.serve); err != nil {
			return false, err
		}
	}
	t.store.Put(wire["desiredState"], desiredState(7))
	for _, i := range instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := t.waitReady(instances); err != nil {
		return false, err
	}
	const requests, workers = 200, 8
	var wg sync.WaitGroup
	var answered, failed atomic.Int64
	numbers := make(chan int)
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Timeout: 8 * time.Second}
			for n := range numbers {
				id := fmt.Sprintf("u%015d", n)
				request, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/import/%d", instances[w%2].front, n), &linkReader{importBody(n)})
				if n%2 == 0 {
					request.ContentLength = importSize
				}
				request.Host = "a.example"
				request.Header.Set(headerID, id)
				request.Header.Set(headerDeadline, "8000")
				request.Header.Set("Authorization", "Bearer k-acme-1")
				response, err := client.Do(request)
				if err != nil {
					failed.Add(1)
					t.log("client sent %s: %v", id, err)
					continue
				}
				content, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				t.log("client sent %s, chunked %v: status %d, %d bytes, %v", id, n%2 == 1, response.StatusCode, len(content), err)
				if err == nil && response.StatusCode == http.StatusOK {
					answered.Add(1)
				} else {
					failed.Add(1)
				}
			}
		}()
	}
	for n := range requests {
		numbers <- n
	}
	close(numbers)
	wg.Wait()
	fmt.Printf("%d requests answered, %d not; %d answered early; other bytes in %d\n", answered.Load(), failed.Load(), s.early.Load(), s.wrongBytes.Load())
	t.log("%d requests answered, %d not; %d answered early; other bytes in %d", answered.Load(), failed.Load(), s.early.Load(), s.wrongBytes.Load())
	if answered.Load() < requests/2 || (t.trouble && s.early.Load() == 0) {
		return false, fmt.Errorf("%d answered, %d early: the case did not come about", answered.Load(), s.early.Load())
	}
	return s.wrongBytes.Load() == 0, nil
}
