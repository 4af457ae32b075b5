package dispatch

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// FuzzKey checks that a key that came with a request never remains in the URI and headers sent to the target.
func FuzzKey(f *testing.F) {
	f.Add("/a?x=1&medlarpond-key=K1", "X-Note", "see K1")
	f.Add("/a?x=%4B1;y=2", "Authorization", "bearer K1")
	f.Add("/a?medlarpond%2Dkey=K1&%254B1", "Cookie", "a=1; k=K1")
	f.Fuzz(func(t *testing.T, uri, name, value string) {
		const key = "K1secret"
		uri, value = strings.ReplaceAll(uri, "K1", key), strings.ReplaceAll(value, "K1", key)
		u, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		r := &http.Request{Method: http.MethodGet, URL: u, Header: http.Header{"Medlarpond-Key": {key}}}
		r.Header.Add(name, value)
		if keys := presentedKeys(r); len(keys) != 1 {
			return
		}
		c := &call{request: r, key: key}
		if c.validateRequest() != nil {
			return
		}
		h := r.Header.Clone()
		c.removeKey(h)
		sent := c.uri()
		if decoded, err := url.QueryUnescape(sent); err == nil {
			sent += decoded
		}
		for name, values := range h {
			sent += name + strings.Join(values, "")
		}
		if strings.Contains(sent, key) {
			t.Errorf("got %q in the target's request, want no key", sent)
		}
	})
}
