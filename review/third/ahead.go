package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	aheadConnections = 8
	// aheadDepth is the number of requests that a client sends before it reads the responses to them.
	aheadDepth = 8
	aheadTime  = 105 * time.Second
	// memoryInterval is the time between looks at the memory of the instance.
	memoryInterval = 500 * time.Millisecond
)

// runAhead lets a few clients send requests ahead on connections that they keep, and read all responses. It looks whether the
// instance stays within the memory of its machine. Without trouble the clients send each request after the response to the last one.
func runAhead(r *run) (broken bool, err error) {
	client, process, err := r.startInstance("front-erie-cleveland-1", smallestMachine)
	if err != nil {
		return false, err
	}
	limitMB, err := strconv.Atoi(smallestMachine.memoryMB)
	if err != nil {
		return false, err
	}
	depth := 1
	if r.trouble {
		depth = aheadDepth
	}
	r.note("%d clients send %d requests ahead each; the machine has %d MB", aheadConnections, depth, limitMB)
	var stopped atomic.Bool
	var answered, failed atomic.Int64
	var sending sync.WaitGroup
	for n := range aheadConnections {
		sending.Go(func() {
			if err := sendAhead(client, n, depth, &stopped, &answered); err != nil {
				failed.Add(1)
				r.note("client %d: %v", n, err)
			}
		})
	}
	peakMB := 0
	for end := time.Now().Add(aheadTime); time.Now().Before(end) && !broken; time.Sleep(memoryInterval) {
		usedMB, err := residentMB(process.Pid)
		if err != nil {
			return false, err
		}
		if usedMB > peakMB {
			peakMB = usedMB
			r.note("%d responses, the instance uses %d MB", answered.Load(), usedMB)
		}
		broken = usedMB > limitMB
	}
	stopped.Store(true)
	sending.Wait()
	r.note("%d responses, most memory %d MB of %d", answered.Load(), peakMB, limitMB)
	if answered.Load() == 0 || failed.Load() > 0 {
		return false, fmt.Errorf("%d responses, %d clients failed", answered.Load(), failed.Load())
	}
	return broken, nil
}

// sendAhead sends depth requests on a connection and reads the responses to them, again and again.
func sendAhead(address string, client, depth int, stopped *atomic.Bool, answered *atomic.Int64) error {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for round := 0; !stopped.Load(); round++ {
		var requests strings.Builder
		for n := range depth {
			_, _ = fmt.Fprintf(&requests, "GET /plans/1 HTTP/1.1\r\nHost: desk.example\r\n%s: %d-%d-%d\r\n%s: 3000\r\n\r\n",
				names.Headers.RequestID, client, round, n, names.Headers.TimeLeft)
		}
		if _, err := io.WriteString(c, requests.String()); err != nil {
			return err
		}
		for range depth {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return err
			}
			answered.Add(1)
		}
	}
	return nil
}

// residentMB returns the memory that a process occupies.
func residentMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if size, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(size), "kB")))
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}
