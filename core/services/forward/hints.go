package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

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
	h.Limit, h.LimitRate = f.parseLimit(response)
	if response.Status == http.StatusServiceUnavailable {
		for _, value := range response.Header[retryAfterHeader] {
			if seconds, ok := parseDecimal(value); ok {
				h.Pause = max(h.Pause, time.Duration(min(seconds, maxHintSeconds)*float64(time.Second)))
			}
		}
	}
	return h
}

// parseLimit returns the limit that a response names, the lowest of several. Only a response that the target has sealed shows
// that there is none: a refusal may not carry the header.
func (f *Forwarder) parseLimit(response *target.Response) (hint placement.LimitHint, rate float64) {
	values, present := response.Header[http.CanonicalHeaderKey(f.Headers.Limit)]
	if !present && response.Header.Get(f.Headers.Seal) != "" {
		return placement.LimitNone, 0
	}
	for _, value := range values {
		if n, ok := parseDecimal(value); ok && (hint == placement.LimitUnknown || n < rate) {
			hint, rate = placement.LimitNamed, n
		}
	}
	return hint, rate
}

// hintFields returns log fields with what a target has said about the requests that it wants, as it was sent.
func (f *Forwarder) hintFields(h http.Header) (fields []zap.Field) {
	for _, hint := range [...]struct{ field, header string }{
		{"target-limit", f.Headers.Limit}, {"target-leaving", f.Headers.Leaving}, {"target-retry-after", retryAfterHeader},
	} {
		if value := h.Get(hint.header); value != "" {
			fields = append(fields, zap.String(hint.field, value))
		}
	}
	return fields
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
