package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func init() { cases["first"] = runFirst }

// startPlatform serves the platform's list of executors.
func (c *cluster) startPlatform(list func() []map[string]any) error {
	c.platform = net.JoinHostPort(c.address(5, 1), "8090")
	listener, err := net.Listen("tcp4", c.platform)
	if err != nil {
		return err
	}
	go http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		text, _ := json.Marshal(map[string]any{"instance-list": list(), "next-token": nil})
		writer.Header().Set("Content-Type", "application/json")
		writer.Write(text)
	}))
	return nil
}

func lotBody(number, items, itemBytes int) []byte {
	var list []map[string]any
	for index := range items {
		content := bytes.Repeat([]byte{byte(index)}, itemBytes)
		list = append(list, map[string]any{"executor-id": fmt.Sprintf("e%07x%08x", number, index), "path": "/drafts/3/91c4",
			"header-list": map[string]string{"X-Model-Name": "m", "X-Token-Usage": "540,400"}, "body": base64.StdEncoding.EncodeToString(content), "token-count": 940})
	}
	var text bytes.Buffer
	json.NewEncoder(&text).Encode(map[string]any{"item-list": list})
	return text.Bytes()
}

func (c *cluster) lot(gates int, id string, body []byte, tries int) int {
	status := 0
	for attempt := range tries {
		target := c.front(attempt%gates + 1)
		got := call("POST", target, jobHost, "/drafts/"+id, map[string]string{"X-Request-Id": id, "X-Time-Remaining": "4000"}, body, 4*time.Second)
		status = got.status
		c.record.write("client", "POST lot", id, fmt.Sprint(len(body)), "bytes at", target, "->", fmt.Sprint(status), got.took.Round(time.Millisecond).String())
		if status == 202 || status == 400 || status == 413 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status
}

// streamExecutor is a stand-in of a model executor: it answers each request with a stream of five events, and goes on after Last-Event-Id.
type streamExecutor struct {
	id, address, zone string
	record            *recorder
}

const streamEvents = 5

func (e *streamExecutor) run() error {
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	go http.Serve(listener, http.HandlerFunc(e.serve))
	return nil
}

func (e *streamExecutor) entry() map[string]any {
	return map[string]any{"executor-id": e.id, "service": "sage", "address": e.address, "zone": e.zone, "config-version": "v1", "slot-count": 8,
		"executor-state": "ready", "cold-remaining-ms": 0, "serving-stage": "both", "model-list": []any{}}
}

func (e *streamExecutor) serve(writer http.ResponseWriter, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	writer.Header().Set("X-Executor-Id", e.id)
	if request.Method == http.MethodGet {
		writer.Write([]byte("{}"))
		return
	}
	id := request.Header.Get("X-Request-Id")
	writer.Header().Set("X-Request-Id", id)
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != e.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	e.record.write("executor", e.id, "runs", id, "from", strconv.Itoa(first+1))
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Server-Seal", "3e1b")
	for number := first + 1; number <= streamEvents; number++ {
		fmt.Fprintf(writer, "id: %d\ndata: piece %d of %s\n\n", number, number, id)
		writer.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// runFirst starts a deployment for the first time and hands in lots and streams once the traffic starts. With the disruption the storage
// machines start 0.25 s after the others; the operator sends the first configuration from the start in both cases, until it is taken.
func runFirst(c *cluster, isTrouble bool) int {
	const stewards, gates, storages = 3, 2, 3
	c.contracts = []string{"base", "drain", "config", "cost", "recover", "health", "pool", "batch", "stream", "engine"}
	c.memoryMB = 294
	var executors []map[string]any
	for number := range 3 {
		e := &streamExecutor{id: fmt.Sprintf("i-%08d", number+1), address: c.app(number + 1), zone: fmt.Sprintf("zone-%d", number+1), record: c.record}
		if err := e.run(); err != nil {
			return couldNot
		}
		executors = append(executors, e.entry())
	}
	if err := c.startPlatform(func() []map[string]any { return executors }); err != nil {
		return couldNot
	}
	for number := range stewards {
		c.seeds = append(c.seeds, c.control(number+1))
	}
	begun := time.Now()
	startStorages := func() {
		for number := range storages {
			c.add("storage", number+1, "")
		}
	}
	if !isTrouble {
		startStorages()
	}
	for number := range stewards {
		c.add("steward", number+1, "")
	}
	for number := range gates {
		c.add("gate", number+1, "")
	}
	if isTrouble {
		time.AfterFunc(250*time.Millisecond-time.Since(begun), startStorages)
	}
	if err := c.configure(stewards, 0, configurationOf(1, []string{"sage"}, 4194304,
		routeSpec{name: "drafts", prefix: "/drafts/", kind: "batch", service: "sage", attempts: 3, extra: map[string]any{"result-deadline-ms": 8000, "max-queue-s": 600.0}},
		routeSpec{name: "asks", prefix: "/asks/", kind: "streaming", service: "sage", attempts: 1})); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	c.record.printf("the first configuration was acknowledged %.2f s after the start", time.Since(begun).Seconds())
	// Traffic starts 14 s after the machines.
	time.Sleep(14*time.Second - time.Since(begun))
	lots, accepted, complete, streams, served := 0, 0, 0, 0, 0
	for traffic := time.Now(); time.Since(traffic) < 25*time.Second; {
		id := fmt.Sprintf("%016x", 0x100+lots)
		lots++
		if c.lot(gates, id, lotBody(lots, 10, 1600), 2) == 202 {
			accepted++
			if c.isLotComplete(gates, id, 10) {
				complete++
			}
		}
		for range 5 {
			streams++
			id := fmt.Sprintf("%016x", 0x10000+streams)
			got := call("POST", c.front(streams%gates+1), jobHost, "/asks/1", map[string]string{"X-Request-Id": id, "X-Time-Remaining": "2000"}, []byte("x"), 2*time.Second)
			c.record.write("client POST stream", id, "->", fmt.Sprint(got.status))
			if got.status == 200 && strings.Count(string(got.body), "data:") == streamEvents {
				served++
			}
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.record.printf("lots: %d handed in, %d accepted, %d complete; streams: %d sent, %d served", lots, accepted, complete, streams, served)
	if served < streams/2 {
		return couldNot
	}
	// "Starved": a kind of request is served less than a quarter as often as all requests.
	if share := float64(complete) / float64(lots); share < float64(served+complete)/float64(streams+lots)/4 {
		return broken
	}
	return held
}

// isLotComplete reads the results of a lot until all are there, for 6 s at most.
func (c *cluster) isLotComplete(gates int, id string, items int) bool {
	for reading := time.Now(); time.Since(reading) < 6*time.Second; {
		got := call("GET", c.front(1), jobHost, "/v1/lots/"+id+"?depends-on=0", map[string]string{"X-Wait-Time": "1000"}, nil, 2500*time.Millisecond)
		var list struct {
			Results []struct {
				State string `json:"executor-state"`
			} `json:"result-list"`
		}
		json.Unmarshal(got.body, &list)
		c.record.write("client GET lot", id, "->", fmt.Sprint(got.status, " ", len(list.Results)))
		if len(list.Results) == items {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
