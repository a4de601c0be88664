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

const wall = 1_800_000_000_000

var capacityOf = wire.Capacity{CPU: 16000, Memory: 32768}

func id(number int) string { return fmt.Sprintf("%016x", number) }

func plain(tasks, cpu int) string {
	return fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":%d,"cpu-units":%d,"memory-req-mb":100,"estimated-ms":200}]}`, tasks, cpu)
}

const chain = `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":500,"estimated-ms":200},` +
	`{"task-count":3,"cpu-units":2000,"estimated-ms":200,"depends-on":[0]},{"task-count":1,"cpu-units":100,"estimated-ms":100,"depends-on":[0,1]}]}`

const redundant = `{"task-descriptor":"d","step-list":[{"task-count":3,"cpu-units":4000,"estimated-ms":300,"redundant":true}]}`

const gang = `{"task-descriptor":"d","step-list":[{"task-count":5,"cpu-units":6000,"estimated-ms":300,"gang-scheduled":true}]}`

// jobCrowd hands jobs in and keeps what became of them.
type jobCrowd struct {
	*simcluster.Cluster
	accepted map[string]bool
}

func newJobCrowd(seed uint64, options ...simcluster.Option) *jobCrowd {
	c := &jobCrowd{Cluster: simcluster.New(seed, 3, 6, capacityOf, wall, options...), accepted: map[string]bool{}}
	c.Run(3 * time.Second)
	Expect(c.Leader()).NotTo(BeNil())
	return c
}

func (c *jobCrowd) handIn(number int, body string) {
	terms := wire.RouteTerms{MaxAttempts: 4, Stretch: 1.5, TargetMs: 250}
	Expect(c.Submit(id(number), "cover", []byte(body), terms, func(answer wire.ClientAnswer) {
		if answer.Status == 200 {
			c.accepted[id(number)] = true
		}
	})).To(Succeed())
}

func (c *jobCrowd) state(number int) string {
	var state string
	c.Ask(wire.ClientCall{Verb: "state", Route: "cover", ID: id(number)}, func(answer wire.ClientAnswer) {
		state = fmt.Sprintf("%d%s", answer.Status, answer.Body)
	})
	c.Run(3 * time.Second)
	return state
}

const completed = `200{"executor-state":"completed"}`

func (c *jobCrowd) expectAllCompleted() { c.expectAll(ContainSubstring("completed")) }

// expectAll asks for every accepted job's state.
func (c *jobCrowd) expectAll(isRight types.GomegaMatcher) {
	for a := range c.accepted {
		var state string
		c.Ask(wire.ClientCall{Verb: "state", Route: "cover", ID: a}, func(answer wire.ClientAnswer) { state = string(answer.Body) })
		for round := 0; round < 100 && state == ""; round++ {
			c.Run(50 * time.Millisecond)
		}
		Expect(state).To(isRight, "job %s", a)
	}
}

var _ = Describe("a pool, its proxies and its executors", func() {
	It("completes what is submitted, in the order of its steps", func() {
		c := newJobCrowd(1)
		for number := range 10 {
			c.handIn(number, chain)
		}
		c.Run(5 * time.Second)
		Expect(c.accepted).To(HaveLen(10))
		c.expectAllCompleted()
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("takes the same ID for the same job", func() {
		c := newJobCrowd(2)
		for range 3 {
			c.handIn(7, plain(4, 500))
		}
		c.Run(3 * time.Second)
		Expect(c.Judge.Starts).To(Equal(4))
		Expect(c.state(7)).To(Equal(completed))
	})

	It("answers 410 for what it never took", func() {
		Expect(newJobCrowd(3).state(99)).To(HavePrefix("410"))
	})

	It("starts a gang whole, and again after a member failed", func() {
		failed := false
		c := newJobCrowd(4, simcluster.WithWork(func(_ string, run int64, _ *simcluster.Executor) (time.Duration, string) {
			if run == 1 && !failed {
				failed = true
				return 100 * time.Millisecond, "failed"
			}
			return 300 * time.Millisecond, "done"
		}))
		c.handIn(1, gang)
		c.Run(4 * time.Second)
		Expect(c.state(1)).To(Equal(completed))
		Expect(c.Judge.Starts).To(Equal(10))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("gives up a job whose task fails every time, after its attempts and no more", func() {
		c := newJobCrowd(5, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 50 * time.Millisecond, "failed"
		}))
		c.handIn(1, plain(1, 500))
		c.Run(4 * time.Second)
		Expect(c.state(1)).To(ContainSubstring("failed"))
		Expect(c.Judge.Starts).To(Equal(4))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("stops what a client cancels, and never starts it again", func() {
		c := newJobCrowd(6, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return time.Minute, "done" }))
		c.handIn(1, plain(40, 4000))
		c.Run(time.Second)
		c.Ask(wire.ClientCall{Verb: "cancel", Route: "cover", ID: id(1)}, func(wire.ClientAnswer) {})
		c.Run(2 * time.Second)
		starts := c.Judge.Starts
		c.Run(5 * time.Second)
		Expect(c.Judge.Starts).To(Equal(starts))
		Expect(c.state(1)).To(ContainSubstring("cancelled"))
		for _, executor := range c.Executors {
			Expect(executor.Active()).To(BeZero())
		}
	})

	It("starts a timed job's times when they are due, not before", func() {
		c := newJobCrowd(7)
		first := c.Events.Clock.WallMs() + 2000
		c.handIn(1, fmt.Sprintf(`{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":500,"estimated-ms":100}],"first-run-ms":%d,"period-ms":1500,"repeat-count":3}`, first))
		c.Run(1900 * time.Millisecond)
		Expect(c.Judge.Starts).To(BeZero())
		c.Run(400 * time.Millisecond)
		Expect(c.Judge.Starts).To(Equal(2))
		c.Run(4 * time.Second)
		Expect(c.Judge.Starts).To(Equal(6))
		Expect(c.state(1)).To(Equal(completed))
	})

	It("runs a job again elsewhere when its executor crashed, at once if a new life shows it", func() {
		c := newJobCrowd(8, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return 2 * time.Second, "done" }))
		c.handIn(1, plain(12, 4000))
		c.Run(time.Second)
		c.Crash(c.Executors[0], 300*time.Millisecond)
		c.Run(9 * time.Second)
		Expect(c.state(1)).To(Equal(completed))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("places a task elsewhere only after the hold of a cut-off executor has lapsed", func() {
		c := newJobCrowd(9, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return 3 * time.Second, "done" }))
		c.handIn(1, plain(24, 4000))
		c.Run(time.Second)
		c.Cut("side-01", true)
		c.Cut("side-02", true)
		c.Run(15 * time.Second)
		c.Cut("side-01", false)
		c.Cut("side-02", false)
		c.Run(5 * time.Second)
		Expect(c.state(1)).To(Equal(completed))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("is not fooled by orders that are carried out long after they were given up", func() {
		c := newJobCrowd(10, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 700 * time.Millisecond, "done"
		}))
		for _, executor := range c.Executors[:3] {
			c.Late(executor, true)
		}
		for number := range 12 {
			c.handIn(number, chain)
			c.Run(300 * time.Millisecond)
		}
		c.Run(8 * time.Second)
		for _, executor := range c.Executors {
			c.Late(executor, false)
		}
		c.Run(30 * time.Second)
		c.expectAllCompleted()
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("hears of each end soon, however many ends follow one another on an executor", func() {
		c := newJobCrowd(16, simcluster.WithWork(func(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
			return time.Duration(100+30*int(task[len(task)-1]-'0')) * time.Millisecond, "done"
		}))
		c.handIn(1, plain(9, 1500))
		for round := 0; round < 500 && len(c.accepted) == 0; round++ {
			c.Run(time.Millisecond)
		}
		c.Run(440 * time.Millisecond)
		Expect(c.StateNow(id(1))).To(Equal("completed"))
	})

	It("gives a redundant task a second run when nothing is heard of the first, and waits for no hold to lapse", func() {
		c := newJobCrowd(17, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) {
			return 300 * time.Millisecond, "done"
		}))
		c.handIn(1, redundant)
		c.Run(100 * time.Millisecond)
		for _, executor := range c.Executors {
			if executor.Active() > 0 {
				c.Cut(executor.Machine, true)
			}
		}
		c.Run(2 * time.Second)
		Expect(c.StateNow(id(1))).To(Equal("completed"))
	})

	It("runs redundant tasks once each while all is well", func() {
		c := newJobCrowd(19)
		for number := range 6 {
			c.handIn(number, redundant)
			c.handIn(100+number, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":4000,"estimated-ms":200,"redundant":true}]}`)
			c.Run(1300 * time.Millisecond)
		}
		c.Run(3 * time.Second)
		Expect(c.Judge.Starts).To(Equal(6 * 23))
	})

	It("learns how uneven a queue's tasks are, and gives few of them second runs for that alone", func() {
		uneven := rand.New(rand.NewPCG(21, 21))
		lengths := map[string]time.Duration{}
		c := newJobCrowd(21, simcluster.WithWork(func(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
			if lengths[task] == 0 {
				lengths[task] = time.Duration(50+300*uneven.ExpFloat64()) * time.Millisecond
			}
			return lengths[task], "done"
		}))
		steps := func(first, last int) int {
			before := c.Judge.Starts
			for number := first; number < last; number++ {
				c.handIn(number, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":1000,"estimated-ms":300,"redundant":true}]}`)
				c.Run(1500 * time.Millisecond)
			}
			return c.Judge.Starts - before - 20*(last-first)
		}
		steps(0, 20)
		Expect(steps(20, 50)).To(BeNumerically("<", 30*20/16))
	})

	It("gives a redundant task a second run when the first takes far longer than the others", func() {
		c := newJobCrowd(18, simcluster.WithWork(func(task string, run int64, executor *simcluster.Executor) (time.Duration, string) {
			if !strings.HasPrefix(task, id(1)) {
				return 1500 * time.Millisecond, "done"
			}
			if run == 1 && executor.Machine == "side-01" {
				return time.Minute, "done"
			}
			return 200 * time.Millisecond, "done"
		}))
		for number := range 5 {
			c.handIn(10+number, plain(1, 500))
		}
		c.handIn(1, `{"task-descriptor":"d","step-list":[{"task-count":20,"cpu-units":4000,"estimated-ms":200,"redundant":true}]}`)
		c.Run(3 * time.Second)
		Expect(c.StateNow(id(1))).To(Equal("completed"))
		Expect(c.Judge.MaxStarts()).To(Equal(2))
	})

	It("starts nothing on a draining executor", func() {
		c := newJobCrowd(11)
		c.Drain(c.Executors[0])
		c.Run(2 * time.Second)
		for number := range 10 {
			c.handIn(number, plain(6, 2000))
		}
		c.Run(100 * time.Millisecond)
		Expect(c.Executors[0].Active()).To(BeZero())
		c.Run(5 * time.Second)
		c.expectAllCompleted()
	})

	It("goes on after a proxy was killed and came back knowing nothing", func() {
		c := newJobCrowd(12, simcluster.WithWork(func(string, int64, *simcluster.Executor) (time.Duration, string) { return time.Second, "done" }))
		c.handIn(1, plain(24, 4000))
		c.Run(500 * time.Millisecond)
		for _, proxy := range c.Proxies {
			c.KillProxy(proxy)
		}
		c.Run(time.Second)
		for _, proxy := range c.Proxies {
			c.StartProxy(proxy)
		}
		c.Run(8 * time.Second)
		Expect(c.state(1)).To(Equal(completed))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("loses no accepted job when every process dies at once", func() {
		c := newJobCrowd(13)
		for number := range 20 {
			c.handIn(number, chain)
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
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("loses no accepted job when the leader loses its disk right after the acknowledgement", func() {
		c := newJobCrowd(14)
		c.handIn(1, chain)
		for round := 0; round < 1000 && len(c.accepted) == 0; round++ {
			c.Run(time.Millisecond)
		}
		c.Wipe(c.Leader())
		c.Run(12 * time.Second)
		Expect(c.state(1)).To(Equal(completed))
		Expect(c.Judge.Problems).To(BeEmpty())
	})

	It("keeps its tables bounded over a long time", func() {
		c := newJobCrowd(15)
		for number := range 400 {
			c.handIn(number, plain(2, 500))
			c.Run(time.Second)
		}
		c.Run(200 * time.Second)
		jobs, pairs := c.Kept()
		Expect(jobs).To(BeZero())
		Expect(pairs).To(BeZero())
	})

	for seed := range uint64(60) {
		It(fmt.Sprintf("breaks no rule under a random schedule of faults, seed %d", seed), func() {
			c := newJobCrowd(200+seed, simcluster.WithWork(mixedWork))
			c.Loss = 0.05
			bodies := []string{chain, plain(14, 1500), gang, plain(3, 9000)}
			for number := range 40 {
				c.handIn(number, bodies[number%len(bodies)])
				c.misfortune()
				c.Run(time.Duration(100+c.Events.Draw.IntN(500)) * time.Millisecond)
				Expect(c.Judge.Problems).To(BeEmpty())
			}
			c.Heal()
			c.Loss = 0
			c.Run(60 * time.Second)
			Expect(c.accepted).NotTo(BeEmpty())
			c.expectAll(Or(ContainSubstring("completed"), ContainSubstring("failed")))
			Expect(c.Judge.Problems).To(BeEmpty())
		})
	}
})

func mixedWork(task string, run int64, _ *simcluster.Executor) (time.Duration, string) {
	weight := 0
	for _, digit := range task {
		weight = weight*31 + int(digit)
	}
	weight = (weight + int(run)*77) & 0xffff
	how := "done"
	if weight%20 == 0 {
		how = "failed"
	}
	return time.Duration(50+weight%900) * time.Millisecond, how
}

func (c *jobCrowd) misfortune() {
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
		c.Late(executor, true)
	case 8:
		c.Slow(executor, 5)
	case 9:
		c.Refuse(executor, true)
	}
}
