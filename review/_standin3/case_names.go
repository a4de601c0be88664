package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["names"] = runNames }

// runNames hands in jobs to a queue whose path prefix leads to one service under every configuration. With the disruption a configuration
// gives the queue's route another name, and its former name to a new route that leads to another service.
func runNames(c *cluster, isTrouble bool) int {
	const stewards, gates, perService, jobs = 3, 2, 2, 40
	for number := range stewards {
		c.seeds = append(c.seeds, c.control(number+1))
	}
	for number := range stewards {
		c.add("steward", number+1, "")
	}
	for number := range gates {
		c.add("gate", number+1, "")
	}
	services := []string{"ledger", "archive"}
	var mutex sync.Mutex
	starts := map[string]int{}
	for number := range perService * len(services) {
		service := services[number/perService]
		e := newExecutor(c, number+1, service, 4000, 8192)
		e.onStart = func(e *executor, task string, _ int64) {
			mutex.Lock()
			defer mutex.Unlock()
			if strings.HasPrefix(task, "5a1e") {
				starts[e.service]++
			}
		}
		if err := e.run(); err != nil {
			return couldNot
		}
		c.add("local-proxy", number+1, service)
	}
	sales := routeSpec{name: "r-first", prefix: "/sales/", kind: "non_idempotent", service: "ledger", attempts: 4}
	if err := c.configure(stewards, 0, configurationOf(1, services, 262144, sales)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	job := []byte(`{"task-descriptor":"1000 4000 1000","step-list":[{"task-count":1,"cpu-units":4000,"memory-req-mb":1000,"estimated-ms":1000}]}`)
	var accepted []string
	for number := range jobs {
		id := fmt.Sprintf("5a1e%012x", number)
		if c.submit(gates, "/sales/", id, job, 5)/100 == 2 {
			accepted = append(accepted, id)
		}
	}
	archive := routeSpec{name: "r-second", prefix: "/files/", kind: "non_idempotent", service: "archive", attempts: 4}
	if isTrouble {
		sales.name, archive.name = archive.name, sales.name
	}
	if err := c.configure(stewards, 1, configurationOf(2, services, 262144, sales, archive)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	for begun := time.Now(); time.Since(begun) < 30*time.Second; time.Sleep(500 * time.Millisecond) {
		completed := 0
		for _, id := range accepted {
			if _, state := c.state(1, "/sales/", id); state == "completed" {
				completed++
			}
		}
		if completed == len(accepted) {
			break
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	c.record.printf("accepted %d jobs under /sales/, which leads to \"ledger\" under both configurations; starts by the service of the executor: %v", len(accepted), starts)
	switch {
	case len(accepted) < jobs/2 || starts["ledger"] == 0:
		return couldNot
	case starts["archive"] > 0:
		return broken
	}
	return held
}
