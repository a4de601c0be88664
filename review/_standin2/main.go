// Command cases runs one case of the review. It starts the programs of gannetline as separate processes on loopback addresses, with stand-ins
// for clients, executors, the operator and the platform. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//
//	cases CASE RECORD
//
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// environment is what a case gets.
type environment struct {
	record     *record
	hasTrouble bool
	clusters   []*cluster
}

func (e *environment) cluster(p plan) *cluster {
	c := newCluster(p, e.record)
	e.clusters = append(e.clusters, c)
	return c
}

func (e *environment) closeAll() {
	for _, c := range e.clusters {
		c.close()
	}
}

// cases maps the name of each case to its function, which returns whether the rule was broken and why.
var cases = map[string]func(*environment) (broken bool, why string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, path string) (status int) {
	env := &environment{record: newRecord(path), hasTrouble: os.Getenv("TROUBLE") != "0"}
	defer env.closeAll()
	defer func() {
		if cause := recover(); cause != nil {
			text := fmt.Sprint(cause)
			if failed, isExpected := cause.(notRunnable); isExpected {
				text = failed.reason
			}
			env.record.line("the case couldn't run: %s", text)
			fmt.Fprintln(os.Stderr, "the case couldn't run:", text)
			status = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxRunTime):
		}
		env.record.line("ended early")
		env.closeAll()
		os.Exit(2)
	}()
	env.record.line("case %s, trouble %v", name, env.hasTrouble)
	broken, why := cases[name](env)
	verdict := "held"
	if broken {
		verdict, status = "broken", 1
	}
	env.record.line("the rule was %s: %s", verdict, why)
	fmt.Printf("the rule was %s: %s\n", verdict, why)
	return status
}
