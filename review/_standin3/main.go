package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases maps the name of a case to its test. isTrouble is false for the run without the disruption.
var cases = map[string]func(c *cluster, isTrouble bool) int{}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(couldNot)
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	c, err := newCluster(record)
	if err != nil {
		record.printf("could not run: %v", err)
		os.Exit(couldNot)
	}
	watchdog := time.AfterFunc(115*time.Second, func() {
		record.printf("could not run: over 115 s")
		c.close()
		os.Exit(couldNot)
	})
	code := cases[os.Args[1]](c, os.Getenv("TROUBLE") != "0")
	watchdog.Stop()
	c.close()
	record.printf("exit %d", code)
	os.Exit(code)
}

// startCluster starts stewards, gates and executors with their local proxies.
func (c *cluster) startAll(stewards, gates, executors int, service string, cpu, memory int64) ([]*executor, error) {
	for number := range min(stewards, 3) {
		c.seeds = append(c.seeds, c.control(number+1))
	}
	for number := range stewards {
		if err := c.add("steward", number+1, ""); err != nil {
			return nil, err
		}
	}
	for number := range gates {
		if err := c.add("gate", number+1, ""); err != nil {
			return nil, err
		}
	}
	var all []*executor
	for number := range executors {
		e := newExecutor(c, number+1, service, cpu, memory)
		if err := e.run(); err != nil {
			return nil, err
		}
		all = append(all, e)
		if err := c.add("local-proxy", number+1, service); err != nil {
			return nil, err
		}
	}
	return all, nil
}
