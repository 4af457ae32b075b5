package instance

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/modules/refusal"
	"medlarpond.dev/core/settings"
)

// TestNearestPlace checks which client address a lookup uses and to which region and failure domain it is mapped.
func TestNearestPlace(t *testing.T) {
	i := &Instance{settings: settings.Settings{Instance: settings.Instance{Region: "r1", FailureDomain: "r1-a"}}}
	s := resource.NewSnapshotOf([]resource.Resource{
		{Kind: resource.KindFailureDomain, Name: "r2-b", Spec: resource.FailureDomain{Region: "r2"}},
		{Kind: resource.KindClientBlock, Name: "pos", Spec: resource.ClientBlock{Prefix: "192.0.2.0/24", FailureDomain: "r2-b"}},
		{Kind: resource.KindClientBlock, Name: "lost", Spec: resource.ClientBlock{Prefix: "192.0.2.0/28", FailureDomain: "gone"}},
	})
	tests := []struct {
		name, query, remote, want string
		refused                   bool
	}{
		{"remote address", "", "192.0.2.77:1000", "r2/r2-b", false},
		{"client parameter", "&client=192.0.2.77", "203.0.113.1:1000", "r2/r2-b", false},
		{"IPv4-mapped IPv6 address", "&client=::ffff:192.0.2.77", "203.0.113.1:1000", "r2/r2-b", false},
		{"no client block", "", "203.0.113.1:1000", "r1/r1-a", false},
		{"unknown failure domain", "", "192.0.2.1:1000", "r1/r1-a", false},
		{"malformed client parameter", "&client=here", "192.0.2.77:1000", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/medlarpond/v1/lookup?service=x"+test.query, nil)
			r.RemoteAddr = test.remote
			client, refused := clientAddress(r)
			if (refused != nil) != test.refused {
				t.Fatalf("got refusal %v, want a refusal: %t", refused, test.refused)
			}
			if refused != nil {
				if refused.Reason != refusal.Malformed {
					t.Fatalf("got reason %q, want malformed", refused.Reason)
				}
				return
			}
			if region, domain := i.nearestPlace(s, client); region+"/"+domain != test.want {
				t.Fatalf("got %s/%s, want %s", region, domain, test.want)
			}
		})
	}
}
