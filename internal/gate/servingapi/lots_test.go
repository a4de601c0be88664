package servingapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a call about a lot", func() {
	It("becomes a call to the leader of the lots' partition", func() {
		request := httptest.NewRequest("POST", "/l/1", nil)
		request.Header.Set("X-Request-Id", "7c41e09b52d6a3f8")
		decision := Decision{Kind: kindSubmitLot, Route: &configuration.Route{Name: "lots"}, Tenant: "team"}
		call, _ := callOf(request, decision, []byte(`{"item-list":[]}`))
		Expect(*call).To(Equal(wire.ClientCall{Key: wire.LotsKey, Verb: wire.VerbSubmitLot, ID: "7c41e09b52d6a3f8", Route: "lots", Tenant: "team",
			Body: []byte(`{"item-list":[]}`)}))
		_, refusal := callOf(request, decision, []byte(`{"item-list":`))
		Expect(refusal.Status).To(Equal(http.StatusBadRequest))
	})

	It("waits at the leader for at most maxWait", func() {
		request := httptest.NewRequest("GET", "/v1/lots/7c41?depends-on=12", nil)
		request.Header.Set("X-Wait-Time", "1000")
		call, _ := callOf(request, Decision{Kind: kindReadLot}, nil)
		Expect(call.ID).To(Equal("7c41"))
		Expect(call.Base).To(Equal(int64(12)))
		Expect(time.Duration(call.RemainingMs) * time.Millisecond).To(Equal(maxWait))
	})

	// Guards against a wait time that wraps around below zero.
	It("waits for at most maxWait also if its client asks for more than a duration can hold", func() {
		request := httptest.NewRequest("GET", "/v1/lots/7c41?depends-on=0", nil)
		request.Header.Set("X-Wait-Time", "9223372036854775807")
		Expect(waitOf(request)).To(Equal(maxWait))
	})

	DescribeTable("is answered", func(verb wire.Verb, outcome leaderclient.Outcome, status int, body string) {
		reply := replyOf(&wire.ClientCall{Verb: verb}, outcome)
		Expect(reply.Status).To(Equal(status))
		Expect(strings.TrimSpace(string(reply.Body))).To(ContainSubstring(body))
	},
		Entry("a lot that was accepted", wire.VerbSubmitLot, leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 202}}, 202, ""),
		Entry("a lot that may have been accepted", wire.VerbSubmitLot, leaderclient.Outcome{MayHaveRun: true}, 504, ""),
		Entry("a lot that an earlier attempt may have submitted", wire.VerbSubmitLot,
			leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 429, Reason: "full"}}, 504, ""),
		Entry("a lot that was certainly not accepted", wire.VerbSubmitLot, leaderclient.Outcome{}, 503, ""),
		Entry("a lot that is refused for lack of room", wire.VerbSubmitLot, leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 429, Reason: "full", RetryAfterS: 1}}, 429, "full"),
		Entry("a read without an answer of the leader", wire.VerbLotResults, leaderclient.Outcome{MayHaveRun: true}, 503, ""),
		Entry("the body of an item", wire.VerbLotItem, leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200, Body: []byte(`"YWJj"`)}}, 200, "abc"),
	)
})
