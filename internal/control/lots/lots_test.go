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

// proposedChange is a change that is proposed and not committed yet, and its callback.
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

// startedRun is a run that the partition has started and the callback for its outcome.
type startedRun struct {
	lots.Run
	done func(lots.Outcome, lots.Progress)
}

// harness holds a partition and its fake dependencies. It is the partition's Runner.
type harness struct {
	clock      *clock.Fake
	leadership *fakeLeadership
	part       *lots.Part
	runs       []startedRun
	// route is the only route of the configuration in force, nil if it has none. version is the configuration's version.
	route     *configuration.Route
	version   int64
	tenants   []configuration.Tenant
	executors []wire.ExecutorRecord
}

func newHarness() *harness {
	now := clock.NewFake(1_000_000)
	h := &harness{clock: now, leadership: &fakeLeadership{clock: now, hasLease: true, durable: map[string][]byte{}}, version: 1,
		route:     &configuration.Route{Name: routeName, Host: "h", PathPrefix: "/p/", Type: configuration.RouteBatch, Service: "s", MaxAttempts: 2, MaxQueueS: 40},
		executors: []wire.ExecutorRecord{{ID: "i-1", Service: "s", Address: "a:1", Slots: 4}, {ID: "i-2", Service: "s", Address: "a:2", Slots: 4}}}
	h.open()
	return h
}

// Start records a run. The test ends it with endRun.
func (h *harness) Start(run lots.Run, done func(lots.Outcome, lots.Progress)) {
	h.runs = append(h.runs, startedRun{run, done})
}

// open creates a partition and opens it with the committed records, as a process does that takes over the key.
func (h *harness) open() {
	h.part = lots.New(wire.LotsKey, lots.Dependencies{Clock: h.clock, Log: logging.Silent(), Runner: h, Retention: 2 * time.Minute,
		Configuration: h.configuration,
		Executors:     func(string) []wire.ExecutorRecord { return h.executors }})
	h.runs = nil
	h.part.Open(h.leadership, h.leadership.pairs())
	h.flush()
}

func (h *harness) configuration() *configuration.Matcher {
	inForce := &configuration.Configuration{Version: h.version, Tenants: h.tenants}
	if h.route != nil {
		inForce.Routes = []configuration.Route{*h.route}
	}
	return configuration.NewMatcher(inForce)
}

// changeRoute puts the next version of the configuration in force, with another route or none.
func (h *harness) changeRoute(route *configuration.Route) { h.route, h.version = route, h.version+1 }

// passSeconds advances the clock, with a tick each second.
func (h *harness) passSeconds(count int) {
	for range count {
		h.clock.Advance(time.Second)
		h.part.Tick()
		h.flush()
	}
}

// flush calls Flush twice: after a burst of calls, and after the callbacks of its commits.
func (h *harness) flush() {
	h.part.Flush()
	h.part.Flush()
}

// call makes a call and returns its answer, or nil if there is none yet.
func (h *harness) call(verb wire.Verb, call wire.ClientCall) *wire.ClientAnswer {
	var answer *wire.ClientAnswer
	call.Key, call.Verb = wire.LotsKey, verb
	if call.ID == "" {
		call.ID = lotID
	}
	h.part.CommandFor(verb)(&call, func(received wire.ClientAnswer) { answer = &received })
	h.flush()
	return answer
}

// submit submits a lot with the given number of items, of 100 tokens each.
func (h *harness) submit(id string, items int) *wire.ClientAnswer {
	var texts []string
	for number := range items {
		texts = append(texts, fmt.Sprintf(`{"executor-id":"%s-%d","path":"/p/%d","header-list":{"X-Model-Name":"m"},"body":"%s","token-count":100}`,
			id, number, number, base64.StdEncoding.EncodeToString([]byte{byte(number), 0xff})))
	}
	return h.call(wire.VerbSubmitLot, wire.ClientCall{ID: id, Route: routeName, Tenant: "team", Body: []byte(`{"item-list":[` + strings.Join(texts, ",") + `]}`)})
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
func (h *harness) readResults(from int64) page {
	answer := h.call(wire.VerbLotResults, wire.ClientCall{Base: from})
	Expect(answer).NotTo(BeNil())
	Expect(answer.Status).To(Equal(http.StatusOK))
	var results page
	Expect(json.Unmarshal(answer.Body, &results)).To(Succeed())
	return results
}

// endRun ends the run of an item with an outcome.
func (h *harness) endRun(item string, outcome lots.Outcome, progress lots.Progress) {
	index := slices.IndexFunc(h.runs, func(run startedRun) bool { return run.ItemID == item })
	Expect(index).To(BeNumerically(">=", 0), "item %s has no run", item)
	run := h.runs[index]
	h.runs = slices.Delete(h.runs, index, index+1)
	run.done(outcome, progress)
	h.flush()
}

// progressOf returns the progress of a run with the given event data.
func progressOf(texts ...string) lots.Progress { return lots.Progress{LastEventID: "9", Texts: texts} }

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

	Describe("whose route is removed", func() {
		BeforeEach(func() {
			h.submit(lotID, 6)
			Expect(h.runs).To(HaveLen(4))
		})

		// Guards against items that wait for ever, neither run nor listed, once a configuration has removed their route.
		It("has dead-letter results for the items that wait, and keeps the results of those that run", func() {
			h.changeRoute(nil)
			h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
			Expect(h.runs).To(HaveLen(3), "no further item starts")
			h.passSeconds(6)
			Expect(h.readResults(0).Results).To(HaveLen(3))
			Expect(h.readResults(1).Results[0].State).To(Equal("dead_letter"))
			h.endRun(lotID+"-1", lots.OutcomeCompleted, progressOf("b"))
			Expect(h.readResults(3).Results[0].State).To(Equal("completed"))
			h.endRun(lotID+"-2", lots.OutcomeBroken, lots.Progress{})
			h.endRun(lotID+"-3", lots.OutcomeFailed, lots.Progress{})
			h.passSeconds(1)
			Expect(h.readResults(0).Results).To(HaveLen(6), "items whose run broke off are given up as well")
		})

		It("does so under the next leader too", func() {
			h.changeRoute(nil)
			h.part.Close()
			h.open()
			h.passSeconds(6)
			Expect(h.readResults(0).Results).To(HaveLen(6))
		})

		It("goes on if the route comes back soon, also on another service", func() {
			route := *h.route
			h.changeRoute(nil)
			h.passSeconds(2)
			route.Service = "other"
			h.changeRoute(&route)
			h.passSeconds(2)
			h.changeRoute(nil)
			h.passSeconds(2)
			Expect(h.readResults(0).Results).To(BeEmpty())
			h.changeRoute(&route)
			h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("a"))
			Expect(h.runs).To(HaveLen(4))
		})

		It("gives no item up on the word of a configuration older than its own", func() {
			route := h.route
			h.changeRoute(h.route)
			h.submit("7c41e09b52d6a3f9", 1)
			h.part.Close()
			h.version, h.route = 1, nil
			h.open()
			h.passSeconds(9)
			Expect(h.leadership.durable).To(HaveKey("b/7c41e09b52d6a3f9/0"))
			h.version, h.route = 2, route
			h.flush()
			Expect(h.runs).NotTo(BeEmpty())
		})

		DescribeTable("goes on with the route that takes its address", func(change func(*configuration.Route), goesOn bool) {
			successor := *h.route
			successor.Name = "other"
			change(&successor)
			h.changeRoute(&successor)
			h.part.Close()
			h.open()
			if !goesOn {
				Expect(h.runs).To(BeEmpty())
				return
			}
			Expect(h.runs).To(HaveLen(4))
			Expect(h.runs[0].Host).To(Equal(successor.Host))
		},
			Entry("under another name", func(*configuration.Route) {}, true),
			Entry("under another name and service", func(successor *configuration.Route) { successor.Service = "t" }, true),
			Entry("not if it is on another host", func(successor *configuration.Route) { successor.Host = "i" }, false),
			Entry("not if it has another prefix", func(successor *configuration.Route) { successor.PathPrefix = "/" }, false),
			Entry("not if it is no route for lots", func(successor *configuration.Route) { successor.Type = configuration.RouteStreaming }, false),
		)

		It("counts for the token limit of a route that takes its address", func() {
			successor := *h.route
			successor.Name, successor.UpperLimit = "other", []byte("650")
			h.changeRoute(&successor)
			body := `{"item-list":[{"executor-id":"x","path":"/p/x","token-count":100}]}`
			answer := h.call(wire.VerbSubmitLot, wire.ClientCall{ID: "7c41e09b52d6a3f9", Route: "other", Tenant: "team", Body: []byte(body)})
			Expect(answer.Status).To(Equal(http.StatusTooManyRequests))
		})
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

	Describe("of a tenant", func() {
		verbs := []wire.Verb{wire.VerbLotResults, wire.VerbLotItem, wire.VerbEndLot}
		BeforeEach(func() {
			h.tenants = []configuration.Tenant{{Name: "team", Keys: []string{"key"}}}
			h.submit(lotID, 1)
		})

		// Guards against calls without a tenant, from hosts with public routes or with none, that read and ended every tenant's lots.
		It("is hidden from calls without a tenant, also if its route is removed", func() {
			for _, route := range []*configuration.Route{h.route, nil} {
				h.changeRoute(route)
				for _, verb := range verbs {
					Expect(h.call(verb, wire.ClientCall{Item: lotID + "-0"}).Status).To(Equal(http.StatusNotFound), string(verb))
				}
				Expect(h.call(wire.VerbLotResults, wire.ClientCall{Tenant: "team"}).Status).To(Equal(http.StatusOK))
			}
		})

		It("is shown to calls without a tenant once its route is public, or there are no tenants any more", func() {
			public := *h.route
			public.IsPublic = true
			h.changeRoute(&public)
			Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
			public.IsPublic, h.tenants = false, nil
			h.changeRoute(&public)
			Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
		})

		// Guards against a lot that is acknowledged and not kept, as its ID is that of another tenant's lot.
		It("keeps its ID: a lot of another tenant under it is not acknowledged", func() {
			body := `{"item-list":[{"executor-id":"x","path":"/p/x"}]}`
			answer := h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Tenant: "others", Body: []byte(body)})
			Expect(answer.Status).To(Equal(http.StatusConflict))
		})
	})

	It("of a public route is shown to calls without a tenant, also once the route is removed", func() {
		h.tenants = []configuration.Tenant{{Name: "team", Keys: []string{"key"}}}
		h.route.IsPublic = true
		h.call(wire.VerbSubmitLot, wire.ClientCall{Route: routeName, Body: []byte(`{"item-list":[{"executor-id":"x","path":"/p/x"}]}`)})
		h.changeRoute(nil)
		Expect(h.call(wire.VerbLotResults, wire.ClientCall{}).Status).To(Equal(http.StatusOK))
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
