package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["retire"] = runRetire }

// runRetire hands in lots, and then the operator orders three of six storage machines to be emptied, all at once. Three machines remain, as many as the loss of one machine takes. A machine
// that is shown as completed is removed at once, disk included. With TROUBLE=0 only the first order is sent.
func runRetire(c *cluster, isTrouble bool) int {
	const stewards, gates, storages = 3, 2, 6
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
	for number := range storages {
		c.add("storage", number+1, "")
	}
	for number := range stewards {
		c.add("steward", number+1, "")
	}
	for number := range gates {
		c.add("gate", number+1, "")
	}
	time.Sleep(3 * time.Second)
	if err := c.configure(stewards, 0, configurationOf(1, []string{"sage"}, 4194304,
		routeSpec{name: "drafts", prefix: "/drafts/", kind: "batch", service: "sage", attempts: 3, extra: map[string]any{"result-deadline-ms": 8000, "max-queue-s": 600.0}})); err != nil {
		c.record.printf("could not run: %v", err)
		return couldNot
	}
	time.Sleep(10 * time.Second)
	const lots, items = 10, 10
	for number := range lots {
		id := fmt.Sprintf("%016x", 0x100+number)
		if c.lot(gates, id, lotBody(number, items, 1600), 5) != 202 || !c.isLotComplete(gates, id, items) {
			c.record.printf("could not run: a lot was not taken or not completed")
			return couldNot
		}
	}
	orders := 3
	if !isTrouble {
		orders = 1
	}
	var retiring sync.WaitGroup
	var accepted atomic.Int64
	for number := range orders {
		node := fmt.Sprintf("storage-%d", number+1)
		retiring.Add(1)
		go func() {
			defer retiring.Done()
			got := call("POST", c.control(number%stewards+1), "", "/v1/retire/"+node+"/initiate", nil, []byte(`{"rollout-period-s":10}`), time.Second)
			c.record.printf("retire %s: %d %s", node, got.status, got.body)
			if got.status == 200 {
				accepted.Add(1)
				c.removeOnceEmpty(node, 25*time.Second)
			}
		}()
	}
	retiring.Wait()
	// The end of the day: the lots are read from the start, again after every failure, for 15 s.
	unread := map[string]string{}
	for number := range lots {
		unread[fmt.Sprintf("%016x", 0x100+number)] = ""
	}
	for reading := time.Now(); len(unread) > 0 && time.Since(reading) < 15*time.Second; {
		for id := range unread {
			got := call("GET", c.front(1), jobHost, "/v1/lots/"+id+"?depends-on=0", nil, nil, 1500*time.Millisecond)
			var list struct {
				Results []any `json:"result-list"`
			}
			json.Unmarshal(got.body, &list)
			c.record.write("client GET lot", id, "->", fmt.Sprint(got.status, " ", len(list.Results)))
			unread[id] = fmt.Sprint(got.status)
			if len(list.Results) == items {
				delete(unread, id)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.record.printf("orders accepted: %d of %d; lots that can't be read: %d of %d %v", accepted.Load(), orders, len(unread), lots, unread)
	if len(unread) > 0 {
		return broken
	}
	return held
}

// removeOnceEmpty asks for the progress of a machine that is being emptied, and removes the machine with its disk once it is completed.
func (c *cluster) removeOnceEmpty(node string, limit time.Duration) {
	last := ""
	for asking := time.Now(); time.Since(asking) < limit; time.Sleep(300 * time.Millisecond) {
		got := call("GET", c.control(1), "", "/v1/retire/"+node+"/retrieve", nil, nil, time.Second)
		text := fmt.Sprint(got.status, " ", string(got.body))
		if text != last {
			last = text
			c.record.printf("state of %s: %s", node, text)
		}
		var state struct {
			State string `json:"executor-state"`
		}
		json.Unmarshal(got.body, &state)
		if state.State == "completed" {
			c.signal(node, syscall.SIGKILL)
			os.RemoveAll(filepath.Join(c.folder, node+".data"))
			return
		}
	}
}
