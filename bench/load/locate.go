package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"
)

// The ways to use the instances that a look-up names.
const (
	spreadFirst      = "first"
	spreadRoundRobin = "round-robin"
)

// locator asks the fleet which instances to use, and keeps each answer for as long as it says.
type locator struct {
	entries []string
	spread  string
	client  *http.Client

	mu sync.Mutex
	// located is keyed by service.
	located map[string]*located
	turn    int
}

// located is a cached answer.
type located struct {
	addresses []string
	expires   time.Time
	// refreshing is true while one request renews the answer; others use the old one.
	refreshing bool
}

func newLocator(p *Plan, client *http.Client) *locator {
	return &locator{entries: p.Entries, spread: p.Spread, client: client, located: map[string]*located{}}
}

// instances returns the addresses to try, in order.
func (l *locator) instances(ctx context.Context, service string) []string {
	l.mu.Lock()
	have := l.located[service]
	if have == nil {
		have = &located{}
		l.located[service] = have
	}
	if time.Now().After(have.expires) && !have.refreshing {
		have.refreshing = true
		l.mu.Unlock()
		addresses, ttl := l.ask(ctx, service)
		l.mu.Lock()
		have.refreshing = false
		if len(addresses) > 0 {
			have.addresses, have.expires = addresses, time.Now().Add(ttl)
		}
	}
	defer l.mu.Unlock()
	l.turn++
	return l.ordered(have.addresses)
}

func (l *locator) ordered(addresses []string) []string {
	if len(addresses) == 0 {
		addresses = l.entries
	}
	first := 0
	if l.spread == spreadRoundRobin {
		first = l.turn % len(addresses)
	}
	ordered := append([]string{}, addresses[first:]...)
	return append(ordered, addresses[:first]...)
}

// ask looks a service up at the first instance that answers.
func (l *locator) ask(ctx context.Context, service string) ([]string, time.Duration) {
	for _, entry := range l.entries {
		if addresses, ttl, err := l.askOne(ctx, entry, service); err == nil {
			return addresses, ttl
		}
	}
	return nil, 0
}

type wireLookup struct {
	Instances []struct {
		Address string `json:"address"`
	} `json:"instances"`
	TTLSeconds float64 `json:"ttl-seconds"`
}

func (l *locator) askOne(ctx context.Context, entry, service string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	address := "http://" + entry + "/medlarpond/v1/lookup?service=" + url.QueryEscape(service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer wireLookup
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	addresses := make([]string, 0, len(answer.Instances))
	for _, i := range answer.Instances {
		addresses = append(addresses, i.Address)
	}
	return addresses, time.Duration(answer.TTLSeconds * float64(time.Second)), nil
}

// lookupTimeout bounds one look-up.
const lookupTimeout = 500 * time.Millisecond
