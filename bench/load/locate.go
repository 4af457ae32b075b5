package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// The values of Plan.Spread: which of the instances from a lookup a request tries first.
const (
	spreadFirst      = "first"
	spreadRoundRobin = "round-robin"
)

// instanceResolver looks up the instances to use for a service and caches each result for its TTL.
type instanceResolver struct {
	entries []string
	spread  string
	client  *http.Client

	mu sync.Mutex
	// cache is keyed by service name.
	cache map[string]*cachedLookup
	// requests counts the calls of instances, for round-robin.
	requests int
}

// cachedLookup is a cached lookup result.
type cachedLookup struct {
	addresses []string
	expires   time.Time
	// refreshing is true while one request refreshes the result; meanwhile other requests use the old addresses.
	refreshing bool
}

func newInstanceResolver(p *Plan, client *http.Client) *instanceResolver {
	return &instanceResolver{entries: p.Entries, spread: p.Spread, client: client, cache: map[string]*cachedLookup{}}
}

// instances returns the addresses of the instances to try for the service, in order. Without a lookup result, these are the
// entries of the plan.
func (l *instanceResolver) instances(ctx context.Context, service string) []string {
	l.mu.Lock()
	cached := l.cache[service]
	if cached == nil {
		cached = &cachedLookup{}
		l.cache[service] = cached
	}
	if time.Now().After(cached.expires) && !cached.refreshing {
		cached.refreshing = true
		l.mu.Unlock()
		addresses, ttl := l.lookup(ctx, service)
		l.mu.Lock()
		cached.refreshing = false
		if len(addresses) > 0 {
			cached.addresses, cached.expires = addresses, time.Now().Add(ttl)
		}
	}
	defer l.mu.Unlock()
	l.requests++
	return l.orderedBySpread(cached.addresses)
}

func (l *instanceResolver) orderedBySpread(addresses []string) []string {
	if len(addresses) == 0 {
		addresses = l.entries
	}
	first := 0
	if l.spread == spreadRoundRobin {
		first = l.requests % len(addresses)
	}
	ordered := append([]string{}, addresses[first:]...)
	return append(ordered, addresses[:first]...)
}

// lookup sends the lookup to one entry after another until one answers. It returns no addresses if none does.
func (l *instanceResolver) lookup(ctx context.Context, service string) ([]string, time.Duration) {
	for _, entry := range l.entries {
		if addresses, ttl, err := l.lookupAt(ctx, entry, service); err == nil {
			return addresses, ttl
		}
	}
	return nil, 0
}

type lookupResponse struct {
	Instances []struct {
		Address string `json:"address"`
	} `json:"instances"`
	TTLSeconds float64 `json:"ttl-seconds"`
}

func (l *instanceResolver) lookupAt(ctx context.Context, entry, service string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	lookupURL := "http://" + entry + "/medlarpond/v1/lookup?service=" + url.QueryEscape(service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, lookupURL, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var result lookupResponse
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return nil, 0, err
	}
	addresses := make([]string, 0, len(result.Instances))
	for _, i := range result.Instances {
		addresses = append(addresses, i.Address)
	}
	return addresses, time.Duration(result.TTLSeconds * float64(time.Second)), nil
}

// lookupTimeout bounds one lookup and one read of a target's counters.
const lookupTimeout = 500 * time.Millisecond
