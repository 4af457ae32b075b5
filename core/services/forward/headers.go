package forward

import (
	"net/http"
	"sync"

	"go.uber.org/zap"
)

// maxHeaderNames bounds the names of response headers that are remembered.
const maxHeaderNames = 64

// headerNames remembers names of headers. It is safe for concurrent use.
type headerNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds the names of the headers and returns those that are new, at most as many as fit.
func (n *headerNames) add(h http.Header) (added []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range h {
		if n.names[name] || len(n.names) >= maxHeaderNames {
			continue
		}
		if n.names == nil {
			n.names = map[string]bool{}
		}
		n.names[name] = true
		added = append(added, name)
	}
	return added
}

// logNewHeaders logs each name of a response header once, with its first value: targets may say something that this version
// does not know.
func (f *Forwarder) logNewHeaders(target string, h http.Header) {
	for _, name := range f.responseHeaders.add(h) {
		f.Logger.Info("first response header with this name", zap.String("header", name), zap.String("value", h.Get(name)),
			zap.String("target", target))
	}
}
