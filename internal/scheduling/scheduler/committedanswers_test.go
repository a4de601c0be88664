package scheduler_test

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/scheduler"
)

// oversizedTask fits on no executor of an answerScenario.
const oversizedTask = `{"task-descriptor":"d","step-list":[{"task-count":1,"cpu-units":8000}]}`

// answerScenario is a pool with a running job, a waiting job, and a job of a moved queue whose transfer has no answer yet.
type answerScenario struct {
	*fleet
	sender *scriptedSender
}

var (
	runningJob, waitingJob, movedJob = jobID(0), jobID(1), jobID(2)
	errPowerLost                     = errors.New("power lost")
)

// unanswered is the text of the answer that refers the client to the next leader.
const unanswered = "0"

func newAnswerScenario() *answerScenario {
	routing, sender := &scriptedRouting{version: 3, moved: []string{"m"}, service: "next"}, &scriptedSender{}
	s := &answerScenario{newFleet(timing, scheduler.WithQueueRouting(func() scheduler.QueueRouting { return routing }), scheduler.WithTransfers(sender)), sender}
	s.add(1, wire.Capacity{CPU: 4000, Memory: 4000}, "a", "r1")
	for _, job := range []struct{ id, route, body string }{{runningJob, "e", largeTask}, {waitingJob, "e", oversizedTask}, {movedJob, "m", largeTask}} {
		s.pool.Submit(&wire.ClientCall{Route: job.route, ID: job.id, Tenant: "t", Terms: &wire.RouteTerms{MaxAttempts: 1}, Body: []byte(job.body)}, func(wire.ClientAnswer) {})
		s.settle()
		s.pass(200 * time.Millisecond)
	}
	s.pass(2 * time.Second)
	Expect(s.tasks()).To(ConsistOf(HavePrefix(runningJob)))
	Expect(sender.sent).NotTo(BeEmpty())
	return s
}

// question is a call whose answer depends on the tables of the pool.
type question func(s *answerScenario, answer func(wire.ClientAnswer))

func stateOf(id string) question {
	return func(s *answerScenario, answer func(wire.ClientAnswer)) {
		s.pool.State(&wire.ClientCall{ID: id, Tenant: "t"}, answer)
	}
}

func waitingCount(s *answerScenario, answer func(wire.ClientAnswer)) {
	s.pool.Count(&wire.ClientCall{Route: "e"}, answer)
}

func tenantReport(s *answerScenario, answer func(wire.ClientAnswer)) { s.pool.Tenants(nil, answer) }

func rolloutReport(s *answerScenario, answer func(wire.ClientAnswer)) { s.pool.Rollouts(nil, answer) }

// endRun reports the end of the running job's task.
func endRun(outcome string) func(*answerScenario) {
	return func(s *answerScenario) {
		executor := s.executors[0]
		executor.end(runningJob+".0.0.0", outcome)
		call := executor.ExchangeCall
		call.Fence = s.leadership.epoch
		s.pool.Exchange(&call, func(wire.ExchangeAnswer) {})
	}
}

func cancel(id string) func(*answerScenario) {
	return func(s *answerScenario) {
		s.pool.Cancel(&wire.ClientCall{ID: id, Tenant: "t"}, func(wire.ClientAnswer) {})
	}
}

func acceptTransfer(s *answerScenario) { s.sender.sent[0].answer(&wire.ClientAnswer{Status: 200}) }

// askDuringCommit asks while a commit is in flight, makes a later change and ends the first commit. It returns a function that returns the
// answer so far, which is empty if there is none yet.
func (s *answerScenario) askDuringCommit(ask question, change func(*answerScenario)) func() string {
	s.pool.Submit(&wire.ClientCall{Route: "other", ID: jobID(9), Terms: &wire.RouteTerms{}, Body: []byte(oversizedTask)}, func(wire.ClientAnswer) {})
	s.pool.Flush()
	var shown string
	ask(s, func(answer wire.ClientAnswer) { shown = fmt.Sprint(answer.Status, string(answer.Body), answer.MovedTo) })
	s.pool.Flush()
	change(s)
	s.pool.Flush()
	Expect(len(s.leadership.inFlight)).To(BeNumerically(">=", 2))
	s.leadership.settleFirst(nil)
	s.pool.Flush()
	return func() string { return shown }
}

var _ = Describe("an answer of a pool", func() {
	DescribeTable("contains no change that a loss of all power can still undo", func(ask question, change func(*answerScenario), expected string) {
		unchanged := newAnswerScenario()
		Expect(unchanged.askDuringCommit(ask, cancel(jobID(9)))()).To(MatchRegexp(expected))

		s := newAnswerScenario()
		shown := s.askDuringCommit(ask, change)
		s.leadership.settle(errPowerLost)
		Expect(shown()).To(Or(MatchRegexp(expected), Equal(unanswered)))
		s.takeOver()
		Expect(s.state(runningJob)).To(Equal(`200{"executor-state":"active"}`))
	},
		Entry("a completed job", stateOf(runningJob), endRun("done"), `^200{"executor-state":"active"}$`),
		Entry("a failed job", stateOf(runningJob), endRun("failed"), `^200{"executor-state":"active"}$`),
		Entry("a cancelled job", stateOf(runningJob), cancel(runningJob), `^200{"executor-state":"active"}$`),
		Entry("a transferred job", stateOf(movedJob), acceptTransfer, `^200{"executor-state":"queued"}$`),
		Entry("the count of waiting jobs", question(waitingCount), cancel(waitingJob), `^200{"waiting-count":1}$`),
		Entry("the use of tenants", question(tenantReport), endRun("done"), `"running":{"cpu-units":4000`),
		Entry("the use in a rollout", question(rolloutReport), endRun("done"), `"allocated":4000`),
	)

	It("shows that a job is completed as soon as that is committed, to a client that asked shortly before", func() {
		s := newAnswerScenario()
		shown := s.askDuringCommit(stateOf(runningJob), endRun("done"))
		Expect(shown()).To(BeEmpty())
		s.leadership.settleFirst(nil)
		Expect(shown()).To(Equal(`200{"executor-state":"completed"}`))
	})

	DescribeTable("refuses no ID for a job that is not committed", func(offer func(*fleet, func(wire.ClientAnswer))) {
		f := newFleet(timing)
		f.pool.Submit(&wire.ClientCall{Route: "e", ID: runningJob, Body: []byte(largeTask)}, func(wire.ClientAnswer) {})
		f.pool.Flush()
		var answers []wire.ClientAnswer
		record := func(answer wire.ClientAnswer) { answers = append(answers, answer) }
		offer(f, record)
		f.pool.Flush()
		Expect(answers).To(BeEmpty())
		f.leadership.settle(errPowerLost)
		Expect(answers).To(HaveExactElements(HaveField("NotLeader", true)))
		f.takeOver()
		offer(f, record)
		f.settle()
		Expect(answers[1].Status).To(Equal(200))

		f.pool.Submit(&wire.ClientCall{Route: "e", ID: runningJob, Body: []byte(largeTask)}, record)
		f.settle()
		Expect(answers[2].Status).To(Equal(409))
	},
		Entry("to a submission to another queue", func(f *fleet, answer func(wire.ClientAnswer)) {
			f.pool.Submit(&wire.ClientCall{Route: "other", ID: runningJob, Body: []byte(largeTask)}, answer)
		}),
		Entry("to a transfer of another queue's job", func(f *fleet, answer func(wire.ClientAnswer)) {
			body, err := easyjson.Marshal(&wire.TransferCall{From: "pool/other", Number: 1, AcceptedMs: 1, Body: []byte(largeTask)})
			Expect(err).NotTo(HaveOccurred())
			f.pool.Transfer(&wire.ClientCall{Route: "other", ID: runningJob, Body: body}, answer)
		}),
	)
})
