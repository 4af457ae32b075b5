package main

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

func service(timeout time.Duration, shedding *resource.Shedding) resource.Resource {
	return resource.Resource{
		Kind: resource.KindService, Name: "desk", Version: 7,
		Spec: resource.Service{RequestTimeout: resource.Duration(timeout), MaxBodyBytes: 9, Shedding: shedding},
	}
}

// TestPlanChange checks the output of a dry run.
func TestPlanChange(t *testing.T) {
	shedding := &resource.Shedding{Status: 503, Header: "X-Shed"}
	tests := []struct {
		name             string
		current, desired resource.Resource
		exists           bool
		want             string
	}{
		{"new", resource.Resource{}, service(time.Second, nil), false, "create service desk\n  + max-body-bytes: 9\n  + request-timeout: \"1s\"\n"},
		{"same", service(time.Second, shedding), service(time.Second, shedding), true, "unchanged service desk (version 7)\n"},
		{"changed", service(time.Second, nil), service(2*time.Second, nil), true, "update service desk (version 7)\n  ~ request-timeout: \"1s\" -> \"2s\"\n"},
		{"nested removed", service(time.Second, shedding), service(time.Second, nil), true, "update service desk (version 7)\n  - shedding.header: \"X-Shed\"\n  - shedding.status: 503\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got strings.Builder
			planChange(test.current, test.exists, test.desired).print(&got)
			if got.String() != test.want {
				t.Fatalf("got\n%s\nwant\n%s", got.String(), test.want)
			}
		})
	}
}

// TestSetField checks how FIELD=VALUE arguments change a spec.
func TestSetField(t *testing.T) {
	tests := []struct {
		name, field, value, want string
		wantErr                  bool
	}{
		{"number", "max-body-bytes", "5", `{"request-timeout":"1s","max-body-bytes":5}`, false},
		{"nested", "shedding.status", "429", `{"request-timeout":"1s","max-body-bytes":9,"shedding":{"status":429,"header":""}}`, false},
		{"list", "regions", "[a, b]", `{"regions":["a","b"],"request-timeout":"1s","max-body-bytes":9}`, false},
		{"removed", "max-body-bytes", "null", `{"request-timeout":"1s","max-body-bytes":0}`, false},
		{"unknown", "bogus", "1", "", true},
		{"not nested", "max-body-bytes.x", "1", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := api.EditSpec(service(time.Second, nil), func(spec map[string]any) error {
				return setField(spec, strings.Split(test.field, "."), parseValue(test.value))
			})
			if (err != nil) != test.wantErr {
				t.Fatalf("got error %v, want an error: %t", err, test.wantErr)
			}
			if encoded, _ := json.Marshal(got.Spec); !test.wantErr && string(encoded) != test.want {
				t.Fatalf("got %s, want %s", encoded, test.want)
			}
		})
	}
}
