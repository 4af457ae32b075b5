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
	// watchSlack is added to the wait of a watch to bound the whole call.
	watchSlack = 2 * time.Second
	// maxListBytes bounds the answer to a listing.
	maxListBytes = 64 << 20
	// registryService is the service under which entry instances are listed.
	registryService = "medlarpond-entry"
)

// ErrStatus is the cause of a failure when the service answered with an unexpected status.
type ErrStatus struct {
	Status int
}

// Error implements error.
func (e *ErrStatus) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// client speaks the key-value part of the Consul HTTP API, version 1.
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

// NewHTTP returns the seams to a platform service at the given base URL; each call is bounded by the timeout.
func NewHTTP(base string, timeout time.Duration) (Store, Registry) {
	transport := &http.Transport{
		MaxIdleConnsPerHost:   8,
		IdleConnTimeout:       30 * time.Second,
		ResponseHeaderTimeout: 0,
	}
	c := &client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}}
	store := Store{Get: c.get, Put: c.put, Delete: c.remove, List: c.list, WaitFor: c.waitFor}
	return store, Registry{List: c.instances}
}

func (c *client) get(ctx context.Context, key string) (Entry, error) {
	entries, _, err := c.read(ctx, key, url.Values{}, c.timeout)
	if err != nil {
		return Entry{}, err
	}
	return firstOf(entries, key)
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
	until := time.Now().Add(wait)
	// Without an index the first question is answered at once.
	index := known
	for {
		left := max(time.Until(until), 0)
		query := url.Values{}
		if index > 0 {
			query = url.Values{"index": {strconv.FormatUint(index, 10)}, "wait": {left.String()}}
		}
		entries, answered, err := c.read(ctx, key, query, left+watchSlack)
		if err != nil {
			return Entry{}, err
		}
		if len(entries) > 0 && entries[0].Version != known {
			return entries[0], nil
		}
		if left == 0 || answered == 0 {
			return firstOf(entries, key)
		}
		index = nextIndex(index, answered)
	}
}

// nextIndex returns the index to wait from after an answer; a store that went back is asked afresh.
func nextIndex(asked, answered uint64) uint64 {
	if answered < asked {
		return 0
	}
	return answered
}

func firstOf(entries []Entry, key string) (Entry, error) {
	if len(entries) == 0 {
		return Entry{}, &ErrKeyNotExist{Key: key}
	}
	return entries[0], nil
}

// read returns the entries that a query finds and the store's index.
func (c *client) read(ctx context.Context, key string, query url.Values, timeout time.Duration) ([]Entry, uint64, error) {
	// A replica that lags must not answer in the leader's place.
	query.Set("consistent", "true")
	a, err := c.do(ctx, http.MethodGet, "/v1/kv/"+key, query, nil, timeout)
	if err != nil {
		return nil, 0, &ErrUnavailable{Cause: err}
	}
	if a.status == http.StatusNotFound {
		return nil, a.index, nil
	}
	if a.status != http.StatusOK {
		return nil, 0, &ErrUnavailable{Cause: &ErrStatus{Status: a.status}}
	}
	var wire []wireEntry
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return nil, 0, &ErrUnavailable{Cause: err}
	}
	entries := make([]Entry, 0, len(wire))
	for _, w := range wire {
		entries = append(entries, Entry{Key: w.Key, Value: w.Value, Version: w.ModifyIndex})
	}
	return entries, a.index, nil
}

func (c *client) put(ctx context.Context, key string, value []byte, expected uint64) error {
	return c.write(ctx, http.MethodPut, key, value, expected)
}

func (c *client) remove(ctx context.Context, key string, expected uint64) error {
	return c.write(ctx, http.MethodDelete, key, nil, expected)
}

func (c *client) write(ctx context.Context, method, key string, value []byte, expected uint64) error {
	query := url.Values{"cas": {strconv.FormatUint(expected, 10)}}
	a, err := c.do(ctx, method, "/v1/kv/"+key, query, value, c.timeout)
	if err != nil {
		return &ErrOutcomeUnknown{Key: key, Cause: err}
	}
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		return &ErrUnavailable{Cause: &ErrStatus{Status: a.status}}
	}
	if a.status != http.StatusOK {
		return &ErrOutcomeUnknown{Key: key, Cause: &ErrStatus{Status: a.status}}
	}
	switch strings.TrimSpace(string(a.body)) {
	case "true":
		return nil
	case "false":
		return &ErrConflict{Key: key}
	default:
		return &ErrOutcomeUnknown{Key: key, Cause: errors.New("the answer is neither true nor false")}
	}
}

func (c *client) instances(ctx context.Context) ([]Listed, error) {
	a, err := c.do(ctx, http.MethodGet, "/v1/catalog/service/"+registryService, nil, nil, c.timeout)
	if err != nil {
		return nil, &ErrUnavailable{Cause: err}
	}
	if a.status != http.StatusOK {
		return nil, &ErrUnavailable{Cause: &ErrStatus{Status: a.status}}
	}
	var wire []wireInstance
	if err := json.Unmarshal(a.body, &wire); err != nil {
		return nil, &ErrUnavailable{Cause: err}
	}
	listed := make([]Listed, 0, len(wire))
	for _, w := range wire {
		listed = append(listed, Listed{ID: w.ServiceID, Leaving: w.ServiceMeta["leaving"] == "true"})
	}
	return listed, nil
}

// answer is a complete HTTP answer of the platform.
type answer struct {
	status int
	body   []byte
	// index is the store's index at the time of the answer; zero if the answer named none.
	index uint64
}

func (c *client) do(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	address := c.base + path
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	// Without GetBody the transport never sends a write again by itself.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		// Idle connections may have gone silent too; the next call gets a new one.
		c.http.CloseIdleConnections()
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return answer{}, err
	}
	index, _ := strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	return answer{status: response.StatusCode, body: content, index: index}, nil
}
