// Command review runs the scripts of the review: it starts instances as separate processes with the command of the deploy
// file, between stand-ins for the platform's store, upstreams and clients. It must run in the root of the repository.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trial is one run of a script.
type trial struct {
	// trouble is false if the script runs without the disruption.
	trouble bool
	store   *store
	dir     string
	zones   map[string]string
	// coldFor is how long the upstreams that are started stay cold.
	coldFor time.Duration
	started time.Time

	mu        sync.Mutex
	record    *os.File
	instances []*instance
}

// instance is one process of the project.
type instance struct {
	t                                 *trial
	id, zone, front, ready, directory string
	ports                             [2]string
	settings                          string
	// fds limits the descriptors of the process; zero for no limit.
	fds    int
	cmd    *exec.Cmd
	exited chan struct{}
}

func main() {
	cases := map[string]func(*trial) (bool, error){
		"body": earlyAnswer, "registration": registration, "idle": idleConnections, "silent": silentConnections,
		"keys": withoutTenants, "cold": allCold, "blocked": blockedRequest, "cut": cutWatch, "hup": earlyReload,
	}
	run, ok := cases[strings.Join(os.Args[1:2], "")]
	if !ok || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runTrial(run, os.Args[2]))
}

func runTrial(run func(*trial) (bool, error), recordPath string) int {
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), zones: map[string]string{}}
	var err error
	if t.record, err = os.Create(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = t.record.Close() }()
	if t.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(t.dir) }()
	defer t.killAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		held bool
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		if t.store, err = startStore(); err != nil {
			done <- outcome{err: err}
			return
		}
		held, err := run(t)
		done <- outcome{held, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-interrupted:
		o.err = fmt.Errorf("interrupted")
	case <-time.After(110 * time.Second):
		o.err = fmt.Errorf("not finished after 110 s")
	}
	switch {
	case o.err != nil:
		t.log("could not run: %v", o.err)
		fmt.Println("could not run:", o.err)
		return exitNotRun
	case o.held:
		t.log("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	default:
		t.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
}

// log writes a line to the record.
func (t *trial) log(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%9.3f "+format+"\n", append([]any{time.Since(t.started).Seconds()}, args...)...)
}

// freeAddress returns a loopback address that is free, with a port below those of outgoing connections.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

var (
	zonesSection = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{/zones\}\}`)
	placeholder  = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)(\|json)?\}\}`)
)

// bounds are those of the site boxcommons-gslb, as far as the template uses them.
var bounds = map[string]string{
	"bounds.graceS": "6", "bounds.revokeS": "5", "bounds.contactS": "3", "bounds.retryBudgetRatio": "0.2",
	"bounds.retrySlack": "64", "bounds.quotaWindowS": "5", "bounds.quotaOverrun": "0.1", "bounds.quotaSlack": "20",
	"bounds.drainS": "2", "bounds.evacuationS": "5", "bounds.maxShift": "0.15", "limits.memoryMb": "284",
}

// newInstance prepares an instance: it fills in the template of the settings as the platform does.
func (t *trial) newInstance(id, zone string) (*instance, error) {
	i := &instance{
		t: t, id: id, zone: zone, front: freeAddress(), ready: freeAddress(), directory: freeAddress(),
		ports: [2]string{freeAddress(), freeAddress()}, settings: filepath.Join(t.dir, id+".yaml"),
	}
	template, err := os.ReadFile("deploy/edge.yaml")
	if err != nil {
		return nil, err
	}
	_, metrics, _ := net.SplitHostPort(i.ports[0])
	_, peer, _ := net.SplitHostPort(i.ports[1])
	values := map[string]string{
		"node": id, "region": t.zones[zone], "zone": zone, "listen.front": i.front, "listen.directory": i.directory,
		"listen.ready": i.ready, "ip": "127.0.0.1", "internalPorts.0": metrics, "internalPorts.1": peer, "platform.address": t.store.address,
	}
	for name, value := range bounds {
		values[name] = value
	}
	text := zonesSection.ReplaceAllStringFunc(string(template), func(section string) string {
		var b strings.Builder
		for zone, region := range t.zones {
			one := zonesSection.FindStringSubmatch(section)[1]
			b.WriteString(strings.ReplaceAll(strings.ReplaceAll(one, "{{@}}", zone), "{{.|json}}", `"`+region+`"`))
		}
		return b.String()
	})
	text = placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		if m[2] == "" {
			return values[m[1]]
		}
		encoded, _ := json.Marshal(values[m[1]])
		return string(encoded)
	})
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.instances = append(t.instances, i)
	t.mu.Unlock()
	return i, nil
}

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.t.dir, i.id+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/medlarpond", "edge")
	if i.fds > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/medlarpond edge", i.fds))
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.t.dir, wire["settings"] + "=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.t.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.t.mu.Unlock()
	i.t.log("instance %s started, process %d", i.id, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		i.t.log("instance %s ended: %v", i.id, err)
		close(exited)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for it.
func (i *instance) kill() {
	i.t.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.t.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (t *trial) killAll() {
	t.mu.Lock()
	instances := append([]*instance{}, t.instances...)
	t.mu.Unlock()
	for _, i := range instances {
		i.kill()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, i := range instances {
			content, _ := os.ReadFile(filepath.Join(t.dir, i.id+".log"))
			_ = os.WriteFile(filepath.Join(keep, i.id+".log"), content, 0o600)
		}
	}
}

// isReady asks the ready address once.
func (i *instance) isReady() bool {
	response, err := (&http.Client{Timeout: time.Second}).Get("http://" + i.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready and the directory names all of them.
func (t *trial) waitReady(instances []*instance) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(instances) && len(t.store.Keys("medlarpond/instances/")) == len(instances) {
			t.log("%d instances are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the instances were not ready in 10 s")
}

// resolve asks the directory of an instance as a client in its zone does.
func (i *instance) resolve() []string {
	response, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get(
		"http://" + i.directory + "/resolve?name=a.example&region=" + i.t.zones[i.zone] + "&zone=" + i.zone)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// upstream is a stand-in for an upstream. It registers itself in the store and checks in.
type upstream struct {
	t                          *trial
	id, service, address, zone string
	born                       int64
	coldUntil                  time.Time
	left                       atomic.Bool
	listener                   net.Listener
}

const heartbeat = 1500 * time.Millisecond

// startUpstream starts an upstream whose connections serve handles.
func (t *trial) startUpstream(id, service, zone string, serve func(*upstream, net.Conn)) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{t: t, id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), coldUntil: time.Now().Add(t.coldFor), listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(u, c)
		}
	}()
	u.checkIn(1)
	go func() {
		for n := 2; ; n++ {
			if time.Sleep(heartbeat); u.left.Load() {
				return
			}
			u.checkIn(n)
		}
	}()
	return u, nil
}

// stopCheckIns ends the check-ins of an upstream whose entry is removed.
func (u *upstream) stopCheckIns() { u.left.Store(true) }

func (u *upstream) checkIn(sequence int) {
	u.t.store.Put("servers/"+u.id, strings.NewReplacer(
		"ADDRESS", u.address, "BORN", strconv.FormatInt(u.born, 10), "SERVICE", u.service, "ZONE", u.zone, "SEQUENCE", strconv.Itoa(sequence),
		"COLD", strconv.FormatFloat(max(0, time.Until(u.coldUntil).Seconds()), 'f', 3, 64),
	).Replace(upstreamTemplate))
}

// desiredState is a desired state with one service, one tenant and four routes on a.example.
func desiredState(version int) string {
	return strings.ReplaceAll(desiredStateTemplate, "VERSION", strconv.Itoa(version))
}
