package lots_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

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

func (l *fakeLeadership) Epoch() uint64       { return 1 }
func (l *fakeLeadership) CommitIndex() uint64 { return 1 }
func (l *fakeLeadership) HasLease() bool      { return l.hasLease }
func (l *fakeLeadership) WallMs() int64       { return l.clock.WallMs() }

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
