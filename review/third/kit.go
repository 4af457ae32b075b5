package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zone   = "kol-salt"
	region = "kolkata"
	// readyTimeout bounds the start of an instance.
	readyTimeout = 15 * time.Second
	// firstPort and portCount are the range of the ports that processes listen on, portTries the tries to find a free one.
	firstPort = 12_000
	portCount = 18_000
	portTries = 1_000
)

// run is one run of a case.
type run struct {
	// trouble is false if the disturbance is left out.
	trouble bool
	folder  string
	store   *store
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	ended     sync.WaitGroup
}

// newRun starts a store with an intent and opens record.txt in the folder of the case.
func newRun(caseFolder string) (*run, error) {
	r := &run{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if r.record, err = os.Create(filepath.Join(caseFolder, "record.txt")); err != nil {
		return nil, err
	}
	if r.store, err = newStore(); err != nil {
		return nil, err
	}
	r.store.put(names.Keys.Intent, intentJSON)
	return r, nil
}

// note writes a line to the record.
func (r *run) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, arguments...)...)
}

// start starts a process, which finish ends.
func (r *run) start(c *exec.Cmd) error {
	if err := c.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.processes = append(r.processes, c)
	r.mu.Unlock()
	r.ended.Go(func() { _ = c.Wait() })
	return nil
}

// finish ends all processes that the run has started, and returns when they have ended.
func (r *run) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.processes {
		_ = c.Process.Kill()
	}
	r.ended.Wait()
	_ = r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// usedPorts holds the ports that freeAddress has returned.
var usedPorts = map[int]bool{}

// freeAddress returns a loopback address that nobody listens on. Its port lies below those of outgoing connections, so that none
// takes it before the process listens. It must not be called concurrently.
func freeAddress() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		usedPorts[port] = true
		return l.Addr().String(), l.Close()
	}
	return "", fmt.Errorf("no free port after %d tries", portTries)
}

// startInstance starts an instance by the command of the deploy file, with the settings that its template yields on a machine
// of the site ghasbox, and returns its address for clients once it is ready.
func (r *run) startInstance(id string) (string, error) {
	template, err := os.ReadFile("deploy/edge.yaml")
	if err != nil {
		return "", err
	}
	addresses := map[string]string{}
	for _, name := range []string{"front", "directory", "ready", "metrics", "peer"} {
		if addresses[name], err = freeAddress(); err != nil {
			return "", err
		}
	}
	settings := filepath.Join(r.folder, id+".yaml")
	if err := os.WriteFile(settings, []byte(fill(string(template), id, addresses, r.store.address())), 0o600); err != nil {
		return "", err
	}
	output, err := os.Create(filepath.Join(r.folder, id+".log"))
	if err != nil {
		return "", err
	}
	c := exec.Command("target/medlarpond", "edge")
	c.Env = append(os.Environ(), names.SettingsVariable+"="+settings)
	c.Stdout, c.Stderr = output, output
	if err := r.start(c); err != nil {
		return "", err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + addresses["ready"] + names.Paths.Ready)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return addresses["front"], nil
			}
		}
	}
	return "", fmt.Errorf("instance %s is not ready", id)
}

// fill fills the settings template with the figures of the site ghasbox.
func fill(template, id string, addresses map[string]string, store string) string {
	template = regexp.MustCompile(`(?s)\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(template, `  "`+zone+`": "`+region+`"`)
	template = strings.ReplaceAll(template, `"{{ip}}:{{internalPorts.0}}"`, `"`+addresses["metrics"]+`"`)
	template = strings.ReplaceAll(template, `"{{ip}}:{{internalPorts.1}}"`, `"`+addresses["peer"]+`"`)
	values := map[string]string{
		"node": id, "region": region, "zone": zone, "platform.address": store,
		"listen.front": addresses["front"], "listen.directory": addresses["directory"], "listen.ready": addresses["ready"],
		"limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.32", "limits.cores": "1", "limits.linkMbps": "1000.0",
		"bounds.graceS": "6", "bounds.revokeS": "5", "bounds.contactS": "3", "bounds.retryBudgetRatio": "0.2", "bounds.retrySlack": "62",
		"bounds.quotaWindowS": "5", "bounds.quotaOverrun": "0.1", "bounds.quotaSlack": "20", "bounds.drainS": "2",
		"bounds.evacuationS": "5", "bounds.maxShift": "0.15",
	}
	return regexp.MustCompile(`\{\{[a-zA-Z.]+(\|json)?\}\}`).ReplaceAllStringFunc(template, func(placeholder string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(placeholder, "{}"), "|json")
		if isJSON {
			return `"` + values[name] + `"`
		}
		return values[name]
	})
}

// kill kills a process as a crash does.
func kill(c *exec.Cmd) { _ = c.Process.Signal(syscall.SIGKILL) }
