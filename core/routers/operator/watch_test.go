package operator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/meter"
	"medlarpond.dev/core/routers/operator"
	"medlarpond.dev/core/services/configuration"
)

// applyChanges applies n changes whose reasons have the given length in bytes.
func applyChanges(t *testing.T, state *configuration.State, n, length int) {
	t.Helper()
	reason := strings.Repeat("x", length)
	for range n {
		v := state.View()
		c := configuration.Change{
			ID: fmt.Sprint(v.Revision + 1), Revision: v.Revision + 1, Previous: v.Chain, Actor: "a", Reason: reason,
			Action:   configuration.ActionUpdate,
			Resource: &resource.Resource{Kind: resource.KindRegion, Name: "r", Spec: resource.Region{Capacity: 1}},
		}
		record, err := configuration.NewRecord(c)
		if err != nil {
			t.Fatal(err)
		}
		if err := state.Apply(record); err != nil {
			t.Fatal(err)
		}
	}
}

func newRouter(state *configuration.State) *operator.Router {
	return operator.New(state, nil, func() operator.Status { return operator.Status{} }, meter.New(), zap.NewNop())
}

// TestSlowWatcher checks that a watch whose client does not read delays neither changes nor other watches.
func TestSlowWatcher(t *testing.T) {
	state := configuration.NewState()
	server := httptest.NewServer(newRouter(state))
	defer server.Close()
	slow, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	if _, err := fmt.Fprint(slow, "GET /v1/watch?after=0 HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.Get(server.URL + "/v1/watch?after=0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	const changes = 400
	applyChanges(t, state, changes, 64<<10)
	d := json.NewDecoder(response.Body)
	for want := uint64(1); want <= changes; want++ {
		var e struct {
			Type     string
			Revision uint64
		}
		if err := d.Decode(&e); err != nil {
			t.Fatal(err)
		}
		if e.Type != "change" || e.Revision != want {
			t.Fatalf("got %s %d, want change %d", e.Type, e.Revision, want)
		}
	}
}

// TestWatchTooOld checks that a watch from a revision older than the kept history gets status 410.
func TestWatchTooOld(t *testing.T) {
	state := configuration.NewState()
	applyChanges(t, state, configuration.HistoryLength+1, 1)
	for after, status := range map[int]int{0: http.StatusGone, configuration.HistoryLength + 1: http.StatusOK} {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		recorder := httptest.NewRecorder()
		newRouter(state).ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("/v1/watch?after=%d", after), nil))
		cancel()
		if recorder.Code != status {
			t.Errorf("watch after %d: got status %d, want %d", after, recorder.Code, status)
		}
	}
}

// TestWatchSendsBookmarks checks that a watch without changes regularly reports its revision.
func TestWatchSendsBookmarks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := configuration.NewState()
		applyChanges(t, state, 3, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 11*time.Second)
		defer cancel()
		recorder := httptest.NewRecorder()
		newRouter(state).ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/watch?after=2", nil))
		var got []string
		for lines := bufio.NewScanner(recorder.Body); lines.Scan(); {
			var e struct {
				Type     string
				Revision uint64
			}
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				t.Fatal(err)
			}
			got = append(got, fmt.Sprint(e.Type, " ", e.Revision))
		}
		if want := "change 3,bookmark 3,bookmark 3"; strings.Join(got, ",") != want {
			t.Errorf("got %v, want %s", got, want)
		}
	})
}
