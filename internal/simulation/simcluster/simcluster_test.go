package simcluster_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/simcluster"
)

const startWallMs = 1_800_000_000_000

var executorCapacity = wire.Capacity{CPU: 16000, Memory: 32768}

// id returns the ID of the job with a number.
func id(number int) string { return fmt.Sprintf("%016x", number) }

// plain returns the body of a job with one step of equal tasks, each for cpu thousandths of a core.
func plain(tasks, cpu int) string {
	return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":100,"estimated-ms":200}]}`, tasks, cpu)
}

// chain is the body of a job whose second step depends on the first, and whose third depends on both.
const chain = `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":500,"estimated-ms":200},` +
	`{"task-count":3,"cpu-units":2000,"estimated-ms":200,"depends-on":[0]},{"task-count":1,"cpu-units":100,"estimated-ms":100,"depends-on":[0,1]}]}`

const redundant = `{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":4000,"estimated-ms":300,"redundant":true}]}`

const gang = `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":6000,"estimated-ms":300,"gang-scheduled":true}]}`

// harness is a cluster with the IDs of the jobs that it accepted.
type harness struct {
	*simcluster.Cluster
	accepted map[string]bool
}

// newHarness starts a cluster of three stewards and six executors, and checks that it has a leader after 3 s.
func newHarness(seed uint64, options ...simcluster.Option) *harness {
	c := &harness{Cluster: simcluster.New(seed, 3, 6, executorCapacity, startWallMs, options...), accepted: map[string]bool{}}
	c.Run(3 * time.Second)
	Expect(c.Leader()).NotTo(BeNil())
	return c
}

func (c *harness) submitJob(number int, body string) {
	terms := wire.RouteTerms{MaxAttempts: 4, Stretch: 1.5, TargetMs: 250}
	Expect(c.Submit(id(number), "cover", []byte(body), terms, func(answer wire.ClientAnswer) {
		if answer.Status == 200 {
			c.accepted[id(number)] = true
		}
	})).To(Succeed())
}

// queryState returns the status and the body of the answer to a state call, as one text.
func (c *harness) queryState(number int) string {
	var state string
	c.CallLeader(wire.ClientCall{Verb: "state", Route: "cover", ID: id(number)}, func(answer wire.ClientAnswer) {
		state = fmt.Sprintf("%d%s", answer.Status, answer.Body)
	})
	c.Run(3 * time.Second)
	return state
}

const completed = `200{"executor-state":"completed"}`

func (c *harness) expectAllCompleted() { c.expectAllStates(ContainSubstring("completed")) }

// expectAllStates checks the state of every accepted job.
func (c *harness) expectAllStates(matcher types.GomegaMatcher) {
	for jobID := range c.accepted {
		var state string
		c.CallLeader(wire.ClientCall{Verb: "state", Route: "cover", ID: jobID}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		for round := 0; round < 100 && state == ""; round++ {
			c.Run(50 * time.Millisecond)
		}
		Expect(state).To(matcher, "job %s", jobID)
	}
}

var _ = Describe("a pool, its proxies and its executors", func() {
	It("completes submitted jobs, in the order of their steps", func() {
		c := newHarness(1)
		for number := range 10 {
			c.submitJob(number, chain)
		}
		c.Run(5 * time.Second)
		Expect(c.accepted).To(HaveLen(10))
		c.expectAllCompleted()
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("runs a job once that is submitted repeatedly under one ID", func() {
		c := newHarness(2)
		for range 3 {
			c.submitJob(7, plain(4, 500))
		}
		c.Run(3 * time.Second)
		Expect(c.Checker.Starts).To(Equal(4))
		Expect(c.queryState(7)).To(Equal(completed))
	})

	It("answers 410 for an unknown job", func() {
		Expect(newHarness(3).queryState(99)).To(HavePrefix("410"))
	})

	It("starts all runs of a gang together, and again after a member failed", func() {
		failed := false
		c := newHarness(4, simcluster.WithWork(func(_ string, run int64, _ *simcluster.Executor) (time.Duration, string) {
			if run == 1 && !failed {
				failed = true
				return 100 * time.Millisecond, "failed"
			}
			return 300 * time.Millisecond, "done"
		}))
		c.submitJob(1, gang)
		c.Run(4 * time.Second)
		Expect(c.queryState(1)).To(Equal(completed))
		Expect(c.Checker.Starts).To(Equal(10))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("fails a job whose task always fails, after exactly its number of attempts", func() {
		c := newHarness(5, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 50 * time.Millisecond, "failed"
		}))
		c.submitJob(1, plain(1, 500))
		c.Run(4 * time.Second)
		Expect(c.queryState(1)).To(ContainSubstring("failed"))
		Expect(c.Checker.Starts).To(Equal(4))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("stops the runs of a cancelled job, and starts none again", func() {
		c := newHarness(6, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return time.Minute, "done" }))
		c.submitJob(1, plain(40, 4000))
		c.Run(time.Second)
		c.CallLeader(wire.ClientCall{Verb: "cancel", Route: "cover", ID: id(1)}, func(wire.ClientAnswer) {})
		c.Run(2 * time.Second)
		starts := c.Checker.Starts
		c.Run(5 * time.Second)
		Expect(c.Checker.Starts).To(Equal(starts))
		Expect(c.queryState(1)).To(ContainSubstring("cancelled"))
		for _, executor := range c.Executors {
			Expect(executor.CountRunning()).To(BeZero())
		}
	})

	It("starts each occurrence of a repeated job when it is due, not before", func() {
		c := newHarness(7)
		first := c.Events.Clock.WallMs() + 2000
		c.submitJob(1, fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":500,"estimated-ms":100}],"first-run-ms":%d,"period-ms":1500,"repeat-count":3}`, first))
		c.Run(1900 * time.Millisecond)
		Expect(c.Checker.Starts).To(BeZero())
		c.Run(400 * time.Millisecond)
		Expect(c.Checker.Starts).To(Equal(2))
		c.Run(4 * time.Second)
		Expect(c.Checker.Starts).To(Equal(6))
		Expect(c.queryState(1)).To(Equal(completed))
	})

	It("runs the tasks of a crashed and restarted executor again", func() {
		c := newHarness(8, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return 2 * time.Second, "done" }))
		c.submitJob(1, plain(12, 4000))
		c.Run(time.Second)
		c.Crash(c.Executors[0], 300*time.Millisecond)
		c.Run(9 * time.Second)
		Expect(c.queryState(1)).To(Equal(completed))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("places a task elsewhere only after the lease of a disconnected executor has expired", func() {
		c := newHarness(9, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return 3 * time.Second, "done" }))
		c.submitJob(1, plain(24, 4000))
		c.Run(time.Second)
		c.Cut("side-01", true)
		c.Cut("side-02", true)
		c.Run(15 * time.Second)
		c.Cut("side-01", false)
		c.Cut("side-02", false)
		c.Run(5 * time.Second)
		Expect(c.queryState(1)).To(Equal(completed))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("tolerates orders that are carried out long after they were abandoned", func() {
		c := newHarness(10, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 700 * time.Millisecond, "done"
		}))
		for _, executor := range c.Executors[:3] {
			c.DelayCalls(executor, true)
		}
		for number := range 12 {
			c.submitJob(number, chain)
			c.Run(300 * time.Millisecond)
		}
		c.Run(8 * time.Second)
		for _, executor := range c.Executors {
			c.DelayCalls(executor, false)
		}
		c.Run(30 * time.Second)
		c.expectAllCompleted()
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("receives each end promptly when many ends follow one another on an executor", func() {
		c := newHarness(16, simcluster.WithWork(func(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
			return time.Duration(100+30*int(task[len(task)-1]-'0')) * time.Millisecond, "done"
		}))
		c.submitJob(1, plain(9, 1500))
		for round := 0; round < 500 && len(c.accepted) == 0; round++ {
			c.Run(time.Millisecond)
		}
		c.Run(440 * time.Millisecond)
		Expect(c.JobState(id(1))).To(Equal("completed"))
	})

	It("gives a redundant task a second run while the first is unreachable, without waiting for its lease", func() {
		c := newHarness(17, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 300 * time.Millisecond, "done"
		}))
		c.submitJob(1, redundant)
		c.Run(100 * time.Millisecond)
		for _, executor := range c.Executors {
			if executor.CountRunning() > 0 {
				c.Cut(executor.Machine, true)
			}
		}
		c.Run(2 * time.Second)
		Expect(c.JobState(id(1))).To(Equal("completed"))
	})

	It("runs each redundant task once while there are no faults", func() {
		c := newHarness(19)
		for number := range 6 {
			c.submitJob(number, redundant)
			c.submitJob(100+number, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":4000,"estimated-ms":200,"redundant":true}]}`)
			c.Run(1300 * time.Millisecond)
		}
		c.Run(3 * time.Second)
		Expect(c.Checker.Starts).To(Equal(6 * 23))
	})

	It("adapts to the spread of run times of a queue, and gives few tasks second runs because of it", func() {
		random := rand.New(rand.NewPCG(21, 21))
		lengths := map[string]time.Duration{}
		c := newHarness(21, simcluster.WithWork(func(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
			if lengths[task] == 0 {
				lengths[task] = time.Duration(50+300*random.ExpFloat64()) * time.Millisecond
			}
			return lengths[task], "done"
		}))
		countSecondRuns := func(first, last int) int {
			before := c.Checker.Starts
			for number := first; number < last; number++ {
				c.submitJob(number, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":1000,"estimated-ms":300,"redundant":true}]}`)
				c.Run(1500 * time.Millisecond)
			}
			return c.Checker.Starts - before - 20*(last-first)
		}
		countSecondRuns(0, 20)
		Expect(countSecondRuns(20, 50)).To(BeNumerically("<", 30*20/16))
	})

	It("gives a redundant task a second run when the first takes far longer than the other tasks", func() {
		c := newHarness(18, simcluster.WithWork(func(task string, run int64, executor *simcluster.Executor) (time.Duration, string) {
			if !strings.HasPrefix(task, id(1)) {
				return 1500 * time.Millisecond, "done"
			}
			if run == 1 && executor.Machine == "side-01" {
				return time.Minute, "done"
			}
			return 200 * time.Millisecond, "done"
		}))
		for number := range 5 {
			c.submitJob(10+number, plain(1, 500))
		}
		c.submitJob(1, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":4000,"estimated-ms":200,"redundant":true}]}`)
		c.Run(3 * time.Second)
		Expect(c.JobState(id(1))).To(Equal("completed"))
		Expect(c.Checker.MaxStarts()).To(Equal(2))
	})

	It("starts nothing on a draining executor", func() {
		c := newHarness(11)
		c.Drain(c.Executors[0])
		c.Run(2 * time.Second)
		for number := range 10 {
			c.submitJob(number, plain(6, 2000))
		}
		c.Run(100 * time.Millisecond)
		Expect(c.Executors[0].CountRunning()).To(BeZero())
		c.Run(5 * time.Second)
		c.expectAllCompleted()
	})

	It("continues after all proxies restarted with empty tables", func() {
		c := newHarness(12, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return time.Second, "done" }))
		c.submitJob(1, plain(24, 4000))
		c.Run(500 * time.Millisecond)
		for _, proxy := range c.Proxies {
			c.KillProxy(proxy)
		}
		c.Run(time.Second)
		for _, proxy := range c.Proxies {
			c.StartProxy(proxy)
		}
		c.Run(8 * time.Second)
		Expect(c.queryState(1)).To(Equal(completed))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("loses no accepted job when all stewards and proxies are killed at once", func() {
		c := newHarness(13)
		for number := range 20 {
			c.submitJob(number, chain)
			c.Run(40 * time.Millisecond)
		}
		for _, node := range c.Nodes {
			c.Kill(node)
		}
		for _, proxy := range c.Proxies {
			c.KillProxy(proxy)
		}
		c.Run(time.Second)
		for _, node := range c.Nodes {
			c.Start(node)
		}
		for _, proxy := range c.Proxies {
			c.StartProxy(proxy)
		}
		c.Run(20 * time.Second)
		Expect(len(c.accepted)).To(Equal(20))
		c.expectAllCompleted()
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("loses no accepted job when the leader loses its disk right after accepting it", func() {
		c := newHarness(14)
		c.submitJob(1, chain)
		for round := 0; round < 1000 && len(c.accepted) == 0; round++ {
			c.Run(time.Millisecond)
		}
		c.Wipe(c.Leader())
		c.Run(12 * time.Second)
		Expect(c.queryState(1)).To(Equal(completed))
		Expect(c.Checker.Violations).To(BeEmpty())
	})

	It("forgets ended jobs after their retention time", func() {
		c := newHarness(15)
		for number := range 400 {
			c.submitJob(number, plain(2, 500))
			c.Run(time.Second)
		}
		c.Run(200 * time.Second)
		jobs, pairs := c.CountRetained()
		Expect(jobs).To(BeZero())
		Expect(pairs).To(BeZero())
	})

	for seed := range uint64(60) {
		It(fmt.Sprintf("violates no rule under random faults, seed %d", seed), func() {
			c := newHarness(200+seed, simcluster.WithWork(mixedWork))
			c.Loss = 0.05
			bodies := []string{chain, plain(14, 1500), gang, plain(3, 9000)}
			for number := range 40 {
				c.submitJob(number, bodies[number%len(bodies)])
				c.injectRandomFault()
				c.Run(time.Duration(100+c.Events.Draw.IntN(500)) * time.Millisecond)
				Expect(c.Checker.Violations).To(BeEmpty())
			}
			c.Heal()
			c.Loss = 0
			c.Run(60 * time.Second)
			Expect(c.accepted).NotTo(BeEmpty())
			c.expectAllStates(Or(ContainSubstring("completed"), ContainSubstring("failed")))
			Expect(c.Checker.Violations).To(BeEmpty())
		})
	}
})

// mixedWork gives runs of 50 to 949 ms, of which about one in 20 fails. Both depend on the task and the run number alone.
func mixedWork(task string, run int64, _ *simcluster.Executor) (time.Duration, string) {
	hash := 0
	for _, digit := range task {
		hash = hash*31 + int(digit)
	}
	hash = (hash + int(run)*77) & 0xffff
	outcome := "done"
	if hash%20 == 0 {
		outcome = "failed"
	}
	return time.Duration(50+hash%900) * time.Millisecond, outcome
}

// injectRandomFault heals the cluster and then injects one random fault. On average two of three calls do nothing.
func (c *harness) injectRandomFault() {
	if c.Events.Draw.IntN(3) > 0 {
		return
	}
	c.Heal()
	node := c.Nodes[c.Events.Draw.IntN(len(c.Nodes))]
	index := c.Events.Draw.IntN(len(c.Executors))
	executor, proxy := c.Executors[index], c.Proxies[index]
	switch c.Events.Draw.IntN(10) {
	case 0:
		c.Kill(node)
	case 1:
		c.Cut(node.Name, true)
	case 2:
		c.Freeze(node, true)
	case 3:
		c.Stall(node, true)
	case 4:
		c.Cut(executor.Machine, true)
	case 5:
		c.Crash(executor, time.Duration(100+c.Events.Draw.IntN(3000))*time.Millisecond)
	case 6:
		c.KillProxy(proxy)
	case 7:
		c.DelayCalls(executor, true)
	case 8:
		c.Slow(executor, 5)
	case 9:
		c.RefuseConnections(executor, true)
	}
}
