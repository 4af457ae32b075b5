package dispatch

import (
	"encoding/base64"
	"encoding/hex"
	"io"
	"net/http"
	"slices"
	"strings"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/services/target"
)

const (
	// keyHeader and keyParameter are where a caller may put its key besides the Authorization header.
	keyHeader    = "Medlarpond-Key"
	keyParameter = "medlarpond-key"
	bearerScheme = "Bearer"
	basicPrefix  = "Basic "
	// maxDecodings bounds how often a value may be percent-encoded and still be recognized.
	maxDecodings = 3
)

// presentedKeys returns the different keys that came with a request, the one that counts first.
func presentedKeys(r *http.Request) []string {
	presented := slices.Clone(r.Header[keyHeader])
	for _, value := range r.Header["Authorization"] {
		if scheme, key, ok := strings.Cut(value, " "); ok && strings.EqualFold(scheme, bearerScheme) {
			presented = append(presented, strings.TrimSpace(key))
		}
	}
	if strings.Contains(r.URL.RawQuery, keyParameter) {
		presented = append(presented, r.URL.Query()[keyParameter]...)
	}
	var keys []string
	for _, key := range presented {
		if key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// attempt builds the request for a target, without the key and without what concerns one connection only.
func (c *call) attempt(t resource.NamedTarget, instances int) target.Attempt {
	r := c.request
	h := r.Header.Clone()
	target.RemoveHopByHop(h)
	h.Del("Expect")
	c.removeKey(h)
	a := target.Attempt{
		Address: t.Address, Method: r.Method, URI: c.uri(), Host: r.Host, Header: h, Idempotent: c.idempotent,
		Close: instances*target.MaxIdle > t.Connections-t.Slots,
	}
	if c.containsKey(r.Host) {
		a.Host = t.Address
	}
	if body := c.body.reader(); body != nil {
		a.Body, a.ContentLength = body, c.body.length
		a.Body, a.Trailer = c.trailers(body)
	}
	return a
}

// trailers returns the trailers to announce, which are filled in at the end of the body.
func (c *call) trailers(body io.Reader) (io.Reader, http.Header) {
	if len(c.request.Trailer) == 0 {
		return body, nil
	}
	announced := http.Header{}
	for name := range c.request.Trailer {
		announced[name] = nil
	}
	announced.Del(keyHeader)
	announced.Del("Authorization")
	return &trailerReader{body: body, call: c, announced: announced}, announced
}

// trailerReader copies the caller's trailers, without the key, when its body is at its end.
type trailerReader struct {
	body      io.Reader
	call      *call
	announced http.Header
}

// Read implements io.Reader.
func (t *trailerReader) Read(p []byte) (int, error) {
	n, err := t.body.Read(p)
	if err != io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
		return n, err
	}
	received := t.call.request.Trailer.Clone()
	t.call.removeKey(received)
	for name := range t.announced {
		if values, ok := received[name]; ok {
			t.announced[name] = values
		}
	}
	return n, err
}

// removeKey deletes the key wherever a header may hold it. Of cookies only those with the key are deleted.
func (c *call) removeKey(h http.Header) {
	h.Del(keyHeader)
	if c.key == "" {
		return
	}
	c.removeCookies(h)
	for name, values := range h {
		for _, v := range values {
			if c.containsKey(v) {
				delete(h, name)
				break
			}
		}
		if c.containsKey(name) || strings.Contains(strings.ToLower(name), strings.ToLower(c.key)) {
			delete(h, name)
		}
	}
}

func (c *call) removeCookies(h http.Header) {
	lines := h["Cookie"]
	if len(lines) == 0 {
		return
	}
	var kept []string
	for pair := range strings.SplitSeq(strings.Join(lines, "; "), ";") {
		if pair = strings.TrimSpace(pair); pair != "" && !c.containsKey(pair) {
			kept = append(kept, pair)
		}
	}
	h.Del("Cookie")
	if len(kept) > 0 {
		h.Set("Cookie", strings.Join(kept, "; "))
	}
}

// uri returns the path and query without any parameter that names or contains the key.
func (c *call) uri() string {
	u := c.request.URL
	if u.RawQuery == "" {
		return u.EscapedPath()
	}
	kept := make([]string, 0, strings.Count(u.RawQuery, "&")+1)
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		if !c.parameterCarriesKey(part) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}

func (c *call) parameterCarriesKey(part string) bool {
	if decoded := decodePercent(part); decoded == keyParameter || strings.Contains(decoded, keyParameter+"=") {
		return true
	}
	return c.containsKey(part)
}

// containsKey reports whether a text holds the key, plain, percent-encoded or in basic credentials.
func (c *call) containsKey(text string) bool {
	if c.key == "" {
		return false
	}
	if encoded, ok := strings.CutPrefix(text, basicPrefix); ok {
		if decoded, err := base64.StdEncoding.DecodeString(encoded); err == nil && strings.Contains(string(decoded), c.key) {
			return true
		}
	}
	return holds(text, c.key, maxDecodings)
}

// holds reports whether a text holds a key, plain or up to the given number of times percent-encoded, with spaces
// written as in paths or as in queries.
func holds(text, key string, decodings int) bool {
	if strings.Contains(text, key) {
		return true
	}
	if decodings == 0 || !strings.ContainsAny(text, "%+") {
		return false
	}
	if holds(decodePercent(text), key, decodings-1) {
		return true
	}
	return strings.Contains(text, "+") && holds(decodePercent(strings.ReplaceAll(text, "+", " ")), key, decodings-1)
}

// decodePercent decodes what is percent-encoded in a text and leaves the rest, malformed escapes included.
func decodePercent(text string) string {
	var decoded strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if b, err := hex.DecodeString(text[i+1 : i+3]); err == nil {
				decoded.WriteByte(b[0])
				i += 2
				continue
			}
		}
		decoded.WriteByte(text[i])
	}
	return decoded.String()
}
