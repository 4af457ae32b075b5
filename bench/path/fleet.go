package path

import (
	"encoding/hex"
	"strconv"
	"time"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/core/standin/fleet"
)

const (
	// apiKey is the API key of the only team.
	apiKey = "a-key-of-the-benchmark"
	// targetCount is the number of targets. There are many because an instance keeps only a few connections to each target open.
	targetCount = 32
	// slots and capacity are more than the callers use, so that they limit nothing.
	slots    = 128
	capacity = targetCount * slots
	// connections is more than the callers use, so that connections are kept open between requests.
	connections = 4 * slots
	// rate, in requests per second, and burst are more than one machine can send.
	rate  = 10_000_000
	burst = 1_000_000
)

// requestPath is the path of all requests.
const requestPath = "/measure"

// benchFleet is a fleet with one instance. entry is the caller address of the instance, and targets the addresses of the targets.
type benchFleet struct {
	config  fleet.Config
	entry   string
	targets []string
}

func newBenchFleet(processingTime time.Duration) (benchFleet, error) {
	addresses, err := fleet.FreeAddresses(4 + targetCount)
	if err != nil {
		return benchFleet{}, err
	}
	hash := resource.HashKey(apiKey)
	resources := []resource.Resource{
		{Kind: resource.KindRegion, Name: "r1", Spec: resource.Region{Capacity: capacity}},
		{Kind: resource.KindFailureDomain, Name: "r1-a", Spec: resource.FailureDomain{Region: "r1"}},
		{Kind: resource.KindService, Name: "desk", Spec: resource.Service{RequestTimeout: resource.Duration(10 * time.Second), MaxBodyBytes: 1 << 20}},
		{Kind: resource.KindTeam, Name: "team", Spec: resource.Team{Rate: rate, Burst: burst, Weight: 1}},
		{Kind: resource.KindKey, Name: "k", Spec: resource.Key{Team: "team", Hash: hex.EncodeToString(hash[:])}},
		{Kind: resource.KindRoute, Name: "measure", Spec: resource.Route{Path: requestPath, Service: "desk"}},
	}
	for i, address := range addresses[4:] {
		spec := resource.Target{Service: "desk", FailureDomain: "r1-a", Address: address, Slots: slots, Connections: connections}
		resources = append(resources, resource.Resource{Kind: resource.KindTarget, Name: "t-" + strconv.Itoa(i), Spec: spec})
	}
	config := fleet.Config{
		PlatformAddress: addresses[0], ProcessingTime: processingTime, Resources: resources,
		Entries: []fleet.Entry{{
			ID: "entry-1", Region: "r1", FailureDomain: "r1-a", Caller: addresses[1], Operator: addresses[2], Peer: addresses[3],
		}},
	}
	return benchFleet{config: config, entry: addresses[1], targets: addresses[4:]}, nil
}
