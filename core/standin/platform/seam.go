package platform

import (
	"context"
	"strings"
	"time"

	"medlarpond.dev/core/models/platform"
)

// storeTimeout is the timeout of a call of Store, like that of an HTTP client: a call whose delay reaches it fails.
const storeTimeout = time.Second

// Store returns a platform.Store that calls the stand-in directly, without a network, for tests with a fake clock.
func (p *Platform) Store() platform.Store {
	return platform.Store{Get: p.storeGet, Put: p.storePut, Delete: p.storeDelete, List: p.storeList, WaitFor: p.storeWaitFor}
}

// begin counts a call and applies the injected faults to it.
func (p *Platform) begin(ctx context.Context) (Faults, error) {
	p.mu.Lock()
	p.calls++
	f := p.faults
	p.mu.Unlock()
	delay := f.Delay
	if f.Unresponsive {
		delay = storeTimeout
	}
	if delay > 0 {
		select {
		case <-time.After(min(delay, storeTimeout)):
		case <-ctx.Done():
		}
	}
	if f.Down || f.Unresponsive || delay >= storeTimeout || ctx.Err() != nil {
		return f, &platform.ErrUnavailable{Cause: context.DeadlineExceeded}
	}
	return f, nil
}

func (p *Platform) storeGet(ctx context.Context, key string) (platform.Entry, error) {
	if _, err := p.begin(ctx); err != nil {
		return platform.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.getEntry(key)
}

func (p *Platform) getEntry(key string) (platform.Entry, error) {
	e, ok := p.entries[key]
	if !ok {
		return platform.Entry{}, &platform.ErrKeyNotExist{Key: key}
	}
	return platform.Entry{Key: key, Value: e.value, Version: e.index}, nil
}

func (p *Platform) storePut(ctx context.Context, key string, value []byte, expected uint64) error {
	return p.storeWrite(ctx, key, expected, func() { p.entries[key] = entry{value: value, index: p.index} })
}

func (p *Platform) storeDelete(ctx context.Context, key string, expected uint64) error {
	return p.storeWrite(ctx, key, expected, func() { delete(p.entries, key) })
}

func (p *Platform) storeWrite(ctx context.Context, key string, expected uint64, apply func()) error {
	f, err := p.begin(ctx)
	if f.Unresponsive {
		return &platform.ErrOutcomeUnknown{Key: key, Cause: err}
	}
	if err != nil {
		return err
	}
	if f.LoseWrite {
		return &platform.ErrOutcomeUnknown{Key: key, Cause: context.DeadlineExceeded}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries[key].index != expected {
		return &platform.ErrConflict{Key: key}
	}
	p.index++
	apply()
	p.broadcast()
	if f.LoseWriteResponse {
		return &platform.ErrOutcomeUnknown{Key: key, Cause: context.DeadlineExceeded}
	}
	return nil
}

func (p *Platform) storeList(ctx context.Context, prefix string) ([]platform.Entry, error) {
	if _, err := p.begin(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []platform.Entry
	for _, w := range p.find(prefix, true) {
		if strings.HasPrefix(w.Key, prefix) {
			entries = append(entries, platform.Entry{Key: w.Key, Value: w.Value, Version: w.ModifyIndex})
		}
	}
	return entries, nil
}

func (p *Platform) storeWaitFor(ctx context.Context, key string, known uint64, wait time.Duration) (platform.Entry, error) {
	if _, err := p.begin(ctx); err != nil {
		return platform.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed, down := p.changed, p.faults.Down
		e, err := p.getEntry(key)
		p.mu.Unlock()
		if down {
			return platform.Entry{}, &platform.ErrUnavailable{Cause: context.DeadlineExceeded}
		}
		if err == nil && e.Version != known {
			return e, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return e, err
		case <-ctx.Done():
			return platform.Entry{}, &platform.ErrUnavailable{Cause: context.Cause(ctx)}
		}
	}
}
