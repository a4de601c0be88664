package scheduler_test

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

// transferSent is a job on its way to another pool; the test answers it.
type transferSent struct {
	service string
	call    *wire.ClientCall
	answer  func(*wire.ClientAnswer)
}

// scriptedSender keeps what a pool sends to others.
type scriptedSender struct{ sent []transferSent }

func (s *scriptedSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	call.Key = "pool/" + service
	s.sent = append(s.sent, transferSent{service, call, answer})
}

const (
	singleTask = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":1000}]}`
	twoTasks   = `{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":1000,"estimated-ms":1000}]}`
	twoSteps   = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000},{"task-count":1,"cpu-units":1000,"depends-on":[0]}]}`
	lasting    = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"long-running":true}]}`
)

// movedTasks reads what the first transfer says of the job's tasks.
func movedTasks(sender *scriptedSender) []wire.TransferredTask {
	GinkgoHelper()
	Expect(sender.sent).NotTo(BeEmpty())
	var moved wire.TransferCall
	Expect(easyjson.Unmarshal(sender.sent[0].call.Body, &moved)).To(Succeed())
	return moved.Tasks
}

func jobID(number int) string { return fmt.Sprintf("%016x", number+1) }

var _ = Describe("a pool that runs a version of a rollout", func() {
	var f *fleet
	var policy scheduler.RolloutPolicy
	var sender *scriptedSender
	terms := wire.RouteTerms{MaxAttempts: 2, TargetMs: 500}
	// turnBack lets the new version be turned back, by a newer configuration.
	turnBack := func(change func(*scheduler.RolloutTerms)) {
		turned := scheduler.RolloutTerms{Name: "r", BegunMs: 7, Route: "e", ReturnTo: "old"}
		if change != nil {
			change(&turned)
		}
		policy = scheduler.RolloutPolicy{Version: policy.Version + 1, Rollouts: []scheduler.RolloutTerms{turned}}
	}
	report := func() wire.RolloutReport {
		var reported wire.RolloutReport
		f.pool.Rollouts(&wire.ClientCall{}, func(answer wire.ClientAnswer) {
			Expect(easyjson.Unmarshal(answer.Body, &reported)).To(Succeed())
		})
		f.settle()
		return reported
	}
	BeforeEach(func() {
		sender = &scriptedSender{}
		policy = scheduler.RolloutPolicy{Version: 1, Rollouts: []scheduler.RolloutTerms{{Name: "r", BegunMs: 7, Route: "e"}}}
		f = newFleet(timing, scheduler.WithRollouts(func() scheduler.RolloutPolicy { return policy }), scheduler.WithTransfers(sender))
		for _, executor := range f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1") {
			executor.Domain = "zone-" + executor.Executor
		}
		f.pass(100 * time.Millisecond)
	})

	Describe("counts", func() {
		It("jobs by their end and runs by their zone, exactly, also under the next leader", func() {
			for number := range 6 {
				f.handIn(jobID(number), terms, singleTask)
			}
			f.pass(200 * time.Millisecond)
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			f.handIn(jobID(6), wire.RouteTerms{MaxAttempts: 1, TargetMs: 500}, singleTask)
			f.pass(200 * time.Millisecond)
			f.endAll("failed")
			f.pass(200 * time.Millisecond)
			f.handIn(jobID(7), wire.RouteTerms{MaxAttempts: 1}, singleTask)
			f.pass(2 * time.Second)
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			counted := report().Rollouts[0]
			Expect(counted.Jobs).To(Equal(wire.JobCounts{Completed: 7, Failed: 1, Late: 1}))
			var done, failed int64
			for _, zone := range counted.Zones {
				Expect(zone.Zone).To(HavePrefix("zone-"))
				done, failed = done+zone.Done, failed+zone.Failed
			}
			Expect([]int64{done, failed}).To(Equal([]int64{7, 1}))
			Expect(counted.RunTimes).NotTo(BeEmpty())
			f.takeOver()
			Expect(report().Rollouts[0].Jobs).To(Equal(counted.Jobs))
			Expect(report().Rollouts[0].Zones).To(Equal(counted.Zones))
		})

		It("what lost an executor not as late, and what waits beyond its target as overdue", func() {
			f.handIn(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			for _, executor := range f.executors {
				if len(executor.running) > 0 {
					executor.isSilent, executor.running = true, nil
				}
			}
			f.pass(9 * time.Second)
			Expect(report().Rollouts[0].Overdue).To(BeZero(), "its run was lost")
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			Expect(report().Rollouts[0].Jobs).To(Equal(wire.JobCounts{Completed: 1}))
			for _, executor := range f.executors {
				executor.isSilent = true
			}
			f.pass(9 * time.Second)
			f.handIn(jobID(1), terms, singleTask)
			f.pass(2 * time.Second)
			Expect(report().Rollouts[0].Open).To(Equal(int64(1)))
			Expect(report().Rollouts[0].Overdue).To(Equal(int64(1)))
			Expect(report().Executors).To(BeZero())
		})

		It("nothing of a rollout that is gone, nor of an earlier one of the same name", func() {
			f.handIn(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			Expect(f.leadership.has("w/r")).To(BeTrue())
			policy = scheduler.RolloutPolicy{Version: 2, Rollouts: []scheduler.RolloutTerms{{Name: "r", BegunMs: 8, Route: "e"}}}
			f.pass(100 * time.Millisecond)
			Expect(report().Rollouts[0].Jobs).To(Equal(wire.JobCounts{}))
			policy = scheduler.RolloutPolicy{Version: 3}
			f.pass(100 * time.Millisecond)
			Expect(report().Rollouts).To(BeEmpty())
			Expect(f.leadership.has("w/r")).To(BeFalse())
		})
	})

	Describe("that was turned back", func() {
		It("returns what has not begun, and starts nothing of it any more, also under another leader", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.pass(9 * time.Second)
			f.handIn(jobID(0), terms, singleTask)
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			Expect(sender.sent).To(HaveLen(1))
			Expect(sender.sent[0].service).To(Equal("old"))
			f.executors[0].isSilent, f.executors[1].isSilent = false, false
			f.pass(time.Second)
			f.takeOver()
			f.pass(time.Second)
			Expect(f.tasks()).To(BeEmpty())
			Expect(f.state(jobID(0))).To(ContainSubstring("queued"), "nobody has said yet that the other pool has it")
			sender.sent[len(sender.sent)-1].answer(&wire.ClientAnswer{Status: 200})
			f.settle()
			Expect(f.state(jobID(0))).To(HavePrefix("410"))
			f.takeOver()
			Expect(f.state(jobID(0))).To(HavePrefix("410"))
			var asked wire.ClientAnswer
			f.pool.State(&wire.ClientCall{Route: "e", ID: jobID(0)}, func(answer wire.ClientAnswer) { asked = answer })
			f.settle()
			Expect(asked.MovedTo).To(Equal("old"))
			Expect(f.leadership.has("v/")).To(BeFalse())
		})

		It("starts nothing of a job that a gate sends here which doesn't know of it yet", func() {
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			f.handIn(jobID(0), terms, singleTask)
			Expect(f.starts()).To(BeZero())
			f.pass(300 * time.Millisecond)
			Expect(f.starts()).To(BeZero())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("stops a run whose start was not answered yet", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.handIn(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			f.executors[0].isSilent, f.executors[1].isSilent = false, false
			f.pass(time.Second)
			Expect(f.starts()).To(BeZero())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("sends nothing before it is committed that nothing starts here", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.pass(9 * time.Second)
			f.handIn(jobID(0), terms, singleTask)
			turnBack(nil)
			f.clock.Advance(time.Second)
			f.pool.Tick()
			f.pool.Flush()
			Expect(sender.sent).To(BeEmpty())
			f.settle()
			Expect(sender.sent).To(HaveLen(1))
		})

		It("sends a job again until there is an answer, and keeps one that the other pool can't take", func() {
			turnBack(nil)
			f.pass(100 * time.Millisecond)
			f.handIn(jobID(0), terms, singleTask)
			f.pass(3 * time.Second)
			Expect(len(sender.sent)).To(BeNumerically(">", 1))
			last := sender.sent[len(sender.sent)-1]
			last.answer(nil)
			last.answer(&wire.ClientAnswer{Status: 409})
			f.pass(3 * time.Second)
			Expect(f.tasks()).To(HaveLen(1))
		})

		It("lets what runs end, and returns the rest with what is done", func() {
			f.handIn(jobID(0), terms, twoSteps)
			f.pass(200 * time.Millisecond)
			turnBack(nil)
			f.pass(500 * time.Millisecond)
			Expect(sender.sent).To(BeEmpty())
			Expect(f.tasks()).To(HaveLen(1))
			f.endAll("done")
			f.pass(500 * time.Millisecond)
			Expect(f.tasks()).To(BeEmpty())
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{IsDone: true}}))
		})

		It("lets a job be complete here whose last task ends", func() {
			f.handIn(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
			Expect(sender.sent).To(BeEmpty())
		})

		It("returns a job between two attempts, with those that it has used up", func() {
			f.handIn(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			f.endAll("failed")
			f.pass(300 * time.Millisecond)
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{Failed: 1}}))
		})

		DescribeTable("stops what runs where that was agreed and tasks may run again", func(stops, isRepeatable, returns bool) {
			f.handIn(jobID(0), terms, twoTasks)
			f.pass(200 * time.Millisecond)
			for _, executor := range f.executors {
				executor.end(jobID(0)+".0.0.0", "done")
			}
			f.pass(200 * time.Millisecond)
			turnBack(func(turned *scheduler.RolloutTerms) { turned.StopsRuns, turned.IsRepeatable = stops, isRepeatable })
			f.pass(time.Second)
			if !returns {
				Expect(f.tasks()).To(HaveLen(1))
				Expect(sender.sent).To(BeEmpty())
				return
			}
			Expect(f.tasks()).To(BeEmpty())
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{IsDone: true}}))
		},
			Entry("both", true, true, true),
			Entry("not agreed", false, true, false),
			Entry("not to be run again", true, false, false),
		)

		It("stops lasting tasks in any case, as they never end", func() {
			f.handIn(jobID(0), terms, lasting)
			f.pass(200 * time.Millisecond)
			Expect(f.tasks()).To(HaveLen(1))
			turnBack(nil)
			f.pass(time.Second)
			Expect(f.tasks()).To(BeEmpty())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("refuses to cancel a job on its way, and goes on with all jobs if the rollout is taken out of the configuration", func() {
			for _, executor := range f.executors {
				executor.isSilent = true
			}
			f.pass(9 * time.Second)
			f.handIn(jobID(0), terms, singleTask)
			turnBack(nil)
			f.pass(300 * time.Millisecond)
			var cancelled wire.ClientAnswer
			f.pool.Cancel(&wire.ClientCall{Route: "e", ID: jobID(0)}, func(answer wire.ClientAnswer) { cancelled = answer })
			f.settle()
			Expect(cancelled.Status).To(Equal(503))
			policy = scheduler.RolloutPolicy{Version: policy.Version + 1}
			for _, executor := range f.executors {
				executor.isSilent = false
			}
			f.handIn(jobID(1), terms, singleTask)
			f.pass(time.Second)
			Expect(f.tasks()).To(Equal([]string{jobID(1) + ".0.0.0"}))
		})
	})

	Describe("that jobs come back to", func() {
		transferred := func(change func(*wire.TransferCall)) wire.ClientAnswer {
			moved := &wire.TransferCall{From: "pool/new", AcceptedMs: 1, Body: []byte(singleTask)}
			if change != nil {
				change(moved)
			}
			body, err := easyjson.Marshal(moved)
			Expect(err).NotTo(HaveOccurred())
			var reported wire.ClientAnswer
			f.pool.Transfer(&wire.ClientCall{Route: "e", ID: jobID(0), Terms: &terms, Body: body}, func(answer wire.ClientAnswer) { reported = answer })
			f.settle()
			return reported
		}

		It("takes a job once, although it had promised not to", func() {
			f.pool.Renounce(&wire.ClientCall{Route: "e", ID: jobID(0), Version: 9}, func(wire.ClientAnswer) {})
			f.settle()
			Expect(transferred(nil).Status).To(Equal(200))
			Expect(transferred(nil).Status).To(Equal(200))
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".0.0.0"}))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			Expect(f.starts()).To(Equal(1))
		})

		It("counts the attempts that were used up before", func() {
			Expect(transferred(func(moved *wire.TransferCall) {
				moved.Tasks = []wire.TransferredTask{{Failed: 1}, {Step: 7, Failed: 1}}
			}).Status).To(Equal(200))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			f.endAll("failed")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("failed"))
		})

		It("does not run again what is done", func() {
			Expect(transferred(func(moved *wire.TransferCall) {
				moved.Body, moved.Tasks = []byte(twoSteps), []wire.TransferredTask{{IsDone: true}}
			}).Status).To(Equal(200))
			f.pass(200 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".0.1.0"}))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
			Expect(f.starts()).To(Equal(1))
		})

		It("does not run the times of a repeated job again that are over", func() {
			repeated := `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}],"first-run-ms":1,"period-ms":1,"repeat-count":3}`
			Expect(transferred(func(moved *wire.TransferCall) {
				moved.Body, moved.CompletedOccurrences = []byte(repeated), []int{0, 2}
			}).Status).To(Equal(200))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".1.0.0"}))
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
		})

		It("refuses what it can't read, and an ID of another queue", func() {
			Expect(transferred(func(moved *wire.TransferCall) { moved.Body = []byte(`{"step-list":7}`) }).Status).To(Equal(400))
			f.pool.Submit(&wire.ClientCall{Route: "other", ID: jobID(0), Body: []byte(singleTask)}, func(wire.ClientAnswer) {})
			f.settle()
			Expect(transferred(nil).Status).To(Equal(409))
		})
	})
})
