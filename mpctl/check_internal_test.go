package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/sebdah/goldie/v2"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

// resourcesInForce returns the resources that the tests take as being in force.
func resourcesInForce(t *testing.T) []resource.Resource {
	t.Helper()
	content, err := os.ReadFile("testdata/check-in-force.yaml")
	if err != nil {
		t.Fatal(err)
	}
	inForce, err := api.DecodeResources(content)
	if err != nil {
		t.Fatal(err)
	}
	return inForce
}

// TestCheck compares the output of checks with golden files, in both formats, and checks the exit codes; `go test -update` rewrites the
// files.
func TestCheck(t *testing.T) {
	inForce := resourcesInForce(t)
	for name, wantFindings := range map[string]bool{"check-errors": true, "check-findings": true, "check-changes": false, "check-in-force": true} {
		t.Run(name, func(t *testing.T) {
			content, err := os.ReadFile("testdata/" + name + ".yaml")
			if err != nil {
				t.Fatal(err)
			}
			result, err := checkFile("intents.yaml", content, inForce)
			if err != nil {
				t.Fatal(err)
			}
			if (len(result.Findings) > 0) != wantFindings {
				t.Errorf("got findings %v, want any: %v", result.Findings, wantFindings)
			}
			var text bytes.Buffer
			result.print(&text)
			goldie.New(t).Assert(t, name, text.Bytes())
			encoded, err := json.MarshalIndent(result, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, name+"-json", encoded)
		})
	}
}

// TestCheckExitCodes checks that scripts can tell findings from a file that cannot be read.
func TestCheckExitCodes(t *testing.T) {
	const offline = "--offline"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		list := api.ResourceList{Revision: 13, Items: []resource.Resource{}}
		for _, item := range resourcesInForce(t) {
			if r.URL.Path == "/v1/resources/"+string(item.Kind) {
				list.Items = append(list.Items, item)
			}
		}
		_ = json.NewEncoder(w).Encode(list)
	}))
	t.Cleanup(server.Close)
	for name, c := range map[string]struct {
		arguments []string
		want      int
	}{
		"clean":                            {[]string{offline, "testdata/check-clean.yaml"}, 0},
		"findings":                         {[]string{offline, "testdata/check-errors.yaml"}, 1},
		"clean beside what is in force":    {[]string{"--server", server.URL, "testdata/check-changes.yaml"}, 0},
		"findings beside what is in force": {[]string{"--server", server.URL, "testdata/check-findings.yaml"}, 1},
		"no such file":                     {[]string{offline, "testdata/none.yaml"}, 2},
		"not YAML":                         {[]string{offline, "testdata/check-broken.yaml"}, 2},
		"server is not there":              {[]string{"--server", "http://127.0.0.1:1", "testdata/check-clean.yaml"}, 2},
		"no file":                          {nil, 2},
	} {
		_, err := newParser(&program{ctx: t.Context()}).ParseArgs(append([]string{"check"}, c.arguments...))
		if got := report(err); got != c.want {
			t.Errorf("%s: got exit code %d (%v), want %d", name, got, err, c.want)
		}
	}
	_, err := checkFile("x.yaml", []byte("a: 1\nb: [\n"), nil)
	var unreadable *errUnreadable
	if !errors.As(err, &unreadable) || err.Error() != "cannot check: x.yaml:2: sequence end token ']' not found" {
		t.Errorf("got %v, want the line of the fault", err)
	}
}
