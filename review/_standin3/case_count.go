package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["count"] = runCount }

// runCount hands in jobs to a queue, of which most have to wait for room. Then a configuration moves the queue to another service (with
// TROUBLE=0 it changes only a time-out). Clients ask for the count of the jobs that have not begun.
func runCount(c *cluster, isTrouble bool) int {
	const stewards, gates, perService = 3, 2, 2
	jobs := 1500
	begun := map[string]bool{}
	var mutex sync.Mutex
	for number := range stewards {
		c.seeds = append(c.seeds, c.control(number+1))
	}
	for number := range stewards {
		c.add("steward", number+1, "")
	}
	for number := range gates {
		c.add("gate", number+1, "")
	}
	services := []string{"ledger", "ledger-next"}
	for number := range perService * len(services) {
		service := services[number/perService]
		e := newExecutor(c, number+1, service, 4000, 8192)
		e.onStart = func(_ *executor, task string, _ int64) {
			id, _, _ := strings.Cut(task, ".")
			mutex.Lock()
			begun[id] = true
			mutex.Unlock()
		}
		if err := e.run(); err != nil {
			return couldNot
		}
		c.add("local-proxy", number+1, service)
	}
	route := routeSpec{name: "weeks", prefix: "/weeks/", kind: "non_idempotent", service: "ledger", attempts: 4}
	if err := c.configure(stewards, 0, configurationOf(1, services, 262144, route)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	job := []byte(`{"task-descriptor":"4000 4000 1000","step-list":[{"task-count":1,"cpu-units":4000,"memory-req-mb":1000,"estimated-ms":4000}]}`)
	var accepted []string
	var clients sync.WaitGroup
	for client := range 12 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := client; number < jobs; number += 12 {
				id := fmt.Sprintf("b%015x", number)
				if c.submit(gates, "/weeks/", id, job, 5)/100 == 2 {
					mutex.Lock()
					accepted = append(accepted, id)
					mutex.Unlock()
				}
			}
		}()
	}
	clients.Wait()
	// visible_ms + 2 s, so that the rule holds for all jobs.
	time.Sleep(6 * time.Second)
	if isTrouble {
		route.service = "ledger-next"
	} else {
		route.extra = map[string]any{"timeout-ms": 2900}
	}
	if err := c.configure(stewards, 1, configurationOf(2, services, 262144, route)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	acknowledged := time.Now()
	wrong, asked, longest := 0, 0, time.Duration(0)
	var wrongSince time.Time
	for time.Since(acknowledged) < 20*time.Second {
		for gate := range gates {
			sent := time.Now()
			got := call("GET", c.front(gate+1), jobHost, "/weeks/", map[string]string{"X-Time-Remaining": "3000"}, nil, 3*time.Second)
			mutex.Lock()
			waiting := len(accepted)
			for _, id := range accepted {
				if begun[id] {
					waiting--
				}
			}
			mutex.Unlock()
			var decoded struct {
				Count *int `json:"waiting-count"`
			}
			json.Unmarshal(got.body, &decoded)
			if got.status != 200 || decoded.Count == nil {
				c.record.write("client GET count at", c.front(gate+1), "->", fmt.Sprint(got.status))
				continue
			}
			asked++
			c.record.write("client GET count at", c.front(gate+1), "->", fmt.Sprint(*decoded.Count), "of", fmt.Sprint(waiting), "that wait")
			if 2**decoded.Count < waiting {
				if wrongSince.IsZero() {
					wrongSince = sent
				}
				longest = max(longest, time.Since(wrongSince))
				wrong++
				c.record.printf("%.0f ms after the acknowledgement: waiting-count %d, but %d accepted jobs have not begun", float64(sent.Sub(acknowledged).Milliseconds()), *decoded.Count, waiting)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.record.printf("accepted %d; %d counts asked, %d under half, over %d ms", len(accepted), asked, wrong, longest.Milliseconds())
	if len(accepted) < jobs/2 || asked == 0 {
		return couldNot
	}
	if wrong > 0 {
		return broken
	}
	return held
}
