package proof_test

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/faulty"
)

// otherKey is a second API key of the same team, for requests with two keys.
const otherKey = "another-key-of-the-tests-Qx7"

// recorder is a writer that records all bytes written to it.
type recorder struct {
	mu      sync.Mutex
	content bytes.Buffer
}

// Write implements io.Writer.
func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.content.Write(b)
}

// drain returns the bytes written since the last call.
func (r *recorder) drain() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.content.Reset()
	return r.content.String()
}

// startRecordingTarget starts a target that responds to every request and records every byte that it receives.
func startRecordingTarget(t *testing.T, received io.Writer) string {
	t.Helper()
	return startServer(t, func(l net.Listener) {
		faulty.ServeConnections(l, func(c net.Conn) { serveAndRecord(c, received) })
	})
}

func serveAndRecord(c net.Conn, received io.Writer) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(io.TeeReader(c, received))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

// TestKeyIsNotLeaked sends requests, well-formed and malformed, with an API key in every place where a caller may put it.
// It checks that the key appears in no request to a target, no response, log line or metric, and not in the status, the
// history or the list of keys.
func TestKeyIsNotLeaked(t *testing.T) {
	var received, logged recorder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&logged), zapcore.DebugLevel)
	hash := resource.HashKey(otherKey)
	instance := startTestInstance(t, zap.New(core), append(baseResources(),
		resource.Resource{Kind: resource.KindKey, Name: "k2", Spec: resource.Key{Team: "lawns", Hash: hex.EncodeToString(hash[:])}},
		targetResource("desk", "desk-1", startRecordingTarget(t, &received)),
	))
	for _, route := range []string{"/desk", "/open"} {
		for _, test := range keyRequests() {
			t.Run(strings.TrimPrefix(route, "/")+"/"+test.name, func(t *testing.T) {
				response := instance.sendRaw(t, strings.ReplaceAll(test.request, "ROUTE", route))
				checkNoKey(t, "the response", response)
				checkNoKey(t, "the request to the target", received.drain())
				if test.wantServed && !strings.HasPrefix(response, "HTTP/1.1 200") {
					t.Errorf("got response %.200q, want status 200", response)
				}
			})
		}
	}
	for _, path := range []string{"/metrics", "/v1/status", "/v1/history", "/v1/resources/key"} {
		_, content := instance.operator(t, http.MethodGet, path, nil)
		checkNoKey(t, path, content)
	}
	checkNoKey(t, "the log", logged.drain())
}

// keyRequest is a raw request with an API key in some place.
type keyRequest struct {
	name    string
	request string
	// wantServed is true for a request that must be served with status 200, also on a route that needs a key.
	wantServed bool
}

func keyRequests() []keyRequest {
	const bearer = "Authorization: Bearer " + testKey + "\r\n"
	escaped := fmt.Sprintf("%%%02x%s", testKey[0], testKey[1:])
	basic := base64.StdEncoding.EncodeToString([]byte("user:" + testKey))
	get := func(uri, headers string) string { return "GET " + uri + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" }
	chunked := "POST ROUTE HTTP/1.1\r\nHost: h\r\n" + bearer + "Transfer-Encoding: chunked\r\n"
	return []keyRequest{
		{"bearer", get("ROUTE", bearer), true},
		{"bearer in lower case", get("ROUTE", "authorization: bearer "+testKey+"\r\n"), true},
		{"header", get("ROUTE", "Medlarpond-Key: "+testKey+"\r\n"), true},
		{"query parameter", get("ROUTE?a=1&medlarpond-key="+testKey+"&b=2", ""), true},
		{"escaped query parameter", get("ROUTE?medlarpond%2Dkey="+testKey, bearer), true},
		{"escaped key in the query", get("ROUTE?x="+escaped, bearer), true},
		{"key in another parameter", get("ROUTE?x="+testKey, bearer), true},
		{"key as a parameter's name", get("ROUTE?"+testKey, bearer), true},
		{"key after a semicolon", get("ROUTE?a=1;medlarpond-key="+testKey, bearer), true},
		{"only key after a semicolon", get("ROUTE?a=1;medlarpond-key="+testKey, ""), false},
		{"key in the path", get("ROUTE/"+testKey+"/x", bearer), false},
		{"escaped key in the path", get("ROUTE/"+escaped, bearer), false},
		{"key as user information", "GET http://" + testKey + "@h/" + "desk HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", false},
		{"two keys", get("ROUTE", bearer+"Medlarpond-Key: "+otherKey+"\r\n"), false},
		{"two keys, one in the query", get("ROUTE?medlarpond-key="+otherKey, bearer), false},
		{"bearer twice", get("ROUTE", bearer+"Authorization: Bearer "+otherKey+"\r\n"), false},
		{"header twice", get("ROUTE", "Medlarpond-Key: "+testKey+"\r\nMedlarpond-Key: "+otherKey+"\r\n"), false},
		{"cookie", get("ROUTE", bearer+"Cookie: a=1; k="+testKey+"; b=2\r\n"), true},
		{"referer", get("ROUTE", bearer+"Referer: http://h/desk?medlarpond-key="+testKey+"\r\n"), true},
		{"basic credentials", get("ROUTE", "Medlarpond-Key: "+testKey+"\r\nAuthorization: Basic "+basic+"\r\n"), true},
		{"header's name", get("ROUTE", bearer+testKey+": 1\r\n"), true},
		{"host", "GET ROUTE HTTP/1.1\r\nHost: " + testKey + "\r\n" + bearer + "\r\n", true},
		{"hop-by-hop list", get("ROUTE", bearer+"Connection: x-a, "+testKey+"\r\n"), true},
		{"announced trailer", chunked + "Trailer: Medlarpond-Key, X-Sum\r\n\r\n2\r\nab\r\n0\r\nMedlarpond-Key: " + testKey + "\r\nX-Sum: " + testKey + "\r\n\r\n", true},
		{"trailer", chunked + "\r\n2\r\nab\r\n0\r\nX-Sum: " + testKey + "\r\n\r\n", true},
		{"wrong version", "GET ROUTE HTTP/9.9\r\nHost: h\r\n" + bearer + "\r\n", false},
		{"method", testKey + " ROUTE HTTP/1.1\r\nHost: h\r\n" + bearer + "\r\n", false},
		{"unknown path", get("/"+url.PathEscape(testKey), bearer), false},
		{"lookup", get("/medlarpond/v1/lookup?service="+testKey, bearer), false},
	}
}

// sendRaw sends a request unchanged on a new connection and returns the response as text, or the error of reading it.
func (ti *testInstance) sendRaw(t *testing.T, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", ti.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	if err := response.Write(&text); err != nil {
		return err.Error()
	}
	return text.String()
}

// checkNoKey fails if a text contains one of the keys, plain, percent-encoded or in basic credentials, regardless of case.
func checkNoKey(t *testing.T, where, text string) {
	t.Helper()
	decoded, err := url.PathUnescape(text)
	if err != nil {
		decoded = text
	}
	for _, key := range []string{testKey, otherKey} {
		for _, form := range []string{text, decoded} {
			if i := strings.Index(strings.ToLower(form), strings.ToLower(key)); i >= 0 {
				t.Errorf("%s contains the key: %q", where, form[max(0, i-60):min(len(form), i+60)])
				return
			}
		}
	}
	if strings.Contains(text, base64.StdEncoding.EncodeToString([]byte("user:"+testKey))) {
		t.Errorf("%s contains the key in basic credentials", where)
	}
}
