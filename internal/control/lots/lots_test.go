package lots_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/lots"
)

var _ = Describe("a lot", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	It("is acknowledged and started only once it is durable, and accepted only once if submitted twice", func() {
		h.leadership.holdsCommits = true
		Expect(h.submit(lotID, 2)).To(BeNil())
		Expect(h.submit(lotID, 2)).To(BeNil())
		Expect(h.runs).To(BeEmpty())
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusServiceUnavailable))
		h.leadership.commitPending()
		h.flush()
		Expect(h.runs).To(HaveLen(2))
		Expect(h.submit(lotID, 2).Status).To(Equal(http.StatusAccepted))
		Expect(h.runs).To(HaveLen(2))
		Expect(h.readResults(0).Total).To(Equal(2))
	})

	It("runs its items as submitted, at executors with capacity that are not draining, in a share of their slots", func() {
		h.submit(lotID, 9)
		Expect(h.runs).To(HaveLen(4))
		run := h.runs[0]
		Expect(run.Path).To(Equal("/p/0"))
		Expect(run.Host).To(Equal("h"))
		Expect(run.Tenant).To(Equal("team"))
		Expect(run.Headers).To(Equal(map[string]string{"X-Model-Name": "m"}))
		Expect(run.Body).To(Equal([]byte{0, 0xff}))
		h.executors[0].IsDraining, h.executors[1].IsDraining = true, true
		h.endRun(run.ItemID, lots.OutcomeCompleted, progressOf("a"))
		Expect(h.runs).To(HaveLen(3))
	})

	It("orders results by the end of their runs and returns them once they are durable", func() {
		h.submit(lotID, 3)
		h.leadership.holdsCommits = true
		h.endRun(lotID+"-1", lots.OutcomeCompleted, progressOf("one", "two"))
		Expect(h.readResults(0).Results).To(BeEmpty())
		h.leadership.commitPending()
		h.leadership.holdsCommits = false
		h.endRun(lotID+"-0", lots.OutcomeImpossible, lots.Progress{})
		results := h.readResults(0)
		Expect(results.Next).To(Equal(2))
		Expect(results.Results[0].ID).To(Equal(lotID + "-1"))
		Expect(results.Results[0].State).To(Equal("completed"))
		Expect(results.Results[0].Text).To(Equal("one\ntwo"))
		Expect(results.Results[1].State).To(Equal("dead_letter"))
		Expect(h.readResults(1).Results).To(HaveLen(1))
	})

	It("keeps its results over a change of leader and runs items without a result again", func() {
		h.submit(lotID, 3)
		h.endRun(lotID+"-2", lots.OutcomeCompleted, progressOf("z"))
		before := h.readResults(0)
		previousRuns := h.runs
		h.part.Close()
		h.open()
		Expect(h.readResults(0)).To(Equal(before))
		Expect(h.runs).To(HaveLen(2))
		Expect(h.runs[0].Body).To(Equal([]byte{0, 0xff}))
		previousRuns[0].done(lots.OutcomeCompleted, progressOf("late"))
		Expect(h.readResults(0)).To(Equal(before))
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
		Expect(h.readResults(0).Results[0]).To(Equal(before.Results[0]))
		Expect(h.readResults(1).Results[0].ID).To(Equal(lotID + "-0"))
	})

	It("resumes after the last event of a broken run and gives up after the maximum attempts of its route", func() {
		h.submit(lotID, 1)
		h.endRun(lotID+"-0", lots.OutcomeBroken, lots.Progress{LastEventID: "2", Texts: []string{"a", "b"}})
		Expect(h.runs).To(BeEmpty())
		h.clock.Advance(time.Second)
		h.flush()
		Expect(h.runs[0].Progress).To(Equal(lots.Progress{LastEventID: "2", Texts: []string{"a", "b"}}))
		h.endRun(lotID+"-0", lots.OutcomeFailed, lots.Progress{})
		h.clock.Advance(time.Second)
		h.flush()
		Expect(h.runs[0].Progress).To(Equal(lots.Progress{}))
		Expect(h.readResults(0).Results).To(BeEmpty())
		h.endRun(lotID+"-0", lots.OutcomeFailed, lots.Progress{})
		Expect(h.readResults(0).Results[0].State).To(Equal("dead_letter"))
	})

	It("resumes at another executor after an idle timeout, which doubles up to a maximum", func() {
		h.executors = append(h.executors, wire.ExecutorRecord{ID: "i-3", Service: "s", Address: "a:3", Slots: 4})
		h.submit(lotID, 1)
		var idleTimeouts []time.Duration
		executorIDs := map[string]bool{}
		for range 5 {
			run := h.runs[0]
			idleTimeouts = append(idleTimeouts, run.IdleTimeout)
			h.endRun(lotID+"-0", lots.OutcomeTimedOut, progressOf("a"))
			Expect(h.runs).To(HaveLen(1))
			Expect(h.runs[0].Executor.ID).NotTo(Equal(run.Executor.ID))
			Expect(h.runs[0].Progress).To(Equal(progressOf("a")))
			executorIDs[run.Executor.ID] = true
			h.clock.Advance(time.Second)
		}
		Expect(idleTimeouts).To(Equal([]time.Duration{2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second}))
		Expect(len(executorIDs)).To(BeNumerically(">", 1))
	})

	It("retries at another executor after a failure, and an executor with repeated failures is ejected for a while", func() {
		h.submit(lotID, 4)
		itemsAt := func(executor string) (items []string) {
			for _, run := range h.runs {
				if run.Executor.ID == executor {
					items = append(items, run.ItemID)
				}
			}
			return items
		}
		failing := itemsAt("i-1")
		Expect(failing).To(HaveLen(2))
		h.endRun(failing[0], lots.OutcomeFailed, lots.Progress{})
		h.endRun(failing[1], lots.OutcomeFailed, lots.Progress{})
		Expect(itemsAt("i-1")).To(BeEmpty())
		h.clock.Advance(time.Second)
		h.endRun(itemsAt("i-2")[0], lots.OutcomeCompleted, progressOf("a"))
		h.endRun(itemsAt("i-2")[0], lots.OutcomeCompleted, progressOf("b"))
		Expect(itemsAt("i-2")).To(ConsistOf(failing))
		Expect(itemsAt("i-1")).To(BeEmpty())
		h.clock.Advance(3 * time.Second)
		h.submit("7c41e09b52d6a3f9", 2)
		Expect(itemsAt("i-1")).To(HaveLen(2))
	})

	It("has dead-letter results after the maximum queue time of its route, and not before", func() {
		h.executors = nil
		h.submit(lotID, 1)
		h.clock.Advance(39 * time.Second)
		h.part.Tick()
		h.flush()
		Expect(h.readResults(0).Results).To(BeEmpty())
		h.clock.Advance(3 * time.Second)
		h.part.Tick()
		h.flush()
		Expect(h.readResults(0).Results[0].State).To(Equal("dead_letter"))
	})

	// Guards against token counts whose sum exceeds 64 bits, or that are negative, and so stay below any limit.
	DescribeTable("is refused if its tenant would exceed the token limit:", func(counts ...int64) {
		h.route.UpperLimit = []byte("250")
		var texts []string
		for number, count := range counts {
			texts = append(texts, fmt.Sprintf(`{"executor-id":"%d","path":"/p","token-count":%d}`, number, count))
		}
		answer := h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Tenant: "team", Body: []byte(`{"item-list":[` + strings.Join(texts, ",") + `]}`)})
		Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
	},
		Entry("two counts whose sum wraps around below zero", int64(1<<62), int64(1<<62)),
		Entry("four counts whose sum wraps around to zero", int64(1<<62), int64(1<<62), int64(1<<62), int64(1<<62)),
		Entry("a negative count beside one above the limit", int64(-300), int64(300)),
	)

	It("is refused and not run if its tenant would exceed the token limit", func() {
		h.route.UpperLimit = []byte("250")
		Expect(h.submit(lotID, 2).Status).To(Equal(http.StatusAccepted))
		answer := h.submit("7c41e09b52d6a3f9", 1)
		Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
		Expect(answer.RetryAfterS).To(BeNumerically(">", 0))
		Expect(h.runs).To(HaveLen(2))
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
		Expect(h.submit("7c41e09b52d6a3f9", 1).Status).To(Equal(http.StatusAccepted))
	})

	It("ends durably: no further item runs, and existing results are kept", func() {
		h.submit(lotID, 6)
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
		Expect(h.call(wire.VerbEndLot, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		Expect(h.call(wire.VerbEndLot, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		running := len(h.runs)
		h.endRun(lotID+"-1", lots.OutcomeCompleted, progressOf("b"))
		Expect(h.runs).To(HaveLen(running - 1))
		h.part.Close()
		h.open()
		Expect(h.runs).To(BeEmpty())
		Expect(h.readResults(0).Results).To(HaveLen(1))
		Expect(h.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-3"}).Status).To(Equal(http.StatusNotFound))
	})

	It("returns the body of an item without a result", func() {
		h.submit(lotID, 2)
		answer := h.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-1"})
		var body []byte
		Expect(json.Unmarshal(answer.Body, &body)).To(Succeed())
		Expect(body).To(Equal([]byte{1, 0xff}))
		h.endRun(lotID+"-1", lots.OutcomeCompleted, progressOf("a"))
		Expect(h.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-1"}).Status).To(Equal(http.StatusNotFound))
	})

	It("is hidden from other tenants", func() {
		h.submit(lotID, 1)
		for _, verb := range []wire.Verb{wire.VerbLotResults, wire.VerbLotItem, wire.VerbEndLot} {
			call := wire.ClientCall{Item: lotID + "-0", Tenant: "others"}
			Expect(h.call(verb, call).Status).To(Equal(http.StatusNotFound), string(verb))
		}
		Expect(h.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-0", Tenant: "team"}).Status).To(Equal(http.StatusOK))
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK), "a call of a route without API keys has no tenant")
	})

	It("lets readers wait for a result until their deadline", func() {
		h.submit(lotID, 2)
		var answers []wire.ClientAnswer
		waitForResult := func() {
			h.part.Results(&wire.ClientCall{ID: lotID, RemainingMs: 300}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		}
		waitForResult()
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
		Expect(answers).To(HaveLen(1))
		h.part.Results(&wire.ClientCall{ID: lotID, Base: 1, RemainingMs: 300}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		h.clock.Advance(200 * time.Millisecond)
		h.part.Tick()
		Expect(answers).To(HaveLen(1))
		h.clock.Advance(200 * time.Millisecond)
		h.part.Tick()
		Expect(string(answers[1].Body)).To(ContainSubstring(`"result-list":[]`))
	})

	It("is neither read nor reported as missing without the lease", func() {
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusNotFound))
		h.submit(lotID, 1)
		h.leadership.hasLease = false
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{ID: "7c41e09b52d6a3ff"}).NotLeader).To(BeTrue())
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).NotLeader).To(BeTrue())
	})

	It("has an unknown outcome if the leadership ends before the commit", func() {
		h.leadership.holdsCommits = true
		var answer wire.ClientAnswer
		h.part.Submit(&wire.ClientCall{ID: lotID, Route: routeName, Body: []byte(`{"item-list":[{"executor-id":"x"}]}`)},
			func(received wire.ClientAnswer) { answer = received })
		h.flush()
		h.part.Close()
		Expect(answer.NotLeader && answer.OutcomeUnknown).To(BeTrue())
	})

	DescribeTable("is refused if it is invalid", func(body string) {
		Expect(h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Body: []byte(body)}).Status).To(Equal(http.StatusBadRequest))
	},
		Entry("no items", `{"item-list":[]}`),
		Entry("no ID", `{"item-list":[{"path":"/"}]}`),
		Entry("a duplicate ID", `{"item-list":[{"executor-id":"a"},{"executor-id":"a"}]}`),
		Entry("a body that is not base64", `{"item-list":[{"executor-id":"a","body":"!"}]}`),
	)

	It("is removed after the retention time once it is finished", func() {
		h.submit(lotID, 1)
		h.clock.Advance(3 * time.Minute)
		h.route.MaxQueueS = 0
		h.part.Tick()
		h.flush()
		Expect(h.readResults(0).Total).To(Equal(1))
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
		h.clock.Advance(2 * time.Second)
		h.part.Tick()
		h.flush()
		Expect(h.leadership.durable).To(BeEmpty())
	})
})
