package path

import (
	"encoding/hex"
	"strconv"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/fleet"
)

const (
	// key is the key of the only team.
	key = "a-key-of-the-benchmark"
	// targets is the number of targets; an instance keeps few connections open to each.
	targets = 32
	// slots and capacity are more than the callers use, so that they bound nothing.
	slots    = 128
	capacity = targets * slots
	// connections leaves some to spare, so that they are kept open between requests.
	connections = 4 * slots
	// rate, in requests a second, and burst are more than one machine can send.
	rate  = 10_000_000
	burst = 1_000_000
)

// route is the path of the requests.
const route = "/measure"

// planned is a fleet of one instance.
type planned struct {
	plan    fleet.Plan
	entry   string
	targets []string
}

func newPlan(work time.Duration) (planned, error) {
	free, err := fleet.FreeAddresses(4 + targets)
	if err != nil {
		return planned{}, err
	}
	hash := resource.HashKey(key)
	resources := []resource.Resource{
		{Kind: resource.KindRegion, Name: "r1", Spec: resource.Region{Capacity: capacity}},
		{Kind: resource.KindFailureDomain, Name: "r1-a", Spec: resource.FailureDomain{Region: "r1"}},
		{Kind: resource.KindService, Name: "desk", Spec: resource.Service{RequestTimeout: resource.Duration(10 * time.Second), MaxBodyBytes: 1 << 20}},
		{Kind: resource.KindTeam, Name: "team", Spec: resource.Team{Rate: rate, Burst: burst, Weight: 1}},
		{Kind: resource.KindKey, Name: "k", Spec: resource.Key{Team: "team", Hash: hex.EncodeToString(hash[:])}},
		{Kind: resource.KindRoute, Name: "measure", Spec: resource.Route{Path: route, Service: "desk"}},
	}
	for i, address := range free[4:] {
		spec := resource.Target{Service: "desk", FailureDomain: "r1-a", Address: address, Slots: slots, Connections: connections}
		resources = append(resources, resource.Resource{Kind: resource.KindTarget, Name: "t-" + strconv.Itoa(i), Spec: spec})
	}
	p := fleet.Plan{
		Platform: free[0], Work: work, Resources: resources,
		Entries: []fleet.Entry{{
			ID: "entry-1", Region: "r1", FailureDomain: "r1-a", Caller: free[1], Operator: free[2], Peer: free[3],
		}},
	}
	return planned{plan: p, entry: free[1], targets: free[4:]}, nil
}
