package main

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"
)

// tenantsField is the field of the tenants in a desired state.
var tenantsField = regexp.MustCompile(`"tenants":\[.*?\]\}?\],`)

// withoutTenants replaces the desired state by one without tenants, after which clients send no keys, and checks DENIED.
func withoutTenants(t *trial) (held bool, err error) {
	const configApply = 2 * time.Second
	t.zones = map[string]string{"pos-a": "pos", "sfo-a": "sfo"}
	var instances []*instance
	for _, zone := range []string{"pos-a", "sfo-a"} {
		i, err := t.newInstance("front-"+zone+"-1", zone)
		if err != nil {
			return false, err
		}
		instances = append(instances, i)
		if _, err := t.startUpstream("i-"+zone, "yard", zone, serveShort(10*time.Millisecond)); err != nil {
			return false, err
		}
	}
	t.store.Put(wire["desiredState"], desiredState(7))
	for _, i := range instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := t.waitReady(instances); err != nil {
		return false, err
	}
	send := func(n int, key string) (int, error) {
		id := fmt.Sprintf("k%015d", requestCount.Add(1))
		request, _ := http.NewRequest(http.MethodGet, "http://"+instances[n%2].front+"/lookup/2f", nil)
		request.Host = "a.example"
		request.Header.Set(headerID, id)
		request.Header.Set(headerDeadline, "2000")
		if key != "" {
			request.Header.Set("Authorization", "Bearer "+key)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		t.log("client sent %s with the key %q: status %d", id, key, response.StatusCode)
		return response.StatusCode, err
	}
	count := func(requests int, key string) (served, denied int, err error) {
		for n := range requests {
			status, err := send(n, key)
			if err != nil {
				return 0, 0, err
			}
			switch {
			case status == http.StatusOK:
				served++
			case status >= 300 && status < 500 && status != 408 && status != 421 && status != 429:
				denied++
			}
			time.Sleep(10 * time.Millisecond)
		}
		return served, denied, nil
	}
	const requests = 200
	before, deniedBefore, err := count(requests, "k-acme-1")
	if err != nil {
		return false, err
	}
	next, key := desiredState(9), "k-acme-1"
	if t.trouble {
		next, key = tenantsField.ReplaceAllString(next, ""), ""
		if next == desiredState(9) {
			return false, fmt.Errorf("the desired state still has tenants")
		}
	}
	t.store.Put(wire["desiredState"], next)
	t.log("desired state 9 is acknowledged: %s", next)
	time.Sleep(configApply + 2*time.Second)
	after, deniedAfter, err := count(requests, key)
	if err != nil {
		return false, err
	}
	fmt.Printf("before: %d of %d served, %d denied; after: %d of %d served, %d denied\n", before, requests, deniedBefore, after, requests, deniedAfter)
	if before < requests/2 {
		return false, fmt.Errorf("%d of %d requests were served before the change", before, requests)
	}
	return deniedBefore+deniedAfter <= 5+2*requests/500, nil
}
