package proof_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/standin/faulty"
)

// callTimeout is how long a caller waits for a response. It is far longer than any request may take, so that reaching it
// is a failure.
const callTimeout = 10 * time.Second

// plannedRequest is a request of a caller with the faults that targets simulate for it.
type plannedRequest struct {
	// service is desk, with working and broken targets; mixed, with one of each; or dead, with broken ones only.
	service string
	method  string
	// body is nil for a request without one.
	body []byte
	// chunked is true for a body that is sent with chunked encoding, without a known length.
	chunked bool
	// idempotencyKey is true for a request with an idempotency key.
	idempotencyKey bool
	// shortTimeout is true for a request with a timeout that is shorter than the delay of late targets.
	shortTimeout bool
	// disconnects is true if the caller closes the connection without waiting for the response.
	disconnects bool
	// faults are the faults of the successive attempts; further attempts succeed.
	faults []faulty.Fault
}

func (p plannedRequest) idempotent() bool {
	return p.method == http.MethodGet || p.method == http.MethodHead
}

// genRequest generates requests; about half of them have no faults.
func genRequest() *rapid.Generator[plannedRequest] {
	return rapid.Custom(func(t *rapid.T) plannedRequest {
		p := plannedRequest{
			service:        rapid.SampledFrom([]string{"desk", "desk", "desk", "mixed", "dead"}).Draw(t, "service"),
			method:         rapid.SampledFrom([]string{"GET", "GET", "POST", "POST", "PUT", "DELETE"}).Draw(t, "method"),
			idempotencyKey: rapid.Bool().Draw(t, "idempotency-key"),
			shortTimeout:   rapid.IntRange(0, 9).Draw(t, "short-timeout") == 0,
			disconnects:    rapid.IntRange(0, 19).Draw(t, "disconnects") == 0,
		}
		if size := rapid.SampledFrom([]int{-1, 0, 10, 10, 40_000}).Draw(t, "size"); size >= 0 && p.method != http.MethodGet {
			p.body = []byte(strings.Repeat("b", size))
			p.chunked = rapid.Bool().Draw(t, "chunked")
		}
		if rapid.Bool().Draw(t, "faulty") {
			p.faults = rapid.SliceOfN(rapid.SampledFrom(faulty.All()), 1, 4).Draw(t, "faults")
		}
		return p
	})
}

// head returns the request line and the headers as they are sent.
func (p plannedRequest) head(id string) string {
	var b strings.Builder
	faults := make([]string, 0, len(p.faults)+1)
	for _, f := range p.faults {
		faults = append(faults, string(f))
	}
	faults = append(faults, string(faulty.NoFault))
	_, _ = fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", p.method, p.service, id, testKey)
	_, _ = fmt.Fprintf(&b, "%s: %s\r\n", faulty.PlanHeader, strings.Join(faults, ","))
	if p.idempotencyKey {
		_, _ = fmt.Fprintf(&b, "Idempotency-Key: key-%s\r\n", id)
	}
	if p.shortTimeout {
		_, _ = fmt.Fprintf(&b, "Request-Timeout: %.3f\r\n", (faulty.ResponseDelay / 2).Seconds())
	}
	switch {
	case p.body != nil && p.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case p.body != nil:
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n", len(p.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// payload returns the request's body as it is sent.
func (p plannedRequest) payload() string {
	if p.body == nil || !p.chunked {
		return string(p.body)
	}
	if len(p.body) == 0 {
		return "0\r\n\r\n"
	}
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(p.body), p.body)
}

// outcome is the result of a call as the caller sees it.
type outcome struct {
	// status is zero if there was no response or an incomplete one.
	status int
	body   string
	// notRun is true if the response claims that no target ran the request.
	notRun bool
	err    error
}

// caller is a minimal HTTP client with one connection to an instance. It never retries, so that each call sends its
// request once.
type caller struct {
	address    string
	connection net.Conn
	reader     *bufio.Reader
}

func (c *caller) close() {
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// call sends a request and reads its response. A failed call closes the connection.
func (c *caller) call(p plannedRequest, id string) outcome {
	if c.connection == nil {
		connection, err := net.DialTimeout("tcp", c.address, callTimeout)
		if err != nil {
			return outcome{err: err}
		}
		c.connection, c.reader = connection, bufio.NewReader(connection)
	}
	_ = c.connection.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(c.connection, p.head(id)+p.payload()); err != nil {
		c.close()
		return outcome{err: err}
	}
	if p.disconnects {
		c.close()
		return outcome{err: io.EOF}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: p.method})
	if err != nil {
		c.close()
		return outcome{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || response.Close {
		c.close()
	}
	if err != nil {
		return outcome{err: err}
	}
	return outcome{status: response.StatusCode, body: string(body), notRun: claimsNotRun(response, body)}
}

// claimsNotRun reports whether a response claims, in its headers or its body, that the request was not run.
func claimsNotRun(response *http.Response, body []byte) bool {
	var wire struct {
		Error struct {
			NotRun bool `json:"not-run"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &wire)
	return wire.Error.NotRun || response.Header.Get("Medlarpond-Not-Run") == "true"
}
