package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stream-cut-on-leaving"] = streamCutOnLeaving }

// keptClient is a client that keeps one connection to a gate.
type keptClient struct {
	name   string
	gate   *node
	client *http.Client
	record *record
}

func newKeptClient(name string, gate *node, record *record) *keptClient {
	return &keptClient{name: name, gate: gate, record: record, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}}}
}

// stream asks for a stream of events and returns whether it was passed to the gate over the kept connection, and whether it came whole.
func (k *keptClient) stream(id string, events, gapMs int) (isReused, isWhole bool, ending string) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { isReused = info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), "POST",
		fmt.Sprintf("http://%s%s%s/%d-%d", k.gate.front(), askPrefix, id, events, gapMs), strings.NewReader("who can cover"))
	must(err, "building a request")
	request.Host, request.GetBody = tierHost, nil
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Bearer key-north-1")
	request.Header.Set("X-Time-Remaining", "4000")
	request.Header.Set("X-Model-Name", "m")
	request.Header.Set("X-Token-Usage", "1460,80")
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410")
	k.record.line("%s: sends %s to %s", k.name, id, k.gate.name)
	answer, err := k.client.Do(request)
	if err != nil {
		k.record.line("%s: %s -> %v", k.name, id, err)
		return isReused, false, err.Error()
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	got := strings.Count(string(body), "data: ")
	ending = fmt.Sprintf("status %d, %d of %d events, error %v", answer.StatusCode, got, events, err)
	k.record.line("%s: %s -> %s", k.name, id, ending)
	return isReused, err == nil && answer.StatusCode == 200 && got == events, ending
}

// streamCutOnLeaving: a gate gets SIGTERM. Clients with kept connections send streams until 3 s after it; their executors end each of them
// before the last sixth of grace-period-s. All of them have to come whole.
func streamCutOnLeaving(env *environment) (bool, string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := tierPlan
	p.storages = 0
	c := env.cluster(p)
	c.startExecutors(ctx, 3, 8, tierService)
	c.startAll()
	if answer := c.replace(tierConfiguration(1, false, map[string][]string{"north": {"key-north-1"}}), 0); answer.status != 200 {
		giveUp("the configuration was not acknowledged")
	}
	c.waitReady(20 * time.Second)
	time.Sleep(5 * time.Second)
	gate := c.of("gate")[0]
	// The time of each request after the SIGTERM, and the length of its stream, in ms. The last sixth of the grace period of 8 s begins at 6,667.
	sends := []struct{ atMs, lengthMs int }{{-1000, 3600}, {300, 3700}, {1200, 3700}, {2000, 3700}, {2500, 3800}, {2700, 3700}, {2700, 3800}}
	var clients []*keptClient
	for number := range sends {
		k := newKeptClient(fmt.Sprintf("client-%d", number+1), gate, env.record)
		if _, isWhole, ending := k.stream(fmt.Sprintf("%016x", number+1), 2, 20); !isWhole {
			giveUp("a stream failed before the disruption: %s", ending)
		}
		clients = append(clients, k)
	}
	// No trouble from contact-window-ms (4,000) before the first request.
	time.Sleep(4500 * time.Millisecond)
	termAt := time.Now().Add(1200 * time.Millisecond)
	var mutex sync.Mutex
	var cut []string
	var group sync.WaitGroup
	for number, send := range sends {
		group.Add(1)
		go func() {
			defer group.Done()
			time.Sleep(time.Until(termAt.Add(time.Duration(send.atMs) * time.Millisecond)))
			id := fmt.Sprintf("%016x", 0x100+number)
			isReused, isWhole, ending := clients[number].stream(id, send.lengthMs/100, 100)
			if !isReused || isWhole {
				env.record.line("%s: kept connection %v, whole %v", clients[number].name, isReused, isWhole)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			cut = append(cut, fmt.Sprintf("the stream sent %d ms after the SIGTERM, which ends %d ms after it (%s)", send.atMs, send.atMs+send.lengthMs, ending))
		}()
	}
	time.Sleep(time.Until(termAt))
	if env.hasTrouble {
		c.signal(gate, syscall.SIGTERM)
	}
	group.Wait()
	env.record.line("%d streams were cut", len(cut))
	if len(cut) == 0 {
		return false, "all streams came whole"
	}
	return true, fmt.Sprintf("%d of %d streams were cut: %s", len(cut), len(sends), strings.Join(cut, "; "))
}
