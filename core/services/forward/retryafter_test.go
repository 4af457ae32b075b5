package forward

import (
	"fmt"
	"testing"
	"time"
)

// TestRefusedCrowdIsSpread replays requests that are refused at the same time. It guards against a Retry-After that does not
// follow the estimate, and against callers that come back together.
func TestRefusedCrowdIsSpread(t *testing.T) {
	const crowd = 1000
	f := New(Config{})
	for name, c := range map[string]struct{ roomIn, least, most time.Duration }{
		"no estimate":       {0, 300 * time.Millisecond, 500 * time.Millisecond},
		"soon":              {time.Millisecond, 100 * time.Millisecond, 167 * time.Millisecond},
		"in 800 ms":         {800 * time.Millisecond, 600 * time.Millisecond, time.Second},
		"in a long time":    {time.Hour, 1200 * time.Millisecond, 2 * time.Second},
		"negative estimate": {-time.Second, 300 * time.Millisecond, 500 * time.Millisecond},
	} {
		var tenths [10]int
		for n := range crowd {
			request := &call{Request: Request{ID: fmt.Sprintf("r-%d", n)}}
			got := f.retryAfterRoom(request, c.roomIn)
			if got < c.least-time.Millisecond || got > c.most+time.Millisecond {
				t.Fatalf("%s: got Retry-After %v, want %v to %v", name, got, c.least, c.most)
			}
			tenths[min(max(int(10*(got-c.least)/(c.most-c.least)), 0), 9)]++
		}
		for n, count := range tenths {
			if count > crowd/5 {
				t.Errorf("%s: %d of %d requests come back in tenth %d of the time, want at most %d", name, count, crowd, n, crowd/5)
			}
		}
	}
}
