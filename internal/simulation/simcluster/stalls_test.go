package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/simcluster"
)

// largeJobKinds are the kinds of jobs in a large deployment. The weight is the relative frequency of a kind.
var largeJobKinds = []struct {
	name   string
	weight int
	steps  string
}{
	{"wide", 20, `{"task-count":31,"cpu-units":12000,"memory-req-mb":4000,"estimated-ms":240}`},
	{"long", 4, `{"task-count":100,"cpu-units":29000,"memory-req-mb":30000,"estimated-ms":4800,"checkpointing":true}`},
	{"apart", 20, `{"task-count":10,"cpu-units":4000,"memory-req-mb":2000,"estimated-ms":900,"anti-affinity":1}`},
	{"gang", 20, `{"task-count":8,"cpu-units":16000,"memory-req-mb":8000,"estimated-ms":2000,"gang-scheduled":true,"same-rack":true}`},
	{"near", 20, `{"task-count":4,"cpu-units":3000,"memory-req-mb":1000,"estimated-ms":600,"affinity-labels":"r3"}`},
	{"labelled", 10, `{"task-count":3,"cpu-units":20000,"memory-req-mb":9000,"estimated-ms":1500,"required-labels":"r5"}`},
	{"redundant", 20, `{"task-count":6,"cpu-units":2000,"memory-req-mb":900,"estimated-ms":500,"redundant":true}`},
	{"chain", 20, `{"task-count":5,"cpu-units":1000,"memory-req-mb":900,"estimated-ms":300},{"task-count":1,"cpu-units":60000,"memory-req-mb":900,"estimated-ms":800,"depends-on":[0]}`},
	{"lasting", 3, `{"task-count":4,"cpu-units":2000,"memory-req-mb":900,"long-running":true}`},
}

// largeScenario submits jobs of largeJobKinds to a cluster of many executors, and injects faults drawn from the seed.
type largeScenario struct {
	*harness
	detector *simcluster.StallDetector
	// faultWidth is how many executors a fault affects. minInterval is the shortest time between two jobs outside of bursts.
	faultWidth     int
	minInterval    time.Duration
	submittedCount int
	// isExempt marks the IDs of cancelled and long-running jobs, whose end is not awaited.
	isExempt map[string]bool
}

func newLargeScenario(seed uint64, executors int) *largeScenario {
	var sites []simcluster.Site
	for number := range executors {
		sites = append(sites, simcluster.Site{Machine: fmt.Sprintf("side-%03d", number+1), Capacity: wire.Capacity{CPU: 64000, Memory: 128000},
			Labels: []string{"a", fmt.Sprintf("r%d", number/20)}})
	}
	scenario := &largeScenario{isExempt: map[string]bool{}}
	timing := simcluster.DefaultTiming
	timing.RemoteFactor = 1.5
	scenario.harness = newHarness(seed, simcluster.WithSites(sites), simcluster.WithGossip(), simcluster.WithTiming(timing), simcluster.WithWork(scenario.drawWork))
	scenario.detector = scenario.DetectStalls()
	scenario.faultWidth, scenario.minInterval = 4+scenario.Events.Draw.IntN(50), time.Duration(15+scenario.Events.Draw.IntN(70))*time.Millisecond
	return scenario
}

// drawWork draws 80 to 139 percent of the step's estimate as the length of a run. On average one run in 60 fails, after half the estimate.
// Runs of long-running steps take an hour.
func (d *largeScenario) drawWork(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
	estimate, isLongRunning := d.Checker.Estimate(task)
	if isLongRunning {
		return time.Hour, "done"
	}
	if d.Events.Draw.IntN(60) == 0 {
		return estimate / 2, "failed"
	}
	return estimate * time.Duration(80+d.Events.Draw.IntN(60)) / 100, "done"
}

// submitRandomJob submits a job of a random kind. It cancels about a quarter of the jobs within 4 s.
func (d *largeScenario) submitRandomJob() {
	draw := d.Events.Draw
	total := 0
	for _, kind := range largeJobKinds {
		total += kind.weight
	}
	pick, steps, name := draw.IntN(total), "", ""
	for _, kind := range largeJobKinds {
		if pick -= kind.weight; pick < 0 {
			steps, name = kind.steps, kind.name
			break
		}
	}
	repeat := ""
	if name == "redundant" && draw.IntN(2) == 0 {
		repeat = fmt.Sprintf(`,"repeat-count":3,"period-ms":3000,"first-run-ms":%d`, d.Events.Clock.WallMs()+int64(draw.IntN(4000)))
	}
	d.submittedCount++
	number := d.submittedCount
	terms := wire.RouteTerms{MaxAttempts: 4, Stretch: 1.5, TargetMs: 500, Priority: draw.IntN(3)}
	Expect(d.Submit(id(number), "cover", []byte(`{"task-descriptor":"d","step-list":[`+steps+`]`+repeat+`}`), terms, func(answer wire.ClientAnswer) {
		if answer.Status == 200 {
			d.accepted[id(number)] = true
		}
	})).To(Succeed())
	d.isExempt[id(number)] = name == "lasting"
	if draw.IntN(4) == 0 {
		d.isExempt[id(number)] = true
		d.Events.After(time.Duration(draw.IntN(4000))*time.Millisecond, func() {
			d.detector.Ignore(id(number))
			d.CallLeader(wire.ClientCall{Verb: "cancel", Route: "cover", ID: id(number)}, func(wire.ClientAnswer) {})
		})
	}
}

// injectFault injects one random fault, into the leader or into faultWidth neighbouring executors, and ends it at most 7 s later. Drained
// executors crash then, and restart one second later.
func (d *largeScenario) injectFault() {
	draw := d.Events.Draw
	length := time.Duration(2000+draw.IntN(5000)) * time.Millisecond
	kind := draw.IntN(10)
	if kind == 0 {
		d.replaceLeader(length)
		return
	}
	from := draw.IntN(len(d.Executors))
	for number := range d.faultWidth {
		index := (from + number) % len(d.Executors)
		executor, proxy := d.Executors[index], d.Proxies[index]
		forLength := func(inject, end func()) { inject(); d.Events.After(length, end) }
		switch kind {
		case 1:
			d.Crash(executor, length)
		case 2:
			forLength(func() { d.Cut(executor.Machine, true) }, func() { d.Cut(executor.Machine, false) })
		case 3, 4:
			d.KillProxy(proxy)
			d.Events.After(length/4, func() { d.StartProxy(proxy) })
		case 5, 6:
			forLength(func() { d.LoseStartAnswers(executor, true) }, func() { d.LoseStartAnswers(executor, false) })
		case 7:
			d.Drain(executor)
			d.Events.After(length, func() { d.Crash(executor, time.Second) })
		case 8:
			forLength(func() { d.Slow(executor, 6) }, func() { d.Slow(executor, 1) })
		default:
			forLength(func() { d.RefuseConnections(executor, true) }, func() { d.RefuseConnections(executor, false) })
		}
	}
}

// replaceLeader freezes or kills the leader, and resumes or starts it again after length.
func (d *largeScenario) replaceLeader(length time.Duration) {
	leader := d.Leader()
	if leader == nil {
		return
	}
	if d.Events.Draw.IntN(2) == 0 {
		d.Freeze(leader, true)
		d.Events.After(length, func() { d.Freeze(leader, false) })
		return
	}
	d.Kill(leader)
	d.Events.After(length, func() { d.Start(leader) })
}

// submitBurst submits 60 jobs at once.
func (d *largeScenario) submitBurst() {
	for range 60 {
		d.submitRandomJob()
	}
}

// runWithFaults submits jobs and injects faults for a duration. Then it heals the cluster, and waits up to 100 s for the jobs to end.
func (d *largeScenario) runWithFaults(length time.Duration) {
	draw := d.Events.Draw
	nextFaultAt := d.Events.Now() + time.Second
	for end := d.Events.Now() + length; d.Events.Now() < end; {
		d.submitRandomJob()
		if draw.IntN(100) > 0 {
			d.Run(d.minInterval + time.Duration(draw.IntN(int(d.minInterval))))
		} else {
			d.submitBurst()
		}
		if d.Events.Now() >= nextFaultAt {
			d.injectFault()
			nextFaultAt = d.Events.Now() + time.Duration(500+draw.IntN(1500))*time.Millisecond
		}
	}
	d.Run(8 * time.Second)
	d.Heal()
	for round := 0; round < 20 && d.countUnfinished() > 0; round++ {
		d.Run(5 * time.Second)
	}
}

// countUnfinished counts the accepted jobs whose end is awaited.
func (d *largeScenario) countUnfinished() (count int) {
	states := d.JobStates()
	for jobID := range d.accepted {
		if !d.isExempt[jobID] && states[jobID] != "completed" && states[jobID] != "failed" {
			count++
		}
	}
	return count
}

// expectFinalStates checks that every accepted job is completed. A job may also be failed if one of its tasks has used up its attempts.
// Exempt jobs are left out.
func (d *largeScenario) expectFinalStates() {
	Expect(d.accepted).NotTo(BeEmpty())
	states := d.JobStates()
	for jobID := range d.accepted {
		if d.isExempt[jobID] {
			continue
		}
		if d.Checker.HasFailed(jobID) {
			Expect(states[jobID]).To(BeElementOf("completed", "failed"), jobID)
			continue
		}
		Expect(states[jobID]).To(Equal("completed"), jobID)
	}
}

var _ = Describe("a large cluster under faults", func() {
	for _, seed := range []uint64{0, 124, 125} {
		It(fmt.Sprintf("stalls no job, seed %d", seed), func() {
			scenario := newLargeScenario(7000+seed, 240)
			scenario.runWithFaults(20 * time.Second)
			fmt.Fprintf(GinkgoWriter, "%d jobs, %d starts, %d checks of waiting jobs\n", scenario.submittedCount, scenario.Checker.Starts, scenario.detector.Checks)
			Expect(scenario.detector.Stalls).To(BeEmpty())
			Expect(scenario.Checker.Violations).To(BeEmpty())
			scenario.expectFinalStates()
		})
	}
})
