package controlapi

import (
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a call about zones that are to be emptied", func() {
	hasStalled := false
	evacuation := NewEvacuation(nil, func(zone string) bool { return zone == "anfa-a" }, func() bool { return hasStalled })
	DescribeTable("is taken, or refused with what is wrong", func(method, path, body string, verb wire.Verb, status int) {
		call, refusal := evacuation.decode(httptest.NewRequest(method, path, strings.NewReader(body)))
		Expect(refusal.Status).To(Equal(status))
		if status == 0 {
			Expect(call.Verb).To(Equal(verb))
		}
	},
		Entry("order", "POST", "/v1/evacuation/anfa-a/initiate", "", wire.VerbEvacuate, 0),
		Entry("its end", "POST", "/v1/evacuation/anfa-a/terminate", "", wire.VerbEndEvacuation, 0),
		Entry("question", "GET", "/v1/evacuation/retrieve", "", wire.VerbEvacuations, 0),
		Entry("unknown zone", "POST", "/v1/evacuation/anfa-x/initiate", "", wire.Verb(""), 404),
		Entry("unknown call", "POST", "/v1/evacuation/anfa-a/begin", "", wire.Verb(""), 404),
		Entry("method", "GET", "/v1/evacuation/anfa-a/initiate", "", wire.Verb(""), 405),
		Entry("method of the question", "POST", "/v1/evacuation/retrieve", "", wire.Verb(""), 405),
		Entry("body", "POST", "/v1/evacuation/anfa-a/initiate", "{}", wire.Verb(""), 400),
	)

	It("is not taken from a caller who may have gone elsewhere meanwhile", func() {
		hasStalled = true
		defer func() { hasStalled = false }()
		_, refusal := evacuation.decode(httptest.NewRequest("POST", "/v1/evacuation/anfa-a/initiate", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(Equal(1))
	})

	DescribeTable("is answered with what is known", func(mayHaveRun bool, answer *wire.ClientAnswer, status int) {
		reply := EvacuationReply(&wire.ClientCall{Verb: wire.VerbEvacuate}, leaderclient.Outcome{Answer: answer, MayHaveRun: mayHaveRun})
		Expect(reply.Status).To(Equal(status))
	},
		Entry("nothing was sent", false, nil, 503),
		Entry("something was sent", true, nil, 504),
		Entry("done", true, &wire.ClientAnswer{Status: 200}, 200),
		Entry("refused", false, &wire.ClientAnswer{Status: 500, Reason: "why"}, 500),
	)

	It("tells the zones", func() {
		body := []byte(`{"n":3,"z":[{"z":"anfa-a","t":5}]}`)
		reply := EvacuationReply(&wire.ClientCall{Verb: wire.VerbEvacuations}, leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200, Body: body}})
		Expect(string(reply.Body)).To(Equal(`{"evacuation-number":3,"zone-list":[{"zone":"anfa-a","since-ms":5}]}`))
	})
})
