package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of all processes. Each process has a loopback address of its own.
const (
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
	internalFirst = 7720
	internalLast  = 7735
	executorPort  = 8080
	platformPort  = 8090
)

// notRunnable ends a case that could not run, with status 2.
type notRunnable struct{ reason string }

func giveUp(format string, values ...any) { panic(notRunnable{fmt.Sprintf(format, values...)}) }

// must ends the case if an error is set.
func must(err error, step string) {
	if err != nil {
		giveUp("%s: %v", step, err)
	}
}

// record is the file record.txt. Each line begins with the seconds since the start of the case.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err, "creating the record")
	return &record{file: file, started: time.Now()}
}

func (r *record) line(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.file, format+"\n", values...)
}

func (r *record) now() time.Duration { return time.Since(r.started) }

// node is one process of the system.
type node struct {
	name, role, ip, zone string
	command              *exec.Cmd
	ended                chan struct{}
}

// plan describes the processes and the settings of a small deployment.
type plan struct {
	stewards, gates, storages, proxies int
	zones                              int
	contracts                          string
	graceS, drainMs                    int
	extraBounds                        string
	hasPlatform                        bool
	memoryMB                           int
}

// cluster holds the processes that a case has started.
type cluster struct {
	plan
	record  *record
	folder  string
	network string
	nodes   []*node
	// extra holds further processes that the case has started.
	extra []*hollowExecutors
	// serviceOf returns the service of a local proxy's executor.
	serviceOf func(*node) string
	mutex     sync.Mutex
}

// newCluster chooses a free loopback network and a temporary folder. It starts nothing.
func newCluster(p plan, record *record) *cluster {
	folder, err := os.MkdirTemp("", "case")
	must(err, "creating a temporary folder")
	c := &cluster{plan: p, record: record, folder: folder}
	base := os.Getpid()
	for try := range 200 {
		network := fmt.Sprintf("127.%d.%d", 64+(base+try*7)%56, (base/56+try*13)%250+1)
		if isFree(network) {
			c.network = network
			break
		}
	}
	if c.network == "" {
		giveUp("no free loopback network")
	}
	add := func(role string, count, octet int) {
		for number := range count {
			c.nodes = append(c.nodes, &node{name: fmt.Sprintf("%s-%d", role, number+1), role: role, ip: fmt.Sprintf("%s.%d", c.network, octet+number),
				zone: fmt.Sprintf("zone-%d", number%max(1, p.zones)+1)})
		}
	}
	add("steward", p.stewards, 10)
	add("gate", p.gates, 30)
	add("storage", p.storages, 50)
	add("local-proxy", p.proxies, 70)
	return c
}

func isFree(network string) bool {
	for _, octet := range []int{10, 30, 50, 70, 90, 100} {
		for _, port := range []int{controlPort, frontPort, internalFirst, executorPort, platformPort} {
			listener, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, octet, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (c *cluster) of(role string) []*node {
	var found []*node
	for _, node := range c.nodes {
		if node.role == role {
			found = append(found, node)
		}
	}
	return found
}

func (c *cluster) platformAddress() string {
	return fmt.Sprintf("%s.%d:%d", c.network, 100, platformPort)
}

func (c *cluster) executorAddress(number int) string {
	return fmt.Sprintf("%s.%d:%d", c.network, 90+number, executorPort)
}

// writeSettings writes the settings file of a node.
func (c *cluster) writeSettings(n *node, initial bool) {
	var seeds []string
	for _, steward := range c.of("steward") {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", steward.ip, controlPort)))
	}
	var zones []string
	for number := range max(1, c.zones) {
		zones = append(zones, fmt.Sprintf("zone-%d: region-1", number+1))
	}
	memory := c.memoryMB
	if memory == 0 {
		memory = 304
	}
	class := map[string]string{"steward": "edge", "gate": "edge", "storage": "storage", "local-proxy": "side"}[n.role]
	lines := []string{"node-name: " + n.name, "node-role: " + n.role, "machine-class: " + class, "ip-address: " + n.ip, "zone: " + n.zone, "region: region-1",
		"zones: {" + strings.Join(zones, ", ") + "}", fmt.Sprintf("initial-start: %v", initial), "loss-counted: true",
		"seed-nodes: [" + strings.Join(seeds, ", ") + "]", fmt.Sprintf("internal-port-range: [%d, %d]", internalFirst, internalLast),
		"heartbeat-interval-ms: 1200", "active-contracts: [" + c.contracts + "]", "order-list: invocation",
		"fault-tolerance: {machine-losses: 1, zones: 0, region-losses: 0}",
		fmt.Sprintf("limits: {cpu-fraction: 0.8, core-count: 1, memory-mb: %d, file-descriptors: 4100, link-rate-mbps: 1000.0, disk-mb: 128}", memory),
		fmt.Sprintf("protocol-bounds: {seed-delay-s: 3, address-reuse-s: 2, contact-window-ms: 4000, ack-timeout-ms: 5000, catch-up-s: 6, drain-timeout-ms: %d, "+
			"grace-period-s: %d, loss-slack-ms: 200, config-apply-ms: 2500, downgrade-slack-ms: 250, max-stretch-ms: 6000, recovery-time-s: 15, "+
			"max-hold-ms: 6000, stop-timeout-ms: 400, gang-wait-ms: 4000, status-retention-s: 120%s}", c.drainMs, c.graceS, c.extraBounds)}
	switch n.role {
	case "steward":
		lines = append(lines, fmt.Sprintf("listen-addresses: {control-plane: \"%s:%d\"}", n.ip, controlPort), "data-directory: "+filepath.Join(c.folder, n.name))
	case "storage":
		lines = append(lines, "data-directory: "+filepath.Join(c.folder, n.name))
	case "gate":
		lines = append(lines, fmt.Sprintf("listen-addresses: {front-plain: \"%s:%d\", readiness: \"%s:%d\"}", n.ip, frontPort, n.ip, readinessPort))
	case "local-proxy":
		lines = append(lines, fmt.Sprintf("listen-addresses: {control-plane: \"%s:%d\"}", n.ip, controlPort),
			fmt.Sprintf("app: \"%s:%d\"", n.ip, executorPort), "service: "+c.serviceOf(n))
	}
	if c.hasPlatform {
		lines = append(lines, "discovery-source: cloud", "platform-api: {address: \""+c.platformAddress()+"\", rate-per-s: 50.0, max-lag-ms: 800}")
	}
	must(os.WriteFile(c.settingsPath(n), []byte(strings.Join(lines, "\n")+"\n"), 0o600), "writing settings")
}

func (c *cluster) settingsPath(n *node) string { return filepath.Join(c.folder, n.name+".yaml") }

// start starts the process of a node with the command of the deploy file.
func (c *cluster) start(n *node, initial bool) {
	c.writeSettings(n, initial)
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err, "opening a log")
	command := exec.Command("target/gannetline", n.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GANNETLINE_BOOT=" + c.settingsPath(n)}
	command.Stdout, command.Stderr = log, log
	must(command.Start(), "starting "+n.name)
	log.Close()
	ended := make(chan struct{})
	c.mutex.Lock()
	n.command, n.ended = command, ended
	c.mutex.Unlock()
	c.record.line("started %s", n.name)
	go func() {
		err := command.Wait()
		c.record.line("process %s ended: %v", n.name, err)
		close(ended)
	}()
}

func (c *cluster) startAll() {
	for _, n := range c.nodes {
		c.start(n, true)
	}
}

// signal sends a signal to the process of a node.
func (c *cluster) signal(n *node, signal syscall.Signal) {
	c.record.line("signal %v to %s", signal, n.name)
	must(n.command.Process.Signal(signal), "signalling "+n.name)
}

func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.nodes {
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
		}
	}
	for _, n := range c.nodes {
		if n.command != nil {
			<-n.ended
		}
	}
	for _, executors := range c.extra {
		executors.kill()
	}
	os.RemoveAll(c.folder)
}

// reply is an answer to a call. Status 0 means that no whole answer came.
type reply struct {
	status int
	body   []byte
	err    error
}

func (r reply) text() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	text := string(r.body)
	if len(text) > 300 {
		text = text[:300] + "..."
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(text))
}

// call makes one HTTP call over a fresh connection.
func call(method, address, path, host string, headers map[string]string, body []byte, timeout time.Duration) reply {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if host != "" {
		request.Host = host
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	answer, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: answer.StatusCode, body: text}
}

// configuration is an operator's configuration.
type configuration map[string]any

// replace sends a configuration as operators do: it goes on to another steward after a failure, a 5xx, 408 or 429, or a second of silence.
func (c *cluster) replace(config configuration, base int) reply {
	body, err := json.Marshal(config)
	must(err, "encoding a configuration")
	stewards := c.of("steward")
	deadline := time.Now().Add(25 * time.Second)
	var last reply
	for try := 0; time.Now().Before(deadline); try++ {
		steward := stewards[try%len(stewards)]
		last = call("POST", fmt.Sprintf("%s:%d", steward.ip, controlPort), "/v1/configuration/replace", "",
			map[string]string{"X-Base-Version": fmt.Sprint(base), "Content-Type": "application/json"}, body, time.Second)
		c.record.line("operator: replace by version %v on %d at %s -> %s", config["config-version"], base, steward.name, last.text())
		if last.err == nil && last.status < 500 && last.status != 408 && last.status != 429 {
			return last
		}
		time.Sleep(time.Duration(100+50*min(try, 10)) * time.Millisecond)
	}
	return last
}

// waitReady waits until all gates are ready.
func (c *cluster) waitReady(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for _, gate := range c.of("gate") {
		for {
			answer := call("GET", fmt.Sprintf("%s:%d", gate.ip, readinessPort), "/v1/readiness", "", nil, nil, time.Second)
			if answer.status == 200 {
				break
			}
			if time.Now().After(deadline) {
				giveUp("%s is not ready", gate.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.record.line("all gates are ready")
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }
