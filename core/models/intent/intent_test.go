package intent_test

import (
	"math"
	"testing"
	"time"

	"medlarpond.dev/core/models/intent"
)

func content() intent.Content {
	route := func(name, prefix string, priority int) intent.Route {
		return intent.Route{
			Name: name, Host: "shop.example", Prefix: prefix, Services: []intent.WeightedService{{Service: "orders", Weight: 1}},
			Timeout: time.Second, LatencyGoal: 500 * time.Millisecond, MaxAttempts: 2, Priority: priority,
		}
	}
	return intent.Content{
		Version:  3,
		Services: []intent.Service{{Name: "orders"}},
		Teams:    []intent.Team{{Name: "gold", Priority: 0}, {Name: "plain", Priority: 5}},
		Keys:     map[string]string{"secret": "gold"},
		Routes:   []intent.Route{route("all", "/", 2), route("buy", "/buy/", 1), route("deep", "/buy/now/", 2)},
	}
}

func TestRouteOf(t *testing.T) {
	i, err := intent.New(content())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ host, path, want string }{
		{"shop.example", "/", "all"},
		{"shop.example", "/buy", "all"},
		{"shop.example", "/buy/", "buy"},
		{"shop.example", "/buy/now/x", "deep"},
		{"shop.example", "/buying/", "all"},
		{"other.example", "/buy/", ""},
		{"shop.example", "buy/", ""},
	} {
		r, ok := i.RouteOf(c.host, c.path)
		if got := nameOf(r); got != c.want || ok != (c.want != "") {
			t.Errorf("RouteOf(%q, %q) = %q, %v; want %q", c.host, c.path, got, ok, c.want)
		}
	}
}

func nameOf(r *intent.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

func TestTeamOf(t *testing.T) {
	i, err := intent.New(content())
	if err != nil {
		t.Fatal(err)
	}
	if team, ok := i.TeamOf("secret"); !ok || team.Name != "gold" {
		t.Errorf("TeamOf(\"secret\") = %q, %v; want \"gold\", true", team.Name, ok)
	}
	if _, ok := i.TeamOf("secre"); ok {
		t.Error("TeamOf(\"secre\") found a team for an unknown key")
	}
}

func TestNewRejects(t *testing.T) {
	for name, invalidate := range map[string]func(*intent.Content){
		"prefix without trailing slash": func(c *intent.Content) { c.Routes[1].Prefix = "/buy" },
		"route without service":         func(c *intent.Content) { c.Routes[0].Services = nil },
		"unknown service":               func(c *intent.Content) { c.Routes[0].Services[0].Service = "none" },
		"weight of zero":                func(c *intent.Content) { c.Routes[0].Services[0].Weight = 0 },
		"no timeout":                    func(c *intent.Content) { c.Routes[0].Timeout = 0 },
		"no latency goal":               func(c *intent.Content) { c.Routes[0].LatencyGoal = 0 },
		"no attempts":                   func(c *intent.Content) { c.Routes[0].MaxAttempts = 0 },
		"key of an unknown team":        func(c *intent.Content) { c.Keys["other"] = "nobody" },
	} {
		c := content()
		invalidate(&c)
		if _, err := intent.New(c); err == nil {
			t.Errorf("%s: New succeeded, want an error", name)
		}
	}
}

func TestUrgencyTeamBeforeRoute(t *testing.T) {
	i, err := intent.New(content())
	if err != nil {
		t.Fatal(err)
	}
	gold, _ := i.TeamOf("secret")
	plain := intent.Team{Name: "plain", Priority: 5}
	buy, _ := i.RouteOf("shop.example", "/buy/")
	all, _ := i.RouteOf("shop.example", "/")
	urgencies := []float64{
		i.Urgency(gold, buy, "orders"), i.Urgency(gold, all, "orders"),
		i.Urgency(plain, buy, "orders"), i.Urgency(plain, all, "orders"),
	}
	if urgencies[0] != 1 || urgencies[3] != 0 {
		t.Errorf("got urgencies from %v to %v, want from 1 to 0", urgencies[0], urgencies[3])
	}
	for n := 1; n < len(urgencies); n++ {
		if urgencies[n] >= urgencies[n-1] {
			t.Errorf("got urgencies %v, want strictly decreasing values", urgencies)
		}
	}
}

// TestUrgencyWithoutTeam checks that a request without a team ranks between the most and the least urgent team, and that
// the priorities of the routes order such requests.
func TestUrgencyWithoutTeam(t *testing.T) {
	i, err := intent.New(content())
	if err != nil {
		t.Fatal(err)
	}
	gold, _ := i.TeamOf("secret")
	plain := intent.Team{Name: "plain", Priority: 5}
	buy, _ := i.RouteOf("shop.example", "/buy/")
	all, _ := i.RouteOf("shop.example", "/")
	for _, r := range []*intent.Route{buy, all} {
		got := i.Urgency(intent.Team{}, r, "orders")
		want := (i.Urgency(gold, r, "orders") + i.Urgency(plain, r, "orders")) / 2
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("urgency of a request without a team on route %q: got %v, want %v, the mean of the teams", r.Name, got, want)
		}
	}
	if i.Urgency(intent.Team{}, buy, "orders") <= i.Urgency(intent.Team{}, all, "orders") {
		t.Error("the priority of the route does not order requests without a team")
	}
}
