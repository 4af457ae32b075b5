package dispatch

import (
	"net/http"
	"net/url"
	"strings"

	"medlarpond.dev/core/services/target"
)

const (
	// keyHeader and keyParameter are where a caller may put its key besides the Authorization header.
	keyHeader    = "Medlarpond-Key"
	keyParameter = "medlarpond-key"
	bearerPrefix = "Bearer "
)

// presentedKey returns the key that came with a request; empty if none did.
func presentedKey(r *http.Request) string {
	if key := r.Header.Get(keyHeader); key != "" {
		return key
	}
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
		return key
	}
	if strings.Contains(r.URL.RawQuery, keyParameter) {
		return r.URL.Query().Get(keyParameter)
	}
	return ""
}

// attempt builds the request for a target, without the key and without what concerns one connection only.
func (c *call) attempt(address string) target.Attempt {
	r := c.request
	h := r.Header.Clone()
	target.RemoveHopByHop(h)
	h.Del("Expect")
	h.Del(keyHeader)
	removeKey(h, c.key)
	a := target.Attempt{
		Address: address, Method: r.Method, URI: c.uri(), Host: r.Host, Header: h,
		ContentLength: r.ContentLength, Idempotent: c.idempotent,
	}
	if hasBody(r) {
		a.Body = http.MaxBytesReader(nil, r.Body, c.service.MaxBodyBytes)
		a.Trailer = r.Trailer
	}
	return a
}

// removeKey deletes every header that contains the key, wherever the caller put it.
func removeKey(h http.Header, key string) {
	if key == "" {
		return
	}
	for name, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(h, name)
				break
			}
		}
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
		if !c.carriesKey(part) {
			kept = append(kept, part)
		}
	}
	if len(kept) == 0 {
		return u.EscapedPath()
	}
	return u.EscapedPath() + "?" + strings.Join(kept, "&")
}

func (c *call) carriesKey(part string) bool {
	decoded, err := url.QueryUnescape(part)
	if err != nil {
		decoded = part
	}
	if strings.HasPrefix(decoded, keyParameter+"=") {
		return true
	}
	return c.key != "" && strings.Contains(decoded, c.key)
}
