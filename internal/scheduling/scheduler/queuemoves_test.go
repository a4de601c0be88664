package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

// scriptedRouting is the queue routing of a configuration version in which the given queues lead to a service.
type scriptedRouting struct {
	version int64
	moved   []string
	service string
}

func (r *scriptedRouting) Version() int64                { return r.version }
func (r *scriptedRouting) HasMoved(queue string) bool    { return slices.Contains(r.moved, queue) }
func (r *scriptedRouting) ServiceFor(_, _ string) string { return r.service }

const (
	// timedJob is a job whose only time is far in the future of a fleet's clock.
	timedJob = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":1000}],"first-run-ms":99000000,"period-ms":1000,"repeat-count":2}`
	// twoLasting is a job of two long-running tasks, each of which fills an executor of 4,000 cpu-units.
	twoLasting = `{"task-descriptor":"d","step-list":[{"task-count":2,"cpu-units":4000,"long-running":true}]}`
	// largeTask fills an executor of 4,000 cpu-units.
	largeTask = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":4000,"estimated-ms":1000}]}`
)

// Guards against accepted jobs that waited for ever in the pool of their queue's former service, whose executors were gone, after a
// configuration had sent the queue to another service.
var _ = Describe("a pool whose queue leads to another service now", func() {
	var f *fleet
	var routing *scriptedRouting
	var sender *scriptedSender
	terms := wire.RouteTerms{MaxAttempts: 2, TargetMs: 500}
	move := func(service string) {
		routing = &scriptedRouting{version: routing.version + 2, moved: []string{"e"}, service: service}
	}
	loseExecutors := func() {
		for _, executor := range f.executors {
			executor.isSilent, executor.running = true, nil
		}
	}
	accept := func() {
		sender.sent[len(sender.sent)-1].answer(&wire.ClientAnswer{Status: 200})
		f.settle()
	}
	// transfer hands a job over as another pool does, and returns the status of the answer.
	transfer := func(number int, version int64, tasks ...wire.TransferredTask) int {
		body, err := easyjson.Marshal(&wire.TransferCall{From: "pool/other", Number: number, AcceptedMs: 1, Tasks: tasks, Body: []byte(singleTask)})
		Expect(err).NotTo(HaveOccurred())
		var status int
		f.pool.Transfer(&wire.ClientCall{Route: "e", ID: jobID(0), Version: version, Terms: &terms, Body: body}, func(answer wire.ClientAnswer) { status = answer.Status })
		f.settle()
		return status
	}
	BeforeEach(func() {
		sender, routing = &scriptedSender{}, &scriptedRouting{version: 1}
		f = newFleet(timing, scheduler.WithQueueRouting(func() scheduler.QueueRouting { return routing }), scheduler.WithTransfers(sender),
			scheduler.WithRollouts(func() scheduler.RolloutPolicy { return scheduler.RolloutPolicy{Version: routing.version} }))
		f.add(2, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	})

	It("transfers jobs that wait and jobs whose executor is lost, each once", func() {
		f.submitJob(jobID(0), terms, largeTask)
		f.submitJob(jobID(1), terms, largeTask)
		f.submitJob(jobID(2), terms, largeTask)
		f.pass(200 * time.Millisecond)
		loseExecutors()
		move("next")
		f.pass(12 * time.Second)
		transferred := map[string]string{}
		for _, sent := range sender.sent {
			transferred[sent.call.ID] = sent.service
		}
		Expect(transferred).To(Equal(map[string]string{jobID(0): "next", jobID(1): "next", jobID(2): "next"}))
		Expect(sender.sent[0].call.Version).To(Equal(int64(3)))
		f.takeOver()
		f.pass(time.Second)
		accept()
		last := sender.sent[len(sender.sent)-1].call
		Expect(f.state(last.ID)).To(HavePrefix("410"))
		Expect(last.Version).To(Equal(int64(3)), "the version outlasts the leader")
	})

	It("transfers nothing as long as the queue leads here, or was removed", func() {
		f.submitJob(jobID(0), terms, largeTask)
		loseExecutors()
		f.pass(12 * time.Second)
		Expect(sender.sent).To(BeEmpty())
	})

	It("keeps jobs that it can still run", func() {
		for number := range 4 {
			f.submitJob(jobID(number), terms, largeTask)
		}
		move("next")
		for range 2 {
			f.pass(500 * time.Millisecond)
			Expect(f.tasks()).To(HaveLen(2))
			f.endAll("done")
		}
		f.pass(500 * time.Millisecond)
		for number := range 4 {
			Expect(f.state(jobID(number))).To(ContainSubstring("completed"))
		}
		Expect(sender.sent).To(BeEmpty())
	})

	It("transfers a job of which no task is due yet", func() {
		f.submitJob(jobID(0), terms, timedJob)
		move("next")
		f.pass(300 * time.Millisecond)
		Expect(sender.sent).To(HaveLen(1))
	})

	It("transfers a task with the number of its last run, so that no number is used twice", func() {
		f.submitJob(jobID(0), terms, singleTask)
		f.pass(200 * time.Millisecond)
		loseExecutors()
		move("next")
		f.pass(12 * time.Second)
		Expect(movedTasks(sender)).To(Equal([]wire.TransferredTask{{LastRun: 1}}))
	})

	It("keeps a job that a configuration newer than its own has brought", func() {
		loseExecutors()
		f.pass(9 * time.Second)
		move("next")
		f.pool.Submit(&wire.ClientCall{Route: "e", ID: jobID(0), Version: 5, Terms: &terms, Body: []byte(singleTask)}, func(wire.ClientAnswer) {})
		f.settle()
		f.pass(3 * time.Second)
		f.takeOver()
		f.pass(3 * time.Second)
		Expect(sender.sent).To(BeEmpty())
		routing = &scriptedRouting{version: 7, moved: []string{"e"}, service: "next"}
		f.pass(3 * time.Second)
		Expect(sender.sent).NotTo(BeEmpty())
	})

	It("moves the whole of a long-running job if some of its tasks can't run here", func() {
		f.submitJob(jobID(0), terms, twoLasting)
		f.pass(200 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(2))
		move("next")
		f.pass(3 * time.Second)
		Expect(f.tasks()).To(HaveLen(2), "both tasks run")
		f.executors[0].isSilent, f.executors[0].running = true, nil
		f.pass(15 * time.Second)
		Expect(f.tasks()).To(BeEmpty())
		Expect(movedTasks(sender)).To(HaveLen(2))
	})

	It("has a bounded number of transfers in flight, and lets the others start meanwhile", func() {
		loseExecutors()
		f.pass(9 * time.Second)
		for number := range 300 {
			f.submitJob(jobID(number), terms, singleTask)
		}
		f.pass(1200 * time.Millisecond)
		move("next")
		f.pass(300 * time.Millisecond)
		Expect(sender.sent).To(HaveLen(128))
		for _, sent := range slices.Clone(sender.sent) {
			sent.answer(&wire.ClientAnswer{Status: 200})
		}
		f.pass(300 * time.Millisecond)
		Expect(len(sender.sent)).To(Equal(256))
	})

	Describe("and back", func() {
		// Guards against the loss of a job that a leader of an earlier version takes for one that it has transferred itself.
		It("passes a job on by a call that leaders of earlier versions reject", func() {
			Expect(transfer(1, 1)).To(Equal(200))
			loseExecutors()
			move("next")
			f.pass(12 * time.Second)
			Expect(sender.sent[0].call.Verb).To(Equal(wire.VerbTransferAgain))
		})

		// Guards against a job that is lost because the pool that gave it away takes its return for a repetition.
		It("accepts a job that comes back, and continues its run numbers", func() {
			f.submitJob(jobID(0), terms, singleTask)
			f.pass(200 * time.Millisecond)
			loseExecutors()
			move("next")
			f.pass(12 * time.Second)
			accept()
			f.executors[0].isSilent = false
			routing = &scriptedRouting{version: 5}
			Expect(transfer(2, 5, wire.TransferredTask{LastRun: 4})).To(Equal(200))
			Expect(transfer(2, 5, wire.TransferredTask{LastRun: 4})).To(Equal(200))
			f.pass(300 * time.Millisecond)
			Expect(f.executors[0].running).To(HaveLen(1))
			Expect(f.executors[0].running[0].Run).To(Equal(int64(5)))
			f.takeOver()
			f.pass(300 * time.Millisecond)
			f.endAll("done")
			f.pass(300 * time.Millisecond)
			Expect(f.state(jobID(0))).To(ContainSubstring("completed"))
		})

		It("accepts a job that comes back before the answer to its own transfer", func() {
			loseExecutors()
			f.pass(9 * time.Second)
			f.submitJob(jobID(0), terms, singleTask)
			move("next")
			f.pass(2 * time.Second)
			Expect(sender.sent).NotTo(BeEmpty())
			routing = &scriptedRouting{version: 5}
			f.executors[0].isSilent = false
			Expect(transfer(2, 5)).To(Equal(200))
			accept()
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(Equal([]string{jobID(0) + ".0.0.0"}))
			f.takeOver()
			Expect(f.state(jobID(0))).To(ContainSubstring("active"))
		})

		It("ignores a late copy of an earlier transfer", func() {
			Expect(transfer(1, 1)).To(Equal(200))
			loseExecutors()
			move("next")
			f.pass(12 * time.Second)
			accept()
			f.executors[0].isSilent = false
			Expect(transfer(1, 1)).To(Equal(200))
			f.takeOver()
			Expect(transfer(1, 1)).To(Equal(200))
			f.pass(300 * time.Millisecond)
			Expect(f.tasks()).To(BeEmpty())
			Expect(f.state(jobID(0))).To(HavePrefix("410"))
		})
	})

	It("starts a withheld job again if the queue comes back before its transfer", func() {
		f.submitJob(jobID(0), terms, twoLasting)
		f.pass(200 * time.Millisecond)
		move("next")
		f.executors[0].isSilent, f.executors[0].running = true, nil
		for range 200 {
			f.pass(fleetTick)
			if len(f.tasks()) == 0 {
				break
			}
		}
		Expect(f.tasks()).To(BeEmpty())
		Expect(sender.sent).To(BeEmpty(), fmt.Sprint(len(sender.sent), " transfers"))
		routing = &scriptedRouting{version: 5}
		f.pass(500 * time.Millisecond)
		Expect(f.tasks()).To(HaveLen(1))
	})
})
