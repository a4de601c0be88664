// Package lab starts a small deployment of separate processes on loopback addresses, calls it like a client or an operator, and writes a
// record of all that was sent, answered and run. It uses the standard library only.
package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

const (
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
	appPort       = 8080
	// limit ends every script.
	limit = 115 * time.Second
)

// Lab is one deployment.
type Lab struct {
	folder  string
	network string
	record  *os.File
	mutex   sync.Mutex
	started time.Time
	// Trouble is false with TROUBLE=0.
	Trouble bool
	// Extra lines are added to the settings of every process.
	Extra    []string
	stewards int
	procs    []*exec.Cmd
	spawn    chan func()
	// isEnding is set once the script ends its processes. ends counts, by name, how often a supervised process ended by itself.
	isEnding bool
	ends     map[string]int
}

// Zones are the names of the zones; machine number n stands in zone n modulo 3.
var Zones = []string{"hall-a", "hall-b", "hall-c"}

// New opens the record in the folder of the case and finds a free loopback network.
func New(caseFolder string) *Lab {
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	l := &Lab{folder: folder, record: record, started: time.Now(), Trouble: os.Getenv("TROUBLE") != "0", spawn: make(chan func()), ends: map[string]int{}}
	// A child gets SIGKILL when the thread that started it ends, so one thread that never ends starts them all.
	go func() {
		runtime.LockOSThread()
		for start := range l.spawn {
			start()
		}
	}()
	for range 50 {
		l.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(60), 1+rand.IntN(250))
		if l.isFree() {
			break
		}
		l.network = ""
	}
	if l.network == "" {
		l.End(CouldNot, "no free loopback network")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			l.End(CouldNot, "interrupted")
		case <-time.After(limit):
			l.End(CouldNot, "the time is over")
		}
	}()
	l.Logf("the disruption is %s", map[bool]string{true: "on", false: "off (TROUBLE=0)"}[l.Trouble])
	return l
}

func (l *Lab) isFree() bool {
	for machine := 1; machine <= 24; machine++ {
		for _, port := range []int{controlPort, frontPort, readinessPort, appPort, 7720} {
			listener, err := net.Listen("tcp4", l.At(machine, port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// At returns the address of a port of a machine.
func (l *Lab) At(machine, port int) string { return fmt.Sprintf("%s.%d:%d", l.network, machine, port) }

// Front returns the address at which the gate of a machine serves clients.
func (l *Lab) Front(machine int) string { return l.At(machine, frontPort) }

// Control returns the address at which a steward or a local proxy serves its callers.
func (l *Lab) Control(machine int) string { return l.At(machine, controlPort) }

// App returns the address at which the executor of a machine serves its local proxy.
func (l *Lab) App(machine int) string { return l.At(machine, appPort) }

// SinceMs is the time since the start of the script, in milliseconds.
func (l *Lab) SinceMs() int64 { return time.Since(l.started).Milliseconds() }

// Started is the time of day of the start.
func (l *Lab) Started() time.Time { return l.started }

// Logf writes a line to the record.
func (l *Lab) Logf(format string, values ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	fmt.Fprintf(l.record, "%7d ms  %s\n", l.SinceMs(), fmt.Sprintf(format, values...))
}

// End writes the verdict, ends all processes and the script.
func (l *Lab) End(code int, format string, values ...any) {
	verdict := map[int]string{Held: "HELD", Broken: "BROKEN", CouldNot: "COULD NOT RUN"}[code]
	text := fmt.Sprintf(format, values...)
	l.Logf("%s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	l.mutex.Lock()
	l.isEnding = true
	procs := append([]*exec.Cmd{}, l.procs...)
	l.mutex.Unlock()
	for _, process := range procs {
		process.Process.Signal(syscall.SIGCONT)
		process.Process.Kill()
	}
	for _, process := range procs {
		process.Process.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.folder)
	} else {
		fmt.Println("files are in", l.folder)
	}
	os.Exit(code)
}

// settings writes the settings file of a process on a machine. The bounds are those of the small site trentside-rota.
func (l *Lab) settings(name, role string, machine int, lines ...string) string {
	var seeds []string
	for steward := 1; steward <= l.stewards; steward++ {
		seeds = append(seeds, fmt.Sprintf("%q", l.Control(steward)))
	}
	zones := ""
	for _, zone := range Zones {
		zones += fmt.Sprintf("  %s: midlands\n", zone)
	}
	text := fmt.Sprintf(`node-name: %q
node-role: %q
ip-address: "%s.%d"
zone: %q
region: midlands
zones:
%sinternal-port-range: [7720, 7735]
seed-nodes: [%s]
initial-start: true
loss-counted: true
limits: {cpu-fraction: 0.8, core-count: 1, memory-mb: 284, file-descriptors: 4100, link-rate-mbps: 1000.0, disk-mb: 128}
entry-type: virtual_ip
heartbeat-interval-ms: 1500
fault-tolerance: {machine-losses: 1, zones: 0, region-losses: 0}
order-list: invocation
`, name, role, l.network, machine, Zones[machine%len(Zones)], zones, strings.Join(seeds, ", "))
	text += strings.Join(append(lines, l.Extra...), "\n") + "\n"
	path := filepath.Join(l.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		l.End(CouldNot, "%v", err)
	}
	return path
}

// run starts a program of the project with a command of the deploy file.
func (l *Lab) run(name, settings string, arguments ...string) *exec.Cmd {
	process := exec.Command("target/gannetline", arguments...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GANNETLINE_BOOT=" + settings}
	output, err := os.Create(filepath.Join(l.folder, name+".log"))
	if err != nil {
		l.End(CouldNot, "%v", err)
	}
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	l.spawn <- func() { done <- process.Start() }
	if err := <-done; err != nil {
		l.End(CouldNot, "starting %s: %v", name, err)
	}
	l.keep(process)
	l.Logf("started %s (pid %d): target/gannetline %s", name, process.Process.Pid, strings.Join(arguments, " "))
	return process
}

func (l *Lab) keep(process *exec.Cmd) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isEnding {
		process.Process.Kill()
	}
	l.procs = append(l.procs, process)
}

// supervise starts a program again, half a second after it has ended by itself, as the platform does. The settings then no longer say that it
// is the first start.
func (l *Lab) supervise(name, settings string, process *exec.Cmd, arguments ...string) {
	for {
		state, _ := process.Process.Wait()
		l.mutex.Lock()
		if l.isEnding {
			l.mutex.Unlock()
			return
		}
		l.ends[name]++
		l.mutex.Unlock()
		l.Logf("%s ended by itself: %v; the last it wrote: %s", name, state, l.lastPanic(name))
		time.Sleep(500 * time.Millisecond)
		text, err := os.ReadFile(settings)
		if err != nil {
			return
		}
		os.WriteFile(settings, []byte(strings.Replace(string(text), "initial-start: true", "initial-start: false", 1)), 0o644)
		l.mutex.Lock()
		isEnding := l.isEnding
		l.mutex.Unlock()
		if isEnding {
			return
		}
		process = l.run(name, settings, arguments...)
	}
}

// lastPanic returns the first line of the last panic in the log of a process.
func (l *Lab) lastPanic(name string) string {
	text, _ := os.ReadFile(filepath.Join(l.folder, name+".log"))
	at := strings.LastIndex(string(text), "panic: ")
	if at < 0 {
		return "no panic"
	}
	line, rest, _ := strings.Cut(string(text[at:]), "\n")
	for _, frame := range strings.Split(rest, "\n") {
		if strings.HasPrefix(frame, "gannetline/") {
			return line + ", in " + frame[:strings.LastIndex(frame, "(")]
		}
	}
	return line
}

// Ends returns how often each supervised process has ended by itself.
func (l *Lab) Ends() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	ends := map[string]int{}
	for name, count := range l.ends {
		ends[name] = count
	}
	return ends
}

// Stewards starts stewards on the machines 1 to count, each with a disk, and starts them again if they end by themselves.
func (l *Lab) Stewards(count int) {
	l.stewards = count
	for machine := 1; machine <= count; machine++ {
		name := fmt.Sprintf("steward-%d", machine)
		data := filepath.Join(l.folder, "data-"+name)
		os.Mkdir(data, 0o755)
		settings := l.settings(name, "steward", machine, "machine-class: edge", `served-roles: ["control"]`,
			fmt.Sprintf("listen-addresses: {control-plane: %q}", l.Control(machine)), fmt.Sprintf("data-directory: %q", data))
		go l.supervise(name, settings, l.run(name, settings, "steward"), "steward")
	}
}

// Gate starts a gate on a machine.
func (l *Lab) Gate(machine int) *exec.Cmd {
	name := fmt.Sprintf("gate-%d", machine)
	return l.run(name, l.settings(name, "gate", machine, "machine-class: edge", `served-roles: ["edge"]`,
		fmt.Sprintf("listen-addresses: {front-plain: %q, readiness: %q}", l.Front(machine), l.At(machine, readinessPort))), "gate")
}

// Executor starts a local proxy on a machine, and the project's stand-in of an executor beside it, which lets each run last as long as the
// task's descriptor says and ends it with "done". It returns the address of the stand-in's report.
func (l *Lab) Executor(machine int, service string) (report string) {
	name := fmt.Sprintf("side-%d", machine)
	settings := l.settings(name, "local-proxy", machine, "machine-class: side", `served-roles: ["side"]`,
		fmt.Sprintf("listen-addresses: {control-plane: %q}", l.Control(machine)), fmt.Sprintf("app: %q", l.App(machine)),
		fmt.Sprintf("service: %q", service))
	l.run(name, settings, "local-proxy")
	report = l.At(machine, 7800)
	spec := fmt.Sprintf(`{"report":%q,"for-ms":300000,"workers":[{"settings":%q,"pace":1,"capacity":{"cpu-units":16000,"memory-req-mb":32768},"labels":["a","r%d"],"executor-only":true}]}`,
		report, settings, machine)
	path := filepath.Join(l.folder, name+".json")
	os.WriteFile(path, []byte(spec), 0o644)
	executor := fmt.Sprintf("executor-%d", machine)
	// The stand-in ends at the end of its standard input, so it gets a pipe that stays open.
	l.runWithInput(executor, settings, "hollow", "--spec", path)
	return report
}

func (l *Lab) runWithInput(name, settings string, arguments ...string) {
	read, write, err := os.Pipe()
	if err != nil {
		l.End(CouldNot, "%v", err)
	}
	process := exec.Command("target/gannetline", arguments...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GANNETLINE_BOOT=" + settings}
	output, _ := os.Create(filepath.Join(l.folder, name+".log"))
	process.Stdout, process.Stderr, process.Stdin = output, output, read
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	l.spawn <- func() { done <- process.Start() }
	if err := <-done; err != nil {
		l.End(CouldNot, "starting %s: %v", name, err)
	}
	runtime.KeepAlive(write)
	inputs = append(inputs, write)
	l.keep(process)
	l.Logf("started %s (pid %d): stand-in of an executor", name, process.Process.Pid)
}

var inputs []*os.File

// Run is one run of a task at an executor stand-in.
type Run struct {
	Task    string `json:"task"`
	Run     int64  `json:"run"`
	Node    string `json:"node"`
	StartMs int64  `json:"start"`
	EndMs   int64  `json:"end"`
	Outcome string `json:"how"`
}

// Runs returns all runs that an executor stand-in has begun. Times are milliseconds since the start of the script.
func (l *Lab) Runs(report string) []Run {
	client := &http.Client{Timeout: 3 * time.Second}
	answer, err := client.Get("http://" + report + "/hollow/records")
	if err != nil {
		l.End(CouldNot, "asking a stand-in for its runs: %v", err)
	}
	defer answer.Body.Close()
	var runs []Run
	if err := json.NewDecoder(answer.Body).Decode(&runs); err != nil {
		l.End(CouldNot, "asking a stand-in for its runs: %v", err)
	}
	base := l.started.UnixMilli()
	for index := range runs {
		runs[index].StartMs -= base
		if runs[index].EndMs > 0 {
			runs[index].EndMs -= base
		}
	}
	return runs
}

// Answer is an answer to a call; Status is 0 if none came.
type Answer struct {
	Status int
	Body   string
	// SentMs and AnsweredMs are milliseconds since the start of the script.
	SentMs, AnsweredMs int64
}

// Call makes one HTTP call on a new connection and closes it. A label is written to the record with the answer.
func (l *Lab) Call(label, method, address, path, host string, header map[string]string, body string, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		l.End(CouldNot, "%v", err)
	}
	request.Host = host
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	result := Answer{SentMs: l.SinceMs()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	answer, err := client.Do(request)
	if err == nil {
		text, readErr := io.ReadAll(answer.Body)
		answer.Body.Close()
		if readErr == nil {
			result.Status, result.Body = answer.StatusCode, strings.TrimSpace(string(text))
		}
		err = readErr
	}
	result.AnsweredMs = l.SinceMs()
	if label != "" {
		outcome := fmt.Sprintf("%d %s", result.Status, result.Body)
		if result.Status == 0 {
			outcome = "no answer"
		}
		l.Logf("%s: %s %s%s at %d ms -> %s", label, method, address, path, result.SentMs, outcome)
	}
	return result
}

// Configure sends a configuration like an operator, at one steward after the other, until it is acknowledged.
func (l *Lab) Configure(base int, text string) Answer {
	var answer Answer
	for try := range 60 {
		steward := 1 + try%l.stewards
		answer = l.Call("operator", "POST", l.Control(steward), "/v1/configuration/replace", "control",
			map[string]string{"X-Base-Version": fmt.Sprint(base)}, text, time.Second)
		if answer.Status == http.StatusOK {
			l.Logf("acknowledged configuration: %s", strings.Join(strings.Fields(text), " "))
			return answer
		}
		if answer.Status == 400 || answer.Status == 412 || answer.Status == 422 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	l.End(CouldNot, "the configuration on version %d was not acknowledged: %d %s", base, answer.Status, answer.Body)
	return answer
}

// WaitReady waits until a gate answers its readiness with 200.
func (l *Lab) WaitReady(machine int) {
	for range 150 {
		if l.Call("", "GET", l.At(machine, readinessPort), "/v1/readiness", "ready", nil, "", time.Second).Status == 200 {
			l.Logf("gate-%d is ready", machine)
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.End(CouldNot, "gate-%d did not become ready", machine)
}
