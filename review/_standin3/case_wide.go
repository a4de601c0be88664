package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["wide"] = runWide }

func runWide(c *cluster, isTrouble bool) int {
	const stewards, gates = 3, 2
	executors, err := c.startAll(stewards, gates, env("EXECUTORS", 4), "ledger", 64000, 131072)
	if err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	if err := c.configure(stewards, 0, configurationOf(1, []string{"ledger"}, 262144,
		routeSpec{name: "sales", prefix: "/sales/", kind: "non_idempotent", service: "ledger", attempts: 4})); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	units := env("UNITS", 10)
	descriptor := fmt.Sprintf("%d %d 10 ", env("MS", 3000), units)
	if isTrouble {
		descriptor += strings.Repeat("x", 4000-len(descriptor))
	}
	job := fmt.Appendf(nil, `{"task-descriptor":"%s","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":10,"estimated-ms":3000}]}`, descriptor, env("TASKS", 20000), units)
	c.record.printf("job: %d", c.submit(gates, "/sales/", "b000000000000001", job, 4))
	for range 40 {
		time.Sleep(time.Second)
		running, ends := 0, int64(0)
		for _, e := range executors {
			e.mutex.Lock()
			running += len(e.runs)
			ends += e.lastEnd
			e.mutex.Unlock()
		}
		status, state := c.state(1, "/sales/", "b000000000000001")
		c.record.printf("running %d, ends %d, state %d %s", running, ends, status, state)
		if state == "completed" {
			return held
		}
	}
	return broken
}
