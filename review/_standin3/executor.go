package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// executor is a stand-in of an executor that follows the page PROTOCOL: it runs tasks on orders of the local proxy beside it, keeps the
// highest fence, a hold that lapses, and the list of ends. The descriptor of a task is "MS CPU MB": how long it runs and what it takes.
type executor struct {
	id, address, control, service, zone string
	cpu, memory                         int64
	labels                              []string
	maxHold, stopTimeout                time.Duration
	record                              *recorder
	server                              *http.Server
	// onStart is called for each start, without the lock.
	onStart func(e *executor, task string, run int64)

	mutex     sync.Mutex
	changed   chan struct{}
	startedAt time.Time
	sequence  int64
	fence     uint64
	expiryMs  int64
	runs      map[string]*taskRun
	highest   map[string]int64
	ends      [][]any
	lastEnd   int64
	isGone    bool
}

type taskRun struct {
	task    string
	run     int64
	cpu     int64
	memory  int64
	started time.Time
	length  time.Duration
}

func newExecutor(c *cluster, number int, service string, cpu, memory int64) *executor {
	return &executor{id: fmt.Sprintf("i-%08d", number), address: c.app(number), control: c.proxyControl(number), service: service,
		zone: fmt.Sprintf("zone-%d", (number-1)%c.zones+1), cpu: cpu, memory: memory, labels: []string{"a", fmt.Sprintf("r1-%d", number)},
		maxHold: time.Duration(c.bounds["max-hold-ms"].(int)) * time.Millisecond, stopTimeout: time.Duration(c.bounds["stop-timeout-ms"].(int)) * time.Millisecond,
		record: c.record, changed: make(chan struct{}), startedAt: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int64{}}
}

func (e *executor) clockMs() int64 { return 100000 + time.Since(e.startedAt).Milliseconds() }

// run serves the local proxy and sends heartbeats until the test ends.
func (e *executor) run() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	go func() {
		client := &http.Client{Timeout: time.Second}
		for !e.gone() {
			pause := 1500 * time.Millisecond
			if e.beat(client) != nil {
				pause = 300 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}()
	go e.watchHold()
	return nil
}

func (e *executor) gone() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.isGone
}

func (e *executor) beat(client *http.Client) error {
	e.mutex.Lock()
	e.sequence++
	body, _ := json.Marshal(map[string]any{"service": e.service, "address": e.address, "zone": e.zone, "config-version": "v1", "slot-count": 8,
		"executor-state": "ready", "cold-remaining-ms": 0, "capacity": map[string]int64{"cpu-units": e.cpu, "memory-req-mb": e.memory, "gpu-count": 0},
		"labels": e.labels, "clock-ms": e.clockMs(), "call-sequence": e.sequence})
	e.mutex.Unlock()
	response, err := client.Post("http://"+e.control+"/v1/executors/"+e.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// watchHold ends all runs once the hold has lapsed.
func (e *executor) watchHold() {
	for !e.gone() {
		time.Sleep(20 * time.Millisecond)
		e.mutex.Lock()
		if len(e.runs) > 0 && e.clockMs() >= e.expiryMs {
			for _, run := range e.runs {
				e.end(run, "lapsed")
			}
		}
		e.mutex.Unlock()
	}
}

// end lists the end of a run. The caller holds the lock.
func (e *executor) end(run *taskRun, how string) {
	if e.runs[run.task] != run {
		return
	}
	delete(e.runs, run.task)
	e.highest[run.task] = max(e.highest[run.task], run.run)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, run.task, run.run, how, ""})
	e.record.write("executor", e.id, "end", fmt.Sprint(e.lastEnd), run.task, fmt.Sprint(run.run), how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task-id"`
	Run        int64  `json:"run-id"`
	Descriptor string `json:"task-descriptor"`
	ExpiryMs   int64  `json:"expiry-ms"`
	Fence      uint64 `json:"fence-number"`
	LastSeen   int64  `json:"last-seen"`
	WaitMs     int64  `json:"wait-time-ms"`
}

func (e *executor) serve(writer http.ResponseWriter, request *http.Request) {
	var body orderBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != e.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case strings.HasSuffix(request.URL.Path, "/run-start"):
		e.mutex.Lock()
		status, reason := e.start(&body)
		clock := e.clockMs()
		e.mutex.Unlock()
		e.reply(writer, status, map[string]any{"clock-ms": clock}, reason)
		if status == 200 && e.onStart != nil {
			e.onStart(e, body.Task, body.Run)
		}
	case strings.HasSuffix(request.URL.Path, "/run-stop"):
		e.mutex.Lock()
		status, reason := e.stop(&body)
		clock := e.clockMs()
		e.mutex.Unlock()
		e.reply(writer, status, map[string]any{"clock-ms": clock}, reason)
	case strings.HasSuffix(request.URL.Path, "/hold"):
		e.hold(writer, request, &body)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) reply(writer http.ResponseWriter, status int, answer map[string]any, reason string) {
	if reason != "" {
		answer["reason"] = reason
	}
	text, _ := json.Marshal(answer)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	writer.Write(text)
}

// extend never shortens the hold and cuts it to the longest one.
func (e *executor) extend(expiryMs int64) {
	e.expiryMs = max(e.expiryMs, min(expiryMs, e.clockMs()+e.maxHold.Milliseconds()))
}

func (e *executor) start(order *orderBody) (int, string) {
	if order.Fence < e.fence {
		return 409, "fence"
	}
	e.fence = order.Fence
	present := e.runs[order.Task]
	switch {
	case present != nil && present.run == order.Run:
		e.extend(order.ExpiryMs)
		return 200, ""
	case order.Run <= e.highest[order.Task]:
		e.extend(order.ExpiryMs)
		return 409, "old"
	case order.ExpiryMs <= e.clockMs():
		return 409, "late"
	}
	e.extend(order.ExpiryMs)
	run := &taskRun{task: order.Task, run: order.Run, started: time.Now()}
	var ms int64
	if _, err := fmt.Sscan(order.Descriptor, &ms, &run.cpu, &run.memory); err != nil {
		return 400, ""
	}
	run.length = time.Duration(ms) * time.Millisecond
	cpu, memory := run.cpu, run.memory
	for _, other := range e.runs {
		cpu, memory = cpu+other.cpu, memory+other.memory
	}
	if cpu > e.cpu || memory > e.memory || present != nil {
		return 409, "room"
	}
	e.runs[order.Task] = run
	e.record.write("executor", e.id, "start", order.Task, fmt.Sprint(order.Run), "fence", fmt.Sprint(order.Fence))
	time.AfterFunc(run.length, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.end(run, "done")
	})
	return 200, ""
}

func (e *executor) stop(order *orderBody) (int, string) {
	if order.Fence < e.fence {
		return 409, "fence"
	}
	e.fence = order.Fence
	e.highest[order.Task] = max(e.highest[order.Task], order.Run)
	if run := e.runs[order.Task]; run != nil && run.run <= order.Run {
		time.AfterFunc(e.stopTimeout/2, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.end(run, "stopped")
		})
	}
	return 200, ""
}

func (e *executor) hold(writer http.ResponseWriter, request *http.Request, body *orderBody) {
	e.mutex.Lock()
	if body.Fence < e.fence {
		clock := e.clockMs()
		e.mutex.Unlock()
		e.reply(writer, 409, map[string]any{"clock-ms": clock}, "fence")
		return
	}
	e.fence = body.Fence
	if body.ExpiryMs > 0 {
		e.extend(body.ExpiryMs)
	}
	for len(e.ends) > 0 && e.ends[0][0].(int64) <= body.LastSeen {
		e.ends = e.ends[1:]
	}
	changed := e.changed
	isWaiting := body.WaitMs > 0 && len(e.ends) == 0
	e.mutex.Unlock()
	if isWaiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(body.WaitMs, 2000)) * time.Millisecond):
		case <-request.Context().Done():
			return
		}
	}
	e.mutex.Lock()
	running := [][]any{}
	for _, run := range e.runs {
		percent := int64(100)
		if run.length > 0 {
			percent = min(99, int64(100*time.Since(run.started)/run.length))
		}
		running = append(running, []any{run.task, run.run, "", percent})
	}
	answer := map[string]any{"clock-ms": e.clockMs(), "running-count": running, "end-state": e.ends[:min(len(e.ends), 500)]}
	if len(e.ends) == 0 {
		answer["end-state"] = [][]any{}
	}
	text, _ := json.Marshal(answer)
	e.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.Write(text)
}
