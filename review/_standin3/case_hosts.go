package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["hosts"] = runHosts }

// runHosts sends a configuration whose two routes have the same prefix and the same host. With the disruption the second host is written in
// capitals, with TROUBLE=0 both are written alike. If it is acknowledged, jobs are handed in to see which service runs them.
func runHosts(c *cluster, isTrouble bool) int {
	const stewards, gates, jobs = 3, 2, 10
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
	starts := map[string]map[string]int{"5a1e": {}, "f11e": {}}
	for number, service := range services {
		e := newExecutor(c, number+1, service, 64000, 131072)
		e.onStart = func(e *executor, task string, _ int64) {
			mutex.Lock()
			defer mutex.Unlock()
			if counts := starts[task[:4]]; counts != nil {
				counts[e.service]++
			}
		}
		if err := e.run(); err != nil {
			return couldNot
		}
		c.add("local-proxy", number+1, service)
	}
	first := routeSpec{name: "r-sales", prefix: "/sales/", kind: "non_idempotent", service: "ledger", attempts: 4}
	if err := c.configure(stewards, 0, configurationOf(1, services, 262144, first)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	second := routeSpec{name: "r-files", prefix: "/sales/", kind: "non_idempotent", service: "archive", attempts: 4}
	otherHost := jobHost
	if isTrouble {
		otherHost = strings.ToUpper(jobHost)
	}
	second.extra = map[string]any{"host": otherHost}
	text := configurationOf(2, services, 262144, first, second)
	var shown any
	json.Unmarshal(text, &shown)
	err := c.configure(stewards, 1, text)
	c.record.printf("a configuration with two routes of /sales/, at the hosts %s and %s: %v", jobHost, otherHost, map[bool]string{true: "acknowledged", false: fmt.Sprint(err)}[err == nil])
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return held
		}
		return couldNot
	}
	time.Sleep(2500 * time.Millisecond) // config-apply-ms and a little more
	job := []byte(`{"task-descriptor":"200 1000 1000","step-list":[{"task-count":1,"cpu-units":1000,"memory-req-mb":1000,"estimated-ms":200}]}`)
	for number := range jobs {
		for prefix, host := range map[string]string{"5a1e": jobHost, "f11e": otherHost} {
			id := fmt.Sprintf("%s%012x", prefix, number)
			got := call("POST", c.front(number%gates+1), host, "/sales/"+id, map[string]string{"X-Time-Remaining": "3000"}, job, 3*time.Second)
			c.record.write("client POST", id, "to host", host, "->", fmt.Sprint(got.status))
		}
	}
	time.Sleep(4 * time.Second)
	mutex.Lock()
	defer mutex.Unlock()
	c.record.printf("starts of the jobs of %s by service: %v; of those of %s: %v", jobHost, starts["5a1e"], otherHost, starts["f11e"])
	return broken
}
