package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxBufferedAnswer is the largest answer that is read whole before it is passed on. An answer that breaks off
	// earlier can be replaced by that of another target.
	maxBufferedAnswer = 1 << 20
	// inlineBytes is the largest request that is written before its answer is read; it fits the windows of a connection.
	inlineBytes = 16 << 10
	// maxStrays bounds the answers to other requests that are skipped on one connection.
	maxStrays = 3
	// keepAliveFraction is the part of the idle time announced by a target in which a connection is used again.
	keepAliveFraction = 0.85
)

// Message is a request as a target receives it.
type Message struct {
	Method, URI, Host string
	// Header holds no field that concerns one connection only.
	Header http.Header
	// Body is the first part of the body, Rest what follows or nil.
	Body []byte
	Rest io.Reader
	// Length is that of the whole body; negative if unknown, and zero for no body.
	Length int64
}

// Exchange is one attempt on one connection.
type Exchange struct {
	Address string
	Message Message
	// IDHeader names the header by which an answer tells to which request it belongs, and ID is its value.
	IDHeader, ID string
	// Deadline bounds the whole exchange.
	Deadline time.Time
	// MaxIdle is the age of an idle connection up to which it may be used.
	MaxIdle time.Duration
	// Once is true for a request that must not run twice; it uses only connections that are not likely to be forgotten.
	Once bool
}

// Answer is a target's answer to one request.
type Answer struct {
	Status int
	Header http.Header
	// Body is the first part, Rest what follows or nil; whoever takes the answer closes Rest.
	Body []byte
	Rest io.ReadCloser
}

// ErrStray is returned when a connection brought answers to other requests and none to this one.
type ErrStray struct {
	// Got is the ID in the last answer.
	Got string
}

// Error implements error.
func (e *ErrStray) Error() string { return fmt.Sprintf("the answer belongs to request %q", e.Got) }

// Do makes the attempt. It returns *ErrNotSent if no byte of the request can have reached the target, and *ErrBroken if
// the request may have run and no whole answer came. It never repeats anything by itself.
func (p *Pool) Do(ctx context.Context, x Exchange) (*Answer, error) {
	began, maxIdle := time.Now(), x.MaxIdle
	if x.Once {
		maxIdle = min(maxIdle, p.trust.limit(began))
	}
	c, err := p.get(ctx, x.Address, maxIdle, x.Deadline)
	if err != nil {
		return nil, err
	}
	if err := c.SetDeadline(x.Deadline); err != nil {
		_ = c.Close()
		return nil, &ErrNotSent{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	wrote := make(chan error, 1)
	if x.Message.Rest == nil && len(x.Message.Body) <= inlineBytes {
		wrote <- x.Message.write(c)
	} else {
		go func() { wrote <- x.Message.write(c) }()
	}
	answer, reusable, err := c.readAnswer(x)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if !c.idleSince.IsZero() {
			p.trust.failed(err, began.Sub(c.idleSince), time.Since(began))
		}
		return nil, &ErrBroken{Cause: err}
	}
	if answer.Rest != nil {
		answer.Rest = &rest{Reader: answer.Rest, close: func() { stop(); _ = c.Close() }}
		return answer, nil
	}
	if !stop() || !reusable || !finished(wrote) {
		// A target that answers before it has read the request would take what follows for the rest of the body.
		_ = c.Close()
		return answer, nil
	}
	p.put(x.Address, c)
	return answer, nil
}

func finished(wrote <-chan error) bool {
	select {
	case err := <-wrote:
		return err == nil
	default:
		return false
	}
}

// rest is the part of a long answer that streams from its connection.
type rest struct {
	io.Reader
	close func()
}

// Close implements io.Closer.
func (r *rest) Close() error {
	r.close()
	return nil
}

// write sends the request.
func (m Message) write(w io.Writer) error {
	b := bufio.NewWriter(w)
	_, _ = b.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	if err := m.Header.Write(b); err != nil {
		return err
	}
	switch {
	case m.Length < 0:
		_, _ = b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.Length > 0 || (m.Method != http.MethodGet && m.Method != http.MethodHead):
		_, _ = b.WriteString("Content-Length: " + strconv.FormatInt(m.Length, 10) + "\r\n")
	}
	_, _ = b.WriteString("\r\n")
	if m.Length >= 0 {
		_, _ = b.Write(m.Body)
		if m.Rest != nil {
			if _, err := io.Copy(b, m.Rest); err != nil {
				return err
			}
		}
		return b.Flush()
	}
	return m.writeChunked(b)
}

func (m Message) writeChunked(b *bufio.Writer) error {
	source := io.Reader(strings.NewReader(string(m.Body)))
	if m.Rest != nil {
		source = io.MultiReader(source, m.Rest)
	}
	buffer := make([]byte, inlineBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			_, _ = fmt.Fprintf(b, "%x\r\n", n)
			_, _ = b.Write(buffer[:n])
			_, _ = b.WriteString("\r\n")
		}
		if errors.Is(err, io.EOF) {
			_, _ = b.WriteString("0\r\n\r\n")
			return b.Flush()
		}
		if err != nil {
			return err
		}
		if err := b.Flush(); err != nil {
			return err
		}
	}
}

// readAnswer reads the answer to this request and skips those that belong to others. Reusable is true if the connection
// is at the start of the next answer and nothing on it was out of order.
func (c *conn) readAnswer(x Exchange) (a *Answer, reusable bool, err error) {
	strays := false
	for range maxStrays {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.Message.Method}) //nolint:bodyclose // the connection is closed instead
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		got := response.Header.Get(x.IDHeader)
		if got == x.ID {
			a, reusable, err := c.readBody(response)
			return a, reusable && !strays, err
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, false, &ErrStray{Got: got}
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, false, err
		}
		strays = true
	}
	return nil, false, &ErrStray{}
}

func (c *conn) readBody(response *http.Response) (*Answer, bool, error) {
	a := &Answer{Status: response.StatusCode, Header: response.Header}
	// The length of the body is that of the bytes read, so a connection that is reset is an error here.
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err != nil {
		return nil, false, err
	}
	a.Body = body
	if len(body) > maxBufferedAnswer {
		a.Rest = response.Body
		return a, false, nil
	}
	if limit, ok := announcedIdle(response.Header); ok {
		c.idleLimit = time.Duration(keepAliveFraction * float64(limit))
	}
	return a, !response.Close && c.reader.Buffered() == 0, nil
}

// announcedIdle returns the idle time after which the target closes a connection.
func announcedIdle(h http.Header) (time.Duration, bool) {
	for _, value := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(value, ",") {
			name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(number); err == nil && strings.EqualFold(name, "timeout") {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}
