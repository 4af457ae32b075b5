package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["quota"] = runQuota }

// runQuota lets a tenant send 2.6 times its rate to seven machines, kills all processes at once after 2.6 s and starts them again, and
// compares the requests that run in a window of quotaWindowS with the bound. Without the disruption no process is killed.
// It is no case of the review, as no work is lost.
func runQuota(e *environment) (broken bool, err error) {
	const rate, perMachine, window = 30.0, 11.0, 5 * time.Second
	allowed := int((rate*window.Seconds()+rate)*1.1 + 20)
	zones := map[string]string{
		"kol-salt": "kolkata", "kol-garia": "kolkata", "sil-matigara": "siliguri", "sil-sevoke": "siliguri", "dgp-benachity": "durgapur",
		"dgp-bidhan": "durgapur",
	}
	for _, name := range []string{"kol-salt-1", "kol-salt-2", "kol-garia-1", "sil-matigara-1", "sil-sevoke-1", "dgp-benachity-1", "dgp-bidhan-1"} {
		zone := name[:len(name)-len("-1")]
		e.addInstance(machine{
			name: "front-" + name, zone: zone, region: zones[zone], store: e.store.address(), memoryMB: 284, maxFDs: 4100, cpuShare: 0.32,
		}, zones)
	}
	e.store.put(names["desired-state"], desiredState(5, rate))
	r := &runTimes{}
	for n := range 12 {
		s := &server{env: e, id: fmt.Sprintf("i-%d", n), service: "desk", zone: "kol-salt", slots: 16, work: 20 * time.Millisecond, before: r.begin}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	for _, i := range e.instances {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, i := range e.instances {
		running.Go(func() { e.sendSteadily(ctx, i, perMachine) })
	}
	if e.disrupted {
		time.Sleep(2600 * time.Millisecond)
		var kills sync.WaitGroup
		for _, i := range e.instances {
			kills.Go(i.kill)
		}
		kills.Wait()
		e.log("all processes are killed")
		time.Sleep(400 * time.Millisecond)
		for _, i := range e.instances {
			if err := i.start(); err != nil {
				cancel()
				return false, err
			}
		}
	}
	time.Sleep(5 * time.Second)
	cancel()
	running.Wait()
	most := r.mostIn(window)
	e.log("%d requests of the tenant ran in a window, %d are allowed", most, allowed)
	return most > allowed, nil
}

// sendSteadily sends requests to a machine at a rate per second until the context ends.
func (e *environment) sendSteadily(ctx context.Context, i *instance, rate float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go e.get(i, fmt.Sprintf("%s-%d", i.name, n), "/lohu930/2f")
		}
	}
}
