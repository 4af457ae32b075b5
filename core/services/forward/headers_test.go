package forward

import (
	"fmt"
	"net/http"
	"testing"
)

// TestHeaderNamesAreBounded checks that a target with a new header name in each response does not grow the memory or the log.
func TestHeaderNamesAreBounded(t *testing.T) {
	var n headerNames
	added := 0
	for i := range 1000 {
		added += len(n.add(http.Header{fmt.Sprint("X-", i): {"1"}, "Date": {"now"}}))
	}
	if added != maxHeaderNames || len(n.names) != maxHeaderNames {
		t.Errorf("got %d names added and %d remembered, want %d", added, len(n.names), maxHeaderNames)
	}
}
