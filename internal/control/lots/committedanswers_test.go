package lots_test

import (
	"net/http"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/lots"
)

var _ = Describe("an answer about a lot", func() {
	var h *harness
	var answers []wire.ClientAnswer
	// ask makes a call whose answer may come later.
	ask := func(verb wire.Verb, call wire.ClientCall) {
		call.Key, call.Verb = wire.LotsKey, verb
		h.part.CommandFor(verb)(&call, func(answer wire.ClientAnswer) { answers = append(answers, answer) })
		h.flush()
	}
	losePower := func() {
		pending := h.leadership.pending
		h.leadership.pending, h.leadership.holdsCommits = nil, false
		for _, next := range pending {
			next.done(errors.New("power lost"))
		}
		h.open()
	}
	BeforeEach(func() { h, answers = newHarness(), nil })

	It("says that an item does not wait only once the end of its lot is committed", func() {
		h.submit(lotID, 2)
		h.leadership.holdsCommits = true
		h.call(wire.VerbEndLot, wire.ClientCall{Tenant: "team"})
		ask(wire.VerbLotItem, wire.ClientCall{ID: lotID, Tenant: "team", Item: lotID + "-1"})
		Expect(answers).To(BeEmpty())
		losePower()
		Expect(answers).To(HaveExactElements(HaveField("NotLeader", true)))
		ask(wire.VerbLotItem, wire.ClientCall{ID: lotID, Tenant: "team", Item: lotID + "-1"})
		Expect(answers[1].Status).To(Equal(http.StatusOK))
	})

	It("refuses the ID of another lot only once that lot is committed", func() {
		h.leadership.holdsCommits = true
		h.submit(lotID, 1)
		body := []byte(`{"item-list":[{"executor-id":"a","path":"/p/0"}]}`)
		ask(wire.VerbSubmitLot, wire.ClientCall{ID: lotID, Route: routeName, Tenant: "others", Body: body})
		Expect(answers).To(BeEmpty())
		losePower()
		ask(wire.VerbSubmitLot, wire.ClientCall{ID: lotID, Route: routeName, Tenant: "others", Body: body})
		Expect(answers).To(HaveExactElements(HaveField("NotLeader", true), HaveField("Status", http.StatusAccepted)))
	})

	It("says that a lot does not exist only once its removal is committed", func() {
		h.submit(lotID, 1)
		h.endRun(lotID+"-0", lots.OutcomeCompleted, progressOf("x"))
		h.passSeconds(119)
		h.leadership.holdsCommits = true
		h.passSeconds(2)
		ask(wire.VerbLotResults, wire.ClientCall{ID: lotID, Tenant: "team"})
		Expect(answers).To(BeEmpty())
		h.leadership.commitPending()
		Expect(answers).To(HaveExactElements(HaveField("Status", http.StatusNotFound)))
	})
})
