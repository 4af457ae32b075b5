package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record writes what was sent, answered and run to record.txt in the folder of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// environment is a small installation: the store and instances of the system.
type environment struct {
	*record
	root      string
	temp      string
	store     *store
	instances []*instance
	disrupted bool
}

// newEnvironment returns an installation without instances. The working directory is the folder of the case.
func newEnvironment() (*environment, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	r, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	e := &environment{record: r, root: filepath.Dir(filepath.Dir(dir)), disrupted: os.Getenv("TROUBLE") != "0"}
	if e.temp, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	e.store, err = newStore()
	e.log("disruption: %v", e.disrupted)
	return e, err
}

// close ends all processes.
func (e *environment) close() {
	for _, i := range e.instances {
		i.kill()
	}
	_ = os.RemoveAll(e.temp)
}

// machine holds the settings of an instance's machine that differ between cases.
type machine struct {
	name, zone, region string
	// store is the address of the store as the instance sees it.
	store    string
	memoryMB int
	maxFDs   int
	cpuShare float64
}

// instance is one process of the system.
type instance struct {
	machine
	env                           *environment
	front, directory, ready, ctrl string
	settings                      string
	ports                         [2]int
	zones                         map[string]string
	mu                            sync.Mutex
	process                       *exec.Cmd
	ended                         chan struct{}
	exit                          string
}

// usedPorts holds the ports that freePort has returned.
var usedPorts = map[int]bool{}

// freePort returns a free port below those that the system gives to outgoing connections, so that none takes it before the process
// listens.
func freePort() int {
	for {
		port := 12_000 + rand.IntN(18_000)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		usedPorts[port] = true
		return port
	}
}

// addInstance prepares an instance with the settings of the site ghasbox in DEPLOY.md.
func (e *environment) addInstance(m machine, zones map[string]string) *instance {
	i := &instance{
		machine: m, env: e, zones: zones, ports: [2]int{freePort(), freePort()},
		settings: filepath.Join(e.temp, m.name+".yaml"),
	}
	for _, a := range []*string{&i.front, &i.directory, &i.ready, &i.ctrl} {
		*a = fmt.Sprintf("127.0.0.1:%d", freePort())
	}
	e.instances = append(e.instances, i)
	return i
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// render fills in the settings template of the deploy file.
func (i *instance) render() (string, error) {
	template, err := os.ReadFile(filepath.Join(i.env.root, "deploy", "edge.yaml"))
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node": i.name, "region": i.region, "zone": i.zone, "ip": "127.0.0.1",
		"listen.front": i.front, "listen.directory": i.directory, "listen.ready": i.ready, "listen.control": i.ctrl,
		"internalPorts.0": i.ports[0], "internalPorts.1": i.ports[1], "platform.address": i.store,
		"limits.memoryMb": i.memoryMB, "limits.maxFds": i.maxFDs, "limits.cpuShare": i.cpuShare, "limits.cores": 1, "limits.linkMbps": 1000.0,
		"bounds.graceS": 6, "bounds.revokeS": 5, "bounds.contactS": 3, "bounds.retryBudgetRatio": 0.2, "bounds.retrySlack": 62,
		"bounds.quotaWindowS": 5, "bounds.quotaOverrun": 0.1, "bounds.quotaSlack": 20, "bounds.drainS": 2, "bounds.evacuationS": 5,
		"bounds.maxShift": 0.15,
	}
	text := string(template)
	open, end := strings.Index(text, "{{#zones}}"), strings.Index(text, "{{/zones}}")
	if open >= 0 && end > open {
		body, lines := strings.Trim(text[open+len("{{#zones}}"):end], "\n"), ""
		for zone, region := range i.zones {
			quoted, _ := json.Marshal(region)
			lines += strings.NewReplacer("{{@}}", zone, "{{.|json}}", string(quoted)).Replace(body) + "\n"
		}
		text = text[:open] + strings.TrimSuffix(lines, "\n") + text[end+len("{{/zones}}"):]
	}
	var missing error
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		name, quote := strings.CutSuffix(strings.Trim(p, "{}"), "|json")
		v, ok := values[name]
		if !ok {
			missing = fmt.Errorf("template has the unknown placeholder %s", p)
		}
		if quote {
			quoted, _ := json.Marshal(v)
			return string(quoted)
		}
		return fmt.Sprint(v)
	})
	return text, missing
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	text, err := i.render()
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join("target", "medlarpond"), "edge")
	c.Dir, c.Stdout, c.Stderr = i.env.root, output, output
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", names["settings"] + "=" + i.settings}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.mu.Lock()
	i.process, i.ended, i.exit = c, ended, ""
	i.mu.Unlock()
	i.env.log("%s: process started", i.name)
	go func() {
		err := c.Wait()
		_ = output.Close()
		i.mu.Lock()
		i.exit = fmt.Sprint(err)
		i.mu.Unlock()
		close(ended)
	}()
	return nil
}

// kill ends the process at once.
func (i *instance) kill() {
	i.mu.Lock()
	c, ended := i.process, i.ended
	i.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-ended
}

func (i *instance) hasEnded() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// rssMB returns the memory of the process that is in use, in megabytes.
func (i *instance) rssMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// awaitReady waits until all instances are ready and registered.
func (e *environment) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range e.instances {
			response, err := http.Get("http://" + i.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(e.instances) && e.store.count("medlarpond/instances/") == len(e.instances) {
			return nil
		}
	}
	return errors.New("the instances did not become ready")
}

// server is a stand-in for an upstream.
type server struct {
	env     *environment
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// before is called when a request begins to run; it may end the server.
	before func(s *server, r *http.Request)
	// answer answers a request that runs, in place of the usual answer.
	answer func(s *server, w http.ResponseWriter, r *http.Request)
	born   int64

	mu      sync.Mutex
	running int
	http    *http.Server
	runs    int
}

// start serves at the address, or a free one, and registers the server.
func (s *server) start() error {
	if s.address == "" {
		s.address = fmt.Sprintf("127.0.0.1:%d", freePort())
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	s.register()
	return nil
}

// register writes the server's entry.
func (s *server) register() {
	s.env.store.put("servers/"+s.id, json.RawMessage(strings.NewReplacer("ADDRESS", s.address, "BORN", strconv.FormatInt(s.born, 10),
		"SERVICE", s.service, "ZONE", s.zone, "SLOTS", strconv.Itoa(s.slots)).Replace(serverFile)))
}

// crash closes all sockets, as the end of a process does.
func (s *server) crash() { _ = s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(names["id"], r.Header.Get(names["id"]))
	h.Set(names["server"], s.id)
	h.Set("Keep-Alive", "timeout=10")
	if expected := r.Header.Get(names["expected"]); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/health" {
		return
	}
	s.mu.Lock()
	full := s.running >= 4*s.slots
	if !full {
		s.running++
		s.runs++
	}
	h.Set(names["load"], fmt.Sprintf("%d,%d,%d", min(s.running, s.slots), max(0, s.running-s.slots), s.slots))
	s.mu.Unlock()
	if full {
		h.Set(names["not-run"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	if s.before != nil {
		s.before(s, r)
	}
	if s.answer != nil {
		s.answer(s, w, r)
		return
	}
	if s.work > 0 {
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
			return
		}
	}
	h.Set(names["seal"], "seal-"+s.id+"-"+r.Header.Get(names["id"]))
	_, _ = fmt.Fprintf(w, "%s %s %d\n", r.Method, r.URL.Path, len(body))
}
