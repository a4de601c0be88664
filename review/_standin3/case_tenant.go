package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["tenant"] = runTenant }

// runTenant hands in jobs of one tenant, of which most have to wait for room. Then a configuration takes the tenant away (with TROUBLE=0 it adds
// a key to another tenant). The jobs have to go on.
func runTenant(c *cluster, isTrouble bool) int {
	const stewards, gates, jobs = 3, 2, 12
	c.contracts = []string{"base", "drain", "config", "cost", "recover", "sched", "keys", "quota", "tenants"}
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
	begun := map[string]bool{}
	var executors []*executor
	for number, service := range services {
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
		if service == "ledger" {
			executors = append(executors, e)
		}
		c.add("local-proxy", number+1, service)
	}
	routes := []routeSpec{{name: "sales", prefix: "/sales/", kind: "non_idempotent", service: "ledger", attempts: 4}, {name: "files", prefix: "/files/", kind: "non_idempotent", service: "archive", attempts: 4}}
	tenants := `[{"name":"north","api-keys":["kn"],"weight":5,"upper-limit":{"cpu-units":100000,"memory-req-mb":100000}},{"name":"south","api-keys":["ks"],"weight":5,"upper-limit":{"cpu-units":100000,"memory-req-mb":100000}}]`
	with := func(version int, tenants string) []byte {
		text := string(configurationOf(version, services, 262144, routes...))
		return []byte(strings.Replace(text, `"service-list"`, `"tenant-list":`+tenants+`,"service-list"`, 1))
	}
	if err := c.configure(stewards, 0, with(1, tenants)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(3 * time.Second)
	job := []byte(`{"task-descriptor":"2000 4000 1000","step-list":[{"task-count":1,"cpu-units":4000,"memory-req-mb":1000,"estimated-ms":2000}]}`)
	accepted := 0
	for number := range jobs {
		id := fmt.Sprintf("5a1e%012x", number)
		got := call("POST", c.front(number%gates+1), jobHost, "/sales/"+id, map[string]string{"X-Time-Remaining": "3000", "Authorization": "Bearer kn"}, job, 3*time.Second)
		c.record.write("client POST", id, "->", fmt.Sprint(got.status))
		if got.status == 200 {
			accepted++
		}
	}
	time.Sleep(3 * time.Second)
	next := strings.Replace(tenants, `"ks"`, `"ks","ks2"`, 1)
	if isTrouble {
		next = `[{"name":"south","api-keys":["ks"],"weight":5,"upper-limit":{"cpu-units":100000,"memory-req-mb":100000}}]`
	}
	if err := c.configure(stewards, 1, with(2, next)); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	// The jobs need 24 s one after the other. finish_s is 14.
	idle, idleSince := time.Duration(0), time.Time{}
	for asking := time.Now(); time.Since(asking) < 24*time.Second+14*time.Second; time.Sleep(20 * time.Millisecond) {
		mutex.Lock()
		isWaiting := len(begun) < accepted
		mutex.Unlock()
		switch {
		case !isWaiting || c.busyShare(executors) >= 0.5:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			idle = max(idle, time.Since(idleSince))
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	c.record.printf("accepted %d jobs, %d have begun; with jobs that wait the executor of their service stood empty for up to %.1f s in a row", accepted, len(begun), idle.Seconds())
	if accepted < jobs/2 {
		return couldNot
	}
	if len(begun) < accepted && idle > 3*time.Second {
		return broken
	}
	return held
}
