package simcluster_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/simcluster"
)

// largeKinds are the jobs of a large site, with the weight of each.
var largeKinds = []struct {
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

// largeDay plays such jobs on many executors, with troubles drawn from the seed.
type largeDay struct {
	*jobCrowd
	watch *simcluster.StallWatch
	// width is how many executors a trouble strikes, gap the least time between two jobs.
	width    int
	gap      time.Duration
	handedIn int
	// cancelled and lasting jobs are not waited for.
	isLoose map[string]bool
}

func newLargeDay(seed uint64, executors int) *largeDay {
	var places []simcluster.Site
	for number := range executors {
		places = append(places, simcluster.Site{Machine: fmt.Sprintf("side-%03d", number+1), Capacity: wire.Capacity{CPU: 64000, Memory: 128000},
			Labels: []string{"a", fmt.Sprintf("r%d", number/20)}})
	}
	day := &largeDay{isLoose: map[string]bool{}}
	timing := simcluster.DefaultTiming
	timing.RemoteFactor = 1.5
	day.jobCrowd = newJobCrowd(seed, simcluster.WithPlaces(places), simcluster.WithGossip(), simcluster.WithTiming(timing), simcluster.WithWork(day.work))
	day.watch = day.WatchStalls()
	day.width, day.gap = 4+day.Events.Draw.IntN(50), time.Duration(15+day.Events.Draw.IntN(70))*time.Millisecond
	return day
}

// work takes about as long as the step's estimate; one run in 60 fails.
func (d *largeDay) work(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
	estimate, isLasting := d.Judge.Estimate(task)
	if isLasting {
		return time.Hour, "done"
	}
	if d.Events.Draw.IntN(60) == 0 {
		return estimate / 2, "failed"
	}
	return estimate * time.Duration(80+d.Events.Draw.IntN(60)) / 100, "done"
}

func (d *largeDay) handInOne() {
	draw := d.Events.Draw
	total := 0
	for _, kind := range largeKinds {
		total += kind.weight
	}
	luck, steps, name := draw.IntN(total), "", ""
	for _, kind := range largeKinds {
		if luck -= kind.weight; luck < 0 {
			steps, name = kind.steps, kind.name
			break
		}
	}
	repeat := ""
	if name == "redundant" && draw.IntN(2) == 0 {
		repeat = fmt.Sprintf(`,"repeat-count":3,"period-ms":3000,"first-run-ms":%d`, d.Events.Clock.WallMs()+int64(draw.IntN(4000)))
	}
	d.handedIn++
	number := d.handedIn
	terms := wire.RouteTerms{MaxAttempts: 4, Stretch: 1.5, TargetMs: 500, Priority: draw.IntN(3)}
	Expect(d.Submit(id(number), "cover", []byte(`{"task-descriptor":"d","step-list":[`+steps+`]`+repeat+`}`), terms, func(answer wire.ClientAnswer) {
		if answer.Status == 200 {
			d.accepted[id(number)] = true
		}
	})).To(Succeed())
	d.isLoose[id(number)] = name == "lasting"
	if draw.IntN(4) == 0 {
		d.isLoose[id(number)] = true
		d.Events.After(time.Duration(draw.IntN(4000))*time.Millisecond, func() {
			d.watch.End(id(number))
			d.Ask(wire.ClientCall{Verb: "cancel", Route: "cover", ID: id(number)}, func(wire.ClientAnswer) {})
		})
	}
}

// trouble brings one trouble about and ends it again some seconds later.
func (d *largeDay) trouble() {
	draw := d.Events.Draw
	length := time.Duration(2000+draw.IntN(5000)) * time.Millisecond
	kind := draw.IntN(10)
	if kind == 0 {
		d.leaderChange(length)
		return
	}
	from := draw.IntN(len(d.Executors))
	for number := range d.width {
		index := (from + number) % len(d.Executors)
		executor, proxy := d.Executors[index], d.Proxies[index]
		lasts := func(begin, end func()) { begin(); d.Events.After(length, end) }
		switch kind {
		case 1:
			d.Crash(executor, length)
		case 2:
			lasts(func() { d.Cut(executor.Machine, true) }, func() { d.Cut(executor.Machine, false) })
		case 3, 4:
			d.KillProxy(proxy)
			d.Events.After(length/4, func() { d.StartProxy(proxy) })
		case 5, 6:
			lasts(func() { d.LoseStarts(executor, true) }, func() { d.LoseStarts(executor, false) })
		case 7:
			d.Drain(executor)
			d.Events.After(length, func() { d.Crash(executor, time.Second) })
		case 8:
			lasts(func() { d.Slow(executor, 6) }, func() { d.Slow(executor, 1) })
		default:
			lasts(func() { d.Refuse(executor, true) }, func() { d.Refuse(executor, false) })
		}
	}
}

func (d *largeDay) leaderChange(length time.Duration) {
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

// burst hands many jobs in at once.
func (d *largeDay) burst() {
	for range 60 {
		d.handInOne()
	}
}

// play hands jobs in and makes trouble, then lets all come to an end.
func (d *largeDay) play(length time.Duration) {
	draw := d.Events.Draw
	nextTrouble := d.Events.Now() + time.Second
	for end := d.Events.Now() + length; d.Events.Now() < end; {
		d.handInOne()
		if draw.IntN(100) > 0 {
			d.Run(d.gap + time.Duration(draw.IntN(int(d.gap))))
		} else {
			d.burst()
		}
		if d.Events.Now() >= nextTrouble {
			d.trouble()
			nextTrouble = d.Events.Now() + time.Duration(500+draw.IntN(1500))*time.Millisecond
		}
	}
	d.Run(8 * time.Second)
	d.Heal()
	for round := 0; round < 20 && d.left() > 0; round++ {
		d.Run(5 * time.Second)
	}
}

// left counts the accepted jobs that are yet to come to an end.
func (d *largeDay) left() (count int) {
	states := d.States()
	for a := range d.accepted {
		if !d.isLoose[a] && states[a] != "completed" && states[a] != "failed" {
			count++
		}
	}
	return count
}

// expectEnds wants every accepted job completed, or failed with cause.
func (d *largeDay) expectEnds() {
	Expect(d.accepted).NotTo(BeEmpty())
	states := d.States()
	for a := range d.accepted {
		if d.isLoose[a] {
			continue
		}
		if d.Judge.HasFailed(a) {
			Expect(states[a]).To(BeElementOf("completed", "failed"), a)
			continue
		}
		Expect(states[a]).To(Equal("completed"), a)
	}
}

var _ = Describe("a large fleet under troubles", func() {
	for _, seed := range []uint64{0, 124, 125} {
		It(fmt.Sprintf("stalls no job, seed %d", seed), func() {
			day := newLargeDay(7000+seed, 240)
			day.play(20 * time.Second)
			fmt.Fprintf(GinkgoWriter, "%d jobs, %d starts, %d looks at jobs that wait\n", day.handedIn, day.Judge.Starts, day.watch.Looks)
			Expect(day.watch.Stalls).To(BeEmpty())
			Expect(day.Judge.Problems).To(BeEmpty())
			day.expectEnds()
		})
	}
})
