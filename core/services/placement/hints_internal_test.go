package placement

import (
	"testing"
	"time"
)

// TestResponseWithoutPause guards against a request that finds no target because a response arrives while its target is selected: the
// time of the selection is then earlier than that of the response, up to which the target would be paused.
func TestResponseWithoutPause(t *testing.T) {
	received := time.Now()
	selected := received.Add(-time.Millisecond)
	var s hintState
	s.apply(Hints{Limit: LimitNone}, received)
	if in := s.availableIn(selected); in > 0 {
		t.Errorf("after a response without a pause: got %v until the target takes requests, want none", in)
	}
	s.apply(Hints{Pause: time.Second}, received)
	if in := s.availableIn(selected); in != time.Second+time.Millisecond {
		t.Errorf("after a pause of 1s: got %v until the target takes requests, want 1.001s", in)
	}
}
