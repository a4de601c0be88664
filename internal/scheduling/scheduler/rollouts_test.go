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

// sentTransfer is a transfer that the test answers.
type sentTransfer struct {
	service string
	call    *wire.ClientCall
	answer  func(*wire.ClientAnswer)
}

// scriptedSender collects the transfers that a pool sends.
type scriptedSender struct{ sent []sentTransfer }

func (s *scriptedSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	call.Key = "pool/" + service
	s.sent = append(s.sent, sentTransfer{service, call, answer})
}

const (
	singleTask      = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"estimated-ms":1000}]}`
	twoTasks        = `{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":1000,"estimated-ms":1000}]}`
	twoSteps        = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000},{"task-count":1,"cpu-units":1000,"depends-on":[0]}]}`
	longRunningTask = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000,"long-running":true}]}`
)

// movedTasks returns the tasks in the first transfer.
func movedTasks(sender *scriptedSender) []wire.TransferredTask {
	GinkgoHelper()
	Expect(sender.sent).NotTo(BeEmpty())
	var moved wire.TransferCall
	Expect(easyjson.Unmarshal(sender.sent[0].call.Body, &moved)).To(Succeed())
	return moved.Tasks
}

func jobID(number int) string { return fmt.Sprintf("%016x", number+1) }

// When a rollout is rolled back, the new version's pool returns its jobs to the old version's pool. The tests guard against jobs that run
// in both pools, jobs that are lost, and wrong counts.
var _ = Describe("a pool that runs a version of a rollout", func() {
	var f *fleet
	var policy scheduler.RolloutPolicy
	var sender *scriptedSender
	terms := wire.RouteTerms{MaxAttempts: 2, TargetMs: 500}
	// rollBack sets a newer configuration in which the rollout is rolled back.
	rollBack := func(change func(*scheduler.RolloutTerms)) {
		rolledBack := scheduler.RolloutTerms{Name: "r", BegunMs: 7, Route: "e", ReturnTo: "old"}
		if change != nil {
			change(&rolledBack)
		}
		policy = scheduler.RolloutPolicy{Version: policy.Version + 1, Rollouts: []scheduler.RolloutTerms{rolledBack}}
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
		It("jobs by outcome and runs by zone, and keeps the counts under the next leader", func() {
			for number := range 6 {
				f.submitJob(jobID(number), terms, singleTask)
			}
			f.pass(200 * time.Millisecond)
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			f.submitJob(jobID(6), wire.RouteTerms{MaxAttempts: 1, TargetMs: 500}, singleTask)
			f.pass(200 * time.Millisecond)
			f.endAll("failed")
			f.pass(200 * time.Millisecond)
			f.submitJob(jobID(7), wire.RouteTerms{MaxAttempts: 1}, singleTask)
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

		It("no job as late or overdue that lost a run, and pending jobs past their target as overdue", func() {
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			for _, executor := range f.executors {
				if len(executor.running) > 0 {
					executor.isSilent, executor.running = true, nil
				}
			}
			f.pass(9 * time.Second)
			Expect(report().Rollouts[0].Overdue).To(BeZero(), "the job lost its run")
			f.endAll("done")
			f.pass(200 * time.Millisecond)
			Expect(report().Rollouts[0].Jobs).To(Equal(wire.JobCounts{Completed: 1}))
			for _, executor := range f.executors {
				executor.isSilent = true
			}
			f.pass(9 * time.Second)
			f.submitJob(jobID(1), terms, singleTask)
			f.pass(2 * time.Second)
			Expect(report().Rollouts[0].Open).To(Equal(int64(1)))
			Expect(report().Rollouts[0].Overdue).To(Equal(int64(1)))
			Expect(report().Executors).To(BeZero())
		})

		It("only present rollouts, not removed ones or an earlier one of the same name", func() {
			f.submitJob(jobID(0), terms, singleTask)
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

	Describe("whose rollout was rolled back", func() {
		It("returns jobs that have not started, and doesn't start them, also under the next leader", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.pass(9 * time.Second)
			f.submitJob(jobID(0), terms, singleTask)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			Expect(sender.sent).To(HaveLen(1))
			Expect(sender.sent[0].service).To(Equal("old"))
			f.executors[0].isSilent, f.executors[1].isSilent = false, false
			f.pass(time.Second)
			f.takeOver()
			f.pass(time.Second)
			Expect(f.tasks()).To(BeEmpty())
			Expect(f.state(jobID(0))).To(ContainSubstring("queued"), "the other pool has not accepted it yet")
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

		It("doesn't start a job from a gate with an older configuration", func() {
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			f.submitJob(jobID(0), terms, singleTask)
			Expect(f.starts()).To(BeZero())
			f.pass(300 * time.Millisecond)
			Expect(f.starts()).To(BeZero())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("stops a run whose launch has no answer yet", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			f.executors[0].isSilent, f.executors[1].isSilent = false, false
			f.pass(time.Second)
			Expect(f.starts()).To(BeZero())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("sends a transfer only after its commit", func() {
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.pass(9 * time.Second)
			f.submitJob(jobID(0), terms, singleTask)
			rollBack(nil)
			f.clock.Advance(time.Second)
			f.pool.Tick()
			f.pool.Flush()
			Expect(sender.sent).To(BeEmpty())
			f.settle()
			Expect(sender.sent).To(HaveLen(1))
		})

		It("resends a transfer until it is answered, and runs a job that the other pool rejects", func() {
			rollBack(nil)
			f.pass(100 * time.Millisecond)
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(3 * time.Second)
			Expect(len(sender.sent)).To(BeNumerically(">", 1))
			last := sender.sent[len(sender.sent)-1]
			last.answer(nil)
			last.answer(&wire.ClientAnswer{Status: 409})
			f.pass(3 * time.Second)
			Expect(f.tasks()).To(HaveLen(1))
		})

		It("lets runs end, and returns the job with its completed tasks", func() {
			f.submitJob(jobID(0), terms, twoSteps)
			f.pass(200 * time.Millisecond)
			rollBack(nil)
			f.pass(500 * time.Millisecond)
			Expect(sender.sent).To(BeEmpty())
			Expect(f.tasks()).To(HaveLen(1))
			f.endAll("done")
			f.pass(500 * time.Millisecond)
			Expect(f.tasks()).To(BeEmpty())
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{IsDone: true, LastRun: 1}}))
		})

		It("completes a job here if its last task ends", func() {
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
			Expect(sender.sent).To(BeEmpty())
		})

		It("returns a job between two attempts with its number of failed attempts", func() {
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			f.endAll("failed")
			f.pass(300 * time.Millisecond)
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{Failed: 1, LastRun: 1}}))
		})

		DescribeTable("stops runs only if the rollout allows it and tasks are repeatable", func(stopsRuns, isRepeatable, isReturned bool) {
			f.submitJob(jobID(0), terms, twoTasks)
			f.pass(200 * time.Millisecond)
			for _, executor := range f.executors {
				executor.end(jobID(0)+".0.0.0", "done")
			}
			f.pass(200 * time.Millisecond)
			rollBack(func(rolledBack *scheduler.RolloutTerms) {
				rolledBack.StopsRuns, rolledBack.IsRepeatable = stopsRuns, isRepeatable
			})
			f.pass(time.Second)
			if !isReturned {
				Expect(f.tasks()).To(HaveLen(1))
				Expect(sender.sent).To(BeEmpty())
				return
			}
			Expect(f.tasks()).To(BeEmpty())
			Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{IsDone: true, LastRun: 1}, {Index: 1, LastRun: 1}}))
		},
			Entry("allowed and repeatable", true, true, true),
			Entry("not allowed", false, true, false),
			Entry("not repeatable", true, false, false),
		)

		It("always stops long-running tasks, which never end", func() {
			f.submitJob(jobID(0), terms, longRunningTask)
			f.pass(200 * time.Millisecond)
			Expect(f.tasks()).To(HaveLen(1))
			rollBack(nil)
			f.pass(time.Second)
			Expect(f.tasks()).To(BeEmpty())
			Expect(sender.sent).NotTo(BeEmpty())
		})

		It("refuses to cancel a job in transfer, and runs other jobs once the rollout is removed from the configuration", func() {
			for _, executor := range f.executors {
				executor.isSilent = true
			}
			f.pass(9 * time.Second)
			f.submitJob(jobID(0), terms, singleTask)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			var cancelled wire.ClientAnswer
			f.pool.Cancel(&wire.ClientCall{Route: "e", ID: jobID(0)}, func(answer wire.ClientAnswer) { cancelled = answer })
			f.settle()
			Expect(cancelled.Status).To(Equal(503))
			policy = scheduler.RolloutPolicy{Version: policy.Version + 1}
			for _, executor := range f.executors {
				executor.isSilent = false
			}
			f.submitJob(jobID(1), terms, singleTask)
			f.pass(time.Second)
			Expect(f.tasks()).To(Equal([]string{jobID(1) + ".0.0.0"}))
		})

		// Guards against a leader that panicked on a run of a cancelled job, which a new configuration had put back into the queue.
		It("starts no run of a job that is cancelled before it could be returned, whatever configuration follows", func() {
			f.submitJob(jobID(0), terms, twoTasks)
			f.pass(200 * time.Millisecond)
			rollBack(nil)
			f.pass(300 * time.Millisecond)
			f.executors[0].isSilent, f.executors[1].isSilent = true, true
			f.pool.Cancel(&wire.ClientCall{Route: "e", ID: jobID(0)}, func(wire.ClientAnswer) {})
			f.settle()
			rollBack(nil)
			f.pass(100 * time.Millisecond)
			f.executors[0].isSilent, f.executors[1].isSilent = false, false
			f.pass(time.Second)
			Expect(f.tasks()).To(BeEmpty())
			Expect(f.starts()).To(Equal(2))
		})
	})

	Describe("to which jobs are returned", func() {
		transfer := func(change func(*wire.TransferCall)) wire.ClientAnswer {
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

		It("accepts a renounced job, and only once", func() {
			f.pool.Renounce(&wire.ClientCall{Route: "e", ID: jobID(0), Version: 9}, func(wire.ClientAnswer) {})
			f.settle()
			Expect(transfer(nil).Status).To(Equal(200))
			Expect(transfer(nil).Status).To(Equal(200))
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".0.0.0"}))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			Expect(f.starts()).To(Equal(1))
		})

		It("counts earlier failed attempts", func() {
			Expect(transfer(func(moved *wire.TransferCall) {
				moved.Tasks = []wire.TransferredTask{{Failed: 1}, {Step: 7, Failed: 1}}
			}).Status).To(Equal(200))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			f.endAll("failed")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("failed"))
		})

		It("doesn't run completed tasks again", func() {
			Expect(transfer(func(moved *wire.TransferCall) {
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

		It("doesn't run completed occurrences of a repeated job again", func() {
			repeated := `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}],"first-run-ms":1,"period-ms":1,"repeat-count":3}`
			Expect(transfer(func(moved *wire.TransferCall) {
				moved.Body, moved.CompletedOccurrences = []byte(repeated), []int{0, 2}
			}).Status).To(Equal(200))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".1.0.0"}))
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
		})

		It("refuses an unreadable job, and an ID that another queue uses", func() {
			Expect(transfer(func(moved *wire.TransferCall) { moved.Body = []byte(`{"step-list":7}`) }).Status).To(Equal(400))
			f.pool.Submit(&wire.ClientCall{Route: "other", ID: jobID(0), Body: []byte(singleTask)}, func(wire.ClientAnswer) {})
			f.settle()
			Expect(transfer(nil).Status).To(Equal(409))
		})
	})
})
