package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"medlarpond.dev/core/services/placement"
	"medlarpond.dev/core/services/target"
)

const (
	retryAfterHeader = "Retry-After"
	// leavingValue is the value of the header of a target that leaves.
	leavingValue = "1"
	// maxHintSeconds bounds the durations in the headers of targets, so that they fit into a Duration.
	maxHintSeconds = 1e6
)

// parseHints returns what a target says in a response about the requests that it wants. Values that are malformed say nothing.
func (f *Forwarder) parseHints(response *target.Response) (h placement.Hints) {
	for _, value := range response.Header[http.CanonicalHeaderKey(f.Headers.Leaving)] {
		h.Leaving = h.Leaving || strings.TrimSpace(value) == leavingValue
	}
	if response.Status == http.StatusServiceUnavailable {
		for _, value := range response.Header[retryAfterHeader] {
			if seconds, ok := parseDecimal(value); ok {
				h.Pause = max(h.Pause, time.Duration(min(seconds, maxHintSeconds)*float64(time.Second)))
			}
		}
	}
	return h
}

// parseDecimal parses a decimal number that is not negative, such as 2 or 0.75.
func parseDecimal(value string) (float64, bool) {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") != "" {
		return 0, false
	}
	n, err := strconv.ParseFloat(value, 64)
	return n, err == nil && !math.IsInf(n, 0)
}
