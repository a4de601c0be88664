package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelExecutor is a stand-in for a sound model executor. It works on slots requests at once, queues none, and turns further ones away
// with X-Not-Executed. The path of a request ends with EVENTS-GAPMS: the number of events of its answer and the time between them.
type modelExecutor struct {
	id, address, service, zone string
	slots                      int
	record                     *record

	mutex   sync.Mutex
	running int
	// lastEnd is when the last request ended.
	lastEnd time.Duration
}

func (e *modelExecutor) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health" {
		to.Header().Set("X-Executor-Id", e.id)
		return
	}
	id := request.Header.Get("X-Request-Id")
	to.Header().Set("X-Request-Id", id)
	to.Header().Set("X-Server-Seal", "seal."+e.id)
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != e.id {
		to.Header().Set("X-Not-Executed", "1")
		to.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mutex.Lock()
	isFull := e.running >= e.slots
	if !isFull {
		e.running++
	}
	e.mutex.Unlock()
	if isFull {
		to.Header().Set("X-Not-Executed", "1")
		to.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.record.line("%s: begins %s (tenant %q)", e.id, id, request.Header.Get("X-Tenant"))
	outcome := "complete"
	defer func() {
		e.mutex.Lock()
		e.running--
		e.lastEnd = e.record.now()
		e.mutex.Unlock()
		e.record.line("%s: ends %s, %s", e.id, id, outcome)
	}()
	events, gap := shapeOf(request.URL.Path)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	to.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(to)
	_ = controller.Flush()
	for number := last + 1; number <= events; number++ {
		select {
		case <-request.Context().Done():
			outcome = fmt.Sprintf("its connection was closed before event %d of %d", number, events)
			return
		case <-time.After(gap):
		}
		fmt.Fprintf(to, "id: %d\ndata: %s.%d\n\n", number, id, number)
		if controller.Flush() != nil {
			outcome = fmt.Sprintf("its connection was closed at event %d of %d", number, events)
			return
		}
	}
}

func (e *modelExecutor) load() (running int, lastEnd time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running, e.lastEnd
}

// shapeOf reads EVENTS-GAPMS from the end of a path.
func shapeOf(path string) (events int, gap time.Duration) {
	last := path[strings.LastIndexByte(path, '/')+1:]
	count, gapMs, _ := strings.Cut(last, "-")
	events, _ = strconv.Atoi(count)
	milliseconds, _ := strconv.Atoi(gapMs)
	return max(1, events), time.Duration(milliseconds) * time.Millisecond
}

// serve serves HTTP on an address until the context is done.
func serve(ctx context.Context, address string, handler http.Handler) {
	listener, err := net.Listen("tcp4", address)
	must(err, "listening at "+address)
	server := &http.Server{Handler: handler}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
}

// startExecutors starts model executors and the platform's list of them.
func (c *cluster) startExecutors(ctx context.Context, count, slots int, service string) []*modelExecutor {
	var all []*modelExecutor
	var listed []map[string]any
	for number := range count {
		e := &modelExecutor{id: fmt.Sprintf("i-%04d", number+1), address: c.executorAddress(number), service: service,
			zone: fmt.Sprintf("zone-%d", number%max(1, c.zones)+1), slots: slots, record: c.record}
		serve(ctx, e.address, e)
		all = append(all, e)
		listed = append(listed, map[string]any{"executor-id": e.id, "service": service, "address": e.address, "zone": e.zone, "config-version": "v1",
			"slot-count": slots, "executor-state": "ready", "cold-remaining-ms": 0, "serving-stage": "both",
			"model-list": []map[string]any{{"name": "m", "config-version": 1, "adapter-list": []string{}}}})
	}
	page, err := json.Marshal(map[string]any{"instance-list": listed, "next-token": nil})
	must(err, "encoding the list of executors")
	serve(ctx, c.platformAddress(), http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Type", "application/json")
		_, _ = to.Write(page)
	}))
	return all
}
