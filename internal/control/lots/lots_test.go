package lots_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/lots"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const (
	lotID     = "7c41e09b52d6a3f8"
	routeName = "r"
)

// proposedChange is a change that the test commits.
type proposedChange struct {
	ops  []wire.Op
	done func(error)
}

// fakeLeadership stores committed records. It commits changes at once, or in commitPending if holdsCommits is set.
type fakeLeadership struct {
	clock        *clock.Fake
	hasLease     bool
	holdsCommits bool
	pending      []proposedChange
	durable      map[string][]byte
}

func (l *fakeLeadership) Epoch() uint64  { return 1 }
func (l *fakeLeadership) HasLease() bool { return l.hasLease }
func (l *fakeLeadership) WallMs() int64  { return l.clock.WallMs() }

func (l *fakeLeadership) Commit(ops []wire.Op, done func(error)) {
	l.pending = append(l.pending, proposedChange{ops, done})
	if !l.holdsCommits {
		l.commitPending()
	}
}

// commitPending commits all pending changes.
func (l *fakeLeadership) commitPending() {
	pending := l.pending
	l.pending = nil
	for _, next := range pending {
		for _, op := range next.ops {
			if len(op.Value) == 0 {
				delete(l.durable, op.Name)
				continue
			}
			Expect(json.Valid(op.Value)).To(BeTrue(), "record %s is not JSON", op.Name)
			l.durable[op.Name] = op.Value
		}
		next.done(nil)
	}
}

func (l *fakeLeadership) pairs() []wire.Op {
	var pairs []wire.Op
	for name, value := range l.durable {
		pairs = append(pairs, wire.Op{Name: name, Value: value})
	}
	slices.SortFunc(pairs, func(a, b wire.Op) int { return strings.Compare(a.Name, b.Name) })
	return pairs
}

// startedRun is a run that the part has started and the callback for its outcome.
type startedRun struct {
	lots.Run
	done func(lots.Outcome, lots.Progress)
}

// harness holds a part and its fake dependencies. It is the part's Runner.
type harness struct {
	clock      *clock.Fake
	leadership *fakeLeadership
	part       *lots.Part
	runs       []startedRun
	route      *configuration.Route
	executors  []wire.ExecutorRecord
}

func newHarness() *harness {
	now := clock.NewFake(1_000_000)
	w := &harness{clock: now, leadership: &fakeLeadership{clock: now, hasLease: true, durable: map[string][]byte{}},
		route:     &configuration.Route{Name: routeName, Host: "h", Service: "s", MaxAttempts: 2, MaxQueueS: 40},
		executors: []wire.ExecutorRecord{{ID: "i-1", Service: "s", Address: "a:1", Slots: 4}, {ID: "i-2", Service: "s", Address: "a:2", Slots: 4}}}
	w.open()
	return w
}

// Start records a run. The test ends it with endRun.
func (w *harness) Start(run lots.Run, done func(lots.Outcome, lots.Progress)) {
	w.runs = append(w.runs, startedRun{run, done})
}

// open creates a part and opens it with the committed records, as a process does that takes over the key.
func (w *harness) open() {
	w.part = lots.New(wire.LotsKey, lots.Surroundings{Clock: w.clock, Log: logging.Silent(), Runner: w, Retention: 2 * time.Minute,
		Route: func(name string) *configuration.Route {
			if w.route != nil && name == w.route.Name {
				return w.route
			}
			return nil
		},
		Executors: func(string) []wire.ExecutorRecord { return w.executors }})
	w.runs = nil
	w.part.Open(w.leadership, w.leadership.pairs())
	w.flush()
}

// flush calls Flush twice: after a burst of calls, and after the callbacks of its commits.
func (w *harness) flush() {
	w.part.Flush()
	w.part.Flush()
}

// call makes a call and returns its answer, or nil if there is none yet.
func (w *harness) call(verb wire.Verb, call wire.ClientCall) *wire.ClientAnswer {
	var answer *wire.ClientAnswer
	call.Key, call.Verb = wire.LotsKey, verb
	if call.ID == "" {
		call.ID = lotID
	}
	w.part.CommandFor(verb)(&call, func(received wire.ClientAnswer) { answer = &received })
	w.flush()
	return answer
}

// submit submits a lot with the given number of items, of 100 tokens each.
func (w *harness) submit(id string, items int) *wire.ClientAnswer {
	var texts []string
	for number := range items {
		texts = append(texts, fmt.Sprintf(`{"executor-id":"%s-%d","path":"/p/%d","header-list":{"X-Model-Name":"m"},"body":"%s","token-count":100}`,
			id, number, number, base64.StdEncoding.EncodeToString([]byte{byte(number), 0xff})))
	}
	return w.call(wire.VerbSubmitLot, wire.ClientCall{ID: id, Route: routeName, Tenant: "team", Body: []byte(`{"item-list":[` + strings.Join(texts, ",") + `]}`)})
}

// page is the answer to a reader.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID    string `json:"executor-id"`
		State string `json:"executor-state"`
		Text  string `json:"text"`
	} `json:"result-list"`
}

// readResults returns the results of the lot from a position on.
func (w *harness) readResults(from int64) page {
	answer := w.call(wire.VerbLotResults, wire.ClientCall{Base: from})
	Expect(answer).NotTo(BeNil())
	Expect(answer.Status).To(Equal(http.StatusOK))
	var results page
	Expect(json.Unmarshal(answer.Body, &results)).To(Succeed())
	return results
}

// endRun ends the run of an item with an outcome.
func (w *harness) endRun(item string, outcome lots.Outcome, progress lots.Progress) {
	index := slices.IndexFunc(w.runs, func(run startedRun) bool { return run.ItemID == item })
	Expect(index).To(BeNumerically(">=", 0), "item %s has no run", item)
	run := w.runs[index]
	w.runs = slices.Delete(w.runs, index, index+1)
	run.done(outcome, progress)
	w.flush()
}

// texts returns the progress of a run with the given event data.
func texts(texts ...string) lots.Progress { return lots.Progress{LastEventID: "9", Texts: texts} }

var _ = Describe("a lot", func() {
	var w *harness
	BeforeEach(func() { w = newHarness() })

	It("is acknowledged and started only once it is durable, and accepted only once if submitted twice", func() {
		w.leadership.holdsCommits = true
		Expect(w.submit(lotID, 2)).To(BeNil())
		Expect(w.submit(lotID, 2)).To(BeNil())
		Expect(w.runs).To(BeEmpty())
		Expect(w.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusServiceUnavailable))
		w.leadership.commitPending()
		w.flush()
		Expect(w.runs).To(HaveLen(2))
		Expect(w.submit(lotID, 2).Status).To(Equal(http.StatusAccepted))
		Expect(w.runs).To(HaveLen(2))
		Expect(w.readResults(0).Total).To(Equal(2))
	})

	It("runs its items as submitted, at executors with capacity that are not draining, in a share of their slots", func() {
		w.submit(lotID, 9)
		Expect(w.runs).To(HaveLen(4))
		run := w.runs[0]
		Expect(run.Path).To(Equal("/p/0"))
		Expect(run.Host).To(Equal("h"))
		Expect(run.Tenant).To(Equal("team"))
		Expect(run.Headers).To(Equal(map[string]string{"X-Model-Name": "m"}))
		Expect(run.Body).To(Equal([]byte{0, 0xff}))
		w.executors[0].IsDraining, w.executors[1].IsDraining = true, true
		w.endRun(run.ItemID, lots.OutcomeCompleted, texts("a"))
		Expect(w.runs).To(HaveLen(3))
	})

	It("orders results by the end of their runs and returns them once they are durable", func() {
		w.submit(lotID, 3)
		w.leadership.holdsCommits = true
		w.endRun(lotID+"-1", lots.OutcomeCompleted, texts("one", "two"))
		Expect(w.readResults(0).Results).To(BeEmpty())
		w.leadership.commitPending()
		w.leadership.holdsCommits = false
		w.endRun(lotID+"-0", lots.OutcomeImpossible, lots.Progress{})
		results := w.readResults(0)
		Expect(results.Next).To(Equal(2))
		Expect(results.Results[0].ID).To(Equal(lotID + "-1"))
		Expect(results.Results[0].State).To(Equal("completed"))
		Expect(results.Results[0].Text).To(Equal("one\ntwo"))
		Expect(results.Results[1].State).To(Equal("dead_letter"))
		Expect(w.readResults(1).Results).To(HaveLen(1))
	})

	It("keeps its results over a change of leader and runs items without a result again", func() {
		w.submit(lotID, 3)
		w.endRun(lotID+"-2", lots.OutcomeCompleted, texts("z"))
		before := w.readResults(0)
		previousRuns := w.runs
		w.part.Close()
		w.open()
		Expect(w.readResults(0)).To(Equal(before))
		Expect(w.runs).To(HaveLen(2))
		Expect(w.runs[0].Body).To(Equal([]byte{0, 0xff}))
		previousRuns[0].done(lots.OutcomeCompleted, texts("late"))
		Expect(w.readResults(0)).To(Equal(before))
		w.endRun(lotID+"-0", lots.OutcomeCompleted, texts("a"))
		Expect(w.readResults(0).Results[0]).To(Equal(before.Results[0]))
		Expect(w.readResults(1).Results[0].ID).To(Equal(lotID + "-0"))
	})

	It("resumes after the last event of a broken run and gives up after the maximum attempts of its route", func() {
		w.submit(lotID, 1)
		w.endRun(lotID+"-0", lots.OutcomeBroken, lots.Progress{LastEventID: "2", Texts: []string{"a", "b"}})
		Expect(w.runs).To(BeEmpty())
		w.clock.Advance(time.Second)
		w.flush()
		Expect(w.runs[0].Progress).To(Equal(lots.Progress{LastEventID: "2", Texts: []string{"a", "b"}}))
		w.endRun(lotID+"-0", lots.OutcomeFailed, lots.Progress{})
		w.clock.Advance(time.Second)
		w.flush()
		Expect(w.runs[0].Progress).To(Equal(lots.Progress{}))
		Expect(w.readResults(0).Results).To(BeEmpty())
		w.endRun(lotID+"-0", lots.OutcomeFailed, lots.Progress{})
		Expect(w.readResults(0).Results[0].State).To(Equal("dead_letter"))
	})

	It("resumes at another executor after an idle timeout, which doubles up to a maximum", func() {
		w.executors = append(w.executors, wire.ExecutorRecord{ID: "i-3", Service: "s", Address: "a:3", Slots: 4})
		w.submit(lotID, 1)
		var idleTimeouts []time.Duration
		executorIDs := map[string]bool{}
		for range 5 {
			run := w.runs[0]
			idleTimeouts = append(idleTimeouts, run.IdleTimeout)
			w.endRun(lotID+"-0", lots.OutcomeTimedOut, texts("a"))
			Expect(w.runs).To(HaveLen(1))
			Expect(w.runs[0].Executor.ID).NotTo(Equal(run.Executor.ID))
			Expect(w.runs[0].Progress).To(Equal(texts("a")))
			executorIDs[run.Executor.ID] = true
			w.clock.Advance(time.Second)
		}
		Expect(idleTimeouts).To(Equal([]time.Duration{2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second}))
		Expect(len(executorIDs)).To(BeNumerically(">", 1))
	})

	It("retries at another executor after a failure, and an executor with repeated failures is ejected for a while", func() {
		w.submit(lotID, 4)
		itemsAt := func(executor string) (items []string) {
			for _, run := range w.runs {
				if run.Executor.ID == executor {
					items = append(items, run.ItemID)
				}
			}
			return items
		}
		failing := itemsAt("i-1")
		Expect(failing).To(HaveLen(2))
		w.endRun(failing[0], lots.OutcomeFailed, lots.Progress{})
		w.endRun(failing[1], lots.OutcomeFailed, lots.Progress{})
		Expect(itemsAt("i-1")).To(BeEmpty())
		w.clock.Advance(time.Second)
		w.endRun(itemsAt("i-2")[0], lots.OutcomeCompleted, texts("a"))
		w.endRun(itemsAt("i-2")[0], lots.OutcomeCompleted, texts("b"))
		Expect(itemsAt("i-2")).To(ConsistOf(failing))
		Expect(itemsAt("i-1")).To(BeEmpty())
		w.clock.Advance(3 * time.Second)
		w.submit("7c41e09b52d6a3f9", 2)
		Expect(itemsAt("i-1")).To(HaveLen(2))
	})

	It("has dead-letter results after the maximum queue time of its route, and not before", func() {
		w.executors = nil
		w.submit(lotID, 1)
		w.clock.Advance(39 * time.Second)
		w.part.Tick()
		w.flush()
		Expect(w.readResults(0).Results).To(BeEmpty())
		w.clock.Advance(3 * time.Second)
		w.part.Tick()
		w.flush()
		Expect(w.readResults(0).Results[0].State).To(Equal("dead_letter"))
	})

	It("is refused and not run if its tenant would exceed the token limit", func() {
		w.route.UpperLimit = []byte("250")
		Expect(w.submit(lotID, 2).Status).To(Equal(http.StatusAccepted))
		answer := w.submit("7c41e09b52d6a3f9", 1)
		Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
		Expect(answer.RetryAfterS).To(BeNumerically(">", 0))
		Expect(w.runs).To(HaveLen(2))
		w.endRun(lotID+"-0", lots.OutcomeCompleted, texts("a"))
		Expect(w.submit("7c41e09b52d6a3f9", 1).Status).To(Equal(http.StatusAccepted))
	})

	It("ends durably: no further item runs, and existing results are kept", func() {
		w.submit(lotID, 6)
		w.endRun(lotID+"-0", lots.OutcomeCompleted, texts("a"))
		Expect(w.call(wire.VerbEndLot, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		Expect(w.call(wire.VerbEndLot, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		running := len(w.runs)
		w.endRun(lotID+"-1", lots.OutcomeCompleted, texts("b"))
		Expect(w.runs).To(HaveLen(running - 1))
		w.part.Close()
		w.open()
		Expect(w.runs).To(BeEmpty())
		Expect(w.readResults(0).Results).To(HaveLen(1))
		Expect(w.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-3"}).Status).To(Equal(http.StatusNotFound))
	})

	It("returns the body of an item without a result", func() {
		w.submit(lotID, 2)
		answer := w.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-1"})
		var body []byte
		Expect(json.Unmarshal(answer.Body, &body)).To(Succeed())
		Expect(body).To(Equal([]byte{1, 0xff}))
		w.endRun(lotID+"-1", lots.OutcomeCompleted, texts("a"))
		Expect(w.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-1"}).Status).To(Equal(http.StatusNotFound))
	})

	It("is hidden from other tenants", func() {
		w.submit(lotID, 1)
		for _, verb := range []wire.Verb{wire.VerbLotResults, wire.VerbLotItem, wire.VerbEndLot} {
			call := wire.ClientCall{Item: lotID + "-0", Tenant: "others"}
			Expect(w.call(verb, call).Status).To(Equal(http.StatusNotFound), string(verb))
		}
		Expect(w.call(wire.VerbLotItem, wire.ClientCall{Item: lotID + "-0", Tenant: "team"}).Status).To(Equal(http.StatusOK))
		Expect(w.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK), "a call of a route without API keys has no tenant")
	})

	It("lets readers wait for a result until their deadline", func() {
		w.submit(lotID, 2)
		var answers []wire.ClientAnswer
		waitForResult := func() {
			w.part.Results(&wire.ClientCall{ID: lotID, RemainingMs: 300}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		}
		waitForResult()
		w.endRun(lotID+"-0", lots.OutcomeCompleted, texts("a"))
		Expect(answers).To(HaveLen(1))
		w.part.Results(&wire.ClientCall{ID: lotID, Base: 1, RemainingMs: 300}, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		w.clock.Advance(200 * time.Millisecond)
		w.part.Tick()
		Expect(answers).To(HaveLen(1))
		w.clock.Advance(200 * time.Millisecond)
		w.part.Tick()
		Expect(string(answers[1].Body)).To(ContainSubstring(`"result-list":[]`))
	})

	It("is neither read nor reported as missing without the lease", func() {
		Expect(w.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusNotFound))
		w.submit(lotID, 1)
		w.leadership.hasLease = false
		Expect(w.call(wire.VerbLotResults, wire.ClientCall{ID: "7c41e09b52d6a3ff"}).NotLeader).To(BeTrue())
		Expect(w.call(wire.VerbLotResults, wire.ClientCall{}).NotLeader).To(BeTrue())
	})

	It("has an unknown outcome if the leadership ends before the commit", func() {
		w.leadership.holdsCommits = true
		var answer wire.ClientAnswer
		w.part.Submit(&wire.ClientCall{ID: lotID, Route: routeName, Body: []byte(`{"item-list":[{"executor-id":"x"}]}`)},
			func(received wire.ClientAnswer) { answer = received })
		w.flush()
		w.part.Close()
		Expect(answer.NotLeader && answer.OutcomeUnknown).To(BeTrue())
	})

	DescribeTable("is refused if it is invalid", func(body string) {
		Expect(w.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Body: []byte(body)}).Status).To(Equal(http.StatusBadRequest))
	},
		Entry("no items", `{"item-list":[]}`),
		Entry("no ID", `{"item-list":[{"path":"/"}]}`),
		Entry("a duplicate ID", `{"item-list":[{"executor-id":"a"},{"executor-id":"a"}]}`),
		Entry("a body that is not base64", `{"item-list":[{"executor-id":"a","body":"!"}]}`),
	)

	It("is removed after the retention time once it is finished", func() {
		w.submit(lotID, 1)
		w.clock.Advance(3 * time.Minute)
		w.route.MaxQueueS = 0
		w.part.Tick()
		w.flush()
		Expect(w.readResults(0).Total).To(Equal(1))
		w.endRun(lotID+"-0", lots.OutcomeCompleted, texts("a"))
		w.clock.Advance(2 * time.Second)
		w.part.Tick()
		w.flush()
		Expect(w.leadership.durable).To(BeEmpty())
	})
})
