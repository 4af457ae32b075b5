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
	// keyHeader and keyParameter are the header and the query parameter that may carry the API key, besides the
	// Authorization header.
	keyHeader    = "Medlarpond-Key"
	keyParameter = "medlarpond-key"
	bearerScheme = "Bearer"
	basicPrefix  = "Basic "
	// maxDecodings is how many layers of percent-encoding are removed in search of the key.
	maxDecodings = 3
)

// presentedKeys returns the distinct keys that came with a request, in order of precedence: keyHeader, Authorization,
// keyParameter.
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

// newAttempt builds the request for a target, without the API key and without hop-by-hop headers.
func (c *call) newAttempt(t resource.NamedTarget, instances int) target.Attempt {
	r := c.request
	h := r.Header.Clone()
	target.RemoveHopByHop(h)
	h.Del("Expect")
	c.removeKey(h)
	a := target.Attempt{
		Address: t.Address, Method: r.Method, URI: c.uri(), Host: r.Host, Header: h, Idempotent: c.idempotent,
		Close: instances*target.MaxIdlePerTarget > t.Connections-t.Slots,
	}
	if c.containsKey(r.Host) {
		a.Host = t.Address
	}
	if body := c.body.reader(); body != nil {
		a.Body, a.ContentLength = body, c.body.length
		a.Body, a.Trailer = c.withTrailers(body)
	}
	return a
}

// withTrailers returns the body and the trailers to announce, whose values are set when the body has been read.
func (c *call) withTrailers(body io.Reader) (io.Reader, http.Header) {
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

// trailerReader reads the body and at its end copies the caller's trailers, without the key.
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

// removeKey deletes every header that contains the key. Of cookies it deletes only those that contain the key.
func (c *call) removeKey(h http.Header) {
	h.Del(keyHeader)
	if c.key == "" {
		return
	}
	c.removeKeyFromCookies(h)
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

func (c *call) removeKeyFromCookies(h http.Header) {
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

// uri returns the path and the query without the parameters that name or contain the key.
func (c *call) uri() string {
	u := c.request.URL
	if u.RawQuery == "" {
		return u.EscapedPath()
	}
	kept := make([]string, 0, strings.Count(u.RawQuery, "&")+1)
	for part := range strings.SplitSeq(u.RawQuery, "&") {
		if !c.parameterContainsKey(part) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}

func (c *call) parameterContainsKey(part string) bool {
	if decoded := decodePercent(part); decoded == keyParameter || strings.Contains(decoded, keyParameter+"=") {
		return true
	}
	return c.containsKey(part)
}

// containsKey reports whether a text contains the key: plain, percent-encoded or in basic credentials.
func (c *call) containsKey(text string) bool {
	if c.key == "" {
		return false
	}
	if encoded, ok := strings.CutPrefix(text, basicPrefix); ok {
		if decoded, err := base64.StdEncoding.DecodeString(encoded); err == nil && strings.Contains(string(decoded), c.key) {
			return true
		}
	}
	return containsEncoded(text, c.key, maxDecodings)
}

// containsEncoded reports whether text contains key, plain or percent-encoded up to the given number of times. A plus
// sign may stand for itself or for a space.
func containsEncoded(text, key string, decodings int) bool {
	if strings.Contains(text, key) {
		return true
	}
	if decodings == 0 || !strings.ContainsAny(text, "%+") {
		return false
	}
	if containsEncoded(decodePercent(text), key, decodings-1) {
		return true
	}
	return strings.Contains(text, "+") && containsEncoded(decodePercent(strings.ReplaceAll(text, "+", " ")), key, decodings-1)
}

// decodePercent decodes the valid percent escapes in a text and leaves the rest unchanged.
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
