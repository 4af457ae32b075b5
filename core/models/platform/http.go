package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// watchTimeoutMargin is added to the wait time of a blocking query to bound the whole call.
	watchTimeoutMargin = 2 * time.Second
	// maxResponseBytes bounds a response body, such as a list of entries.
	maxResponseBytes = 64 << 20
	// maxResponseHead bounds the head of a response, with the interim responses before it.
	maxResponseHead = 64 << 10
	// registryService is the service name under which entry instances are registered.
	registryService = "medlarpond-entry"
)

// ErrStatus is the cause of a failure when the platform responded with an unexpected HTTP status.
type ErrStatus struct {
	Status int
}

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// client calls the key-value store and the service catalog of the Consul HTTP API, version 1.
type client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

type wireEntry struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"`
	ModifyIndex uint64 `json:"ModifyIndex"`
}

type wireInstance struct {
	ServiceID   string            `json:"ServiceID"`
	ServiceMeta map[string]string `json:"ServiceMeta"`
}

// NewHTTP returns clients of the platform at the base URL. The timeout bounds each call except WaitFor, which is bounded
// by its wait time and a margin.
func NewHTTP(base string, timeout time.Duration) (Store, Registry) {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        30 * time.Second,
		MaxResponseHeaderBytes: maxResponseHead,
	}
	c := &client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}}
	store := Store{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, WaitFor: c.waitFor}
	return store, Registry{List: c.listInstances}
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	entries, _, err := c.read(ctx, key, url.Values{}, c.timeout)
	if err != nil {
		return Entry{}, err
	}
	return firstEntry(entries, key)
}

func (c *client) list(ctx context.Context, prefix string) ([]Entry, error) {
	entries, _, err := c.read(ctx, prefix, url.Values{"recurse": {"true"}}, c.timeout)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, nil
}

func (c *client) waitFor(ctx context.Context, key string, known uint64, wait time.Duration) (Entry, error) {
	deadline := time.Now().Add(wait)
	// If no version is known, the first query has no index and returns immediately.
	index := known
	for {
		remaining := max(time.Until(deadline), 0)
		query := url.Values{}
		if index > 0 {
			query = url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {remaining.String()}}
		}
		entries, storeIndex, err := c.read(ctx, key, query, remaining+watchTimeoutMargin)
		if err != nil {
			return Entry{}, err
		}
		if len(entries) > 0 && entries[0].Version != known {
			return entries[0], nil
		}
		if remaining == 0 || storeIndex == 0 {
			return firstEntry(entries, key)
		}
		index = nextIndex(index, storeIndex)
	}
}

// nextIndex returns the index for the next blocking query. If the store's index went backwards, it returns 0, so that the
// next query does not block.
func nextIndex(queried, current uint64) uint64 {
	if current < queried {
		return 0
	}
	return current
}

func firstEntry(entries []Entry, key string) (Entry, error) {
	if len(entries) == 0 {
		return Entry{}, &ErrKeyNotExist{Key: key}
	}
	return entries[0], nil
}

// read returns the entries that match a query and the store's index.
func (c *client) read(ctx context.Context, key string, query url.Values, timeout time.Duration) ([]Entry, uint64, error) {
	// Without this, a lagging replica may respond with stale entries.
	query.Set("consistent", "true")
	r, err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, timeout)
	if err != nil {
		return nil, 0, &ErrUnavailable{Cause: err}
	}
	if r.status == http.StatusNotFound {
		return nil, r.index, nil
	}
	if r.status != http.StatusOK {
		return nil, 0, &ErrUnavailable{Cause: &ErrStatus{Status: r.status}}
	}
	var wire []wireEntry
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return nil, 0, &ErrUnavailable{Cause: err}
	}
	entries := make([]Entry, 0, len(wire))
	for _, w := range wire {
		entries = append(entries, Entry{Key: w.Key, Value: w.Value, Version: w.ModifyIndex})
	}
	return entries, r.index, nil
}

func (c *client) put(ctx context.Context, key string, value []byte, expected uint64) error {
	return c.write(ctx, http.MethodPut, key, value, expected)
}

func (c *client) remove(ctx context.Context, key string, expected uint64) error {
	return c.write(ctx, http.MethodDelete, key, nil, expected)
}

func (c *client) write(ctx context.Context, method, key string, value []byte, expected uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(expected, 10)}}
	r, err := c.do(ctx, method, "/v1/kv/"+key, query, value, c.timeout)
	if err != nil {
		return &ErrOutcomeUnknown{Key: key, Cause: err}
	}
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		return &ErrUnavailable{Cause: &ErrStatus{Status: r.status}}
	}
	if r.status != http.StatusOK {
		return &ErrOutcomeUnknown{Key: key, Cause: &ErrStatus{Status: r.status}}
	}
	switch strings.TrimSpace(string(r.body)) {
	case "true":
		return nil
	case "false":
		return &ErrConflict{Key: key}
	default:
		return &ErrOutcomeUnknown{Key: key, Cause: errors.New("the answer is neither true nor false")}
	}
}

func (c *client) listInstances(ctx context.Context) ([]RegisteredInstance, error) {
	r, err := c.do(ctx, http.MethodGet, "/v1/catalog/service/"+registryService, nil, nil, c.timeout)
	if err != nil {
		return nil, &ErrUnavailable{Cause: err}
	}
	if r.status != http.StatusOK {
		return nil, &ErrUnavailable{Cause: &ErrStatus{Status: r.status}}
	}
	var wire []wireInstance
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return nil, &ErrUnavailable{Cause: err}
	}
	instances := make([]RegisteredInstance, 0, len(wire))
	for _, w := range wire {
		instances = append(instances, RegisteredInstance{ID: w.ServiceID, Leaving: w.ServiceMeta["leaving"] == "true"})
	}
	return instances, nil
}

// reply is a complete HTTP response of the platform.
type reply struct {
	status int
	body   []byte
	// index is the store's index at the time of the response; zero if the response has none.
	index uint64
}

func (c *client) do(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	// Without GetBody the transport cannot retry a write on its own.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		// Other idle connections may be unresponsive too; closing them makes the next call dial a new one.
		c.http.CloseIdleConnections()
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return reply{}, err
	}
	index, _ := strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	return reply{status: response.StatusCode, body: content, index: index}, nil
}
