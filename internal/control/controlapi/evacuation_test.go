package controlapi

import (
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("a call about evacuations", func() {
	mayHaveWaited := false
	handler := NewEvacuationHandler(nil, func(zone string) bool { return zone == "anfa-a" }, func() bool { return mayHaveWaited })
	DescribeTable("is decoded, or refused with a status that shows what is wrong", func(method, path, body string, verb wire.Verb, status int) {
		call, refusal := handler.decode(httptest.NewRequest(method, path, strings.NewReader(body)))
		Expect(refusal.Status).To(Equal(status))
		if status == 0 {
			Expect(call.Verb).To(Equal(verb))
		}
	},
		Entry("start of an evacuation", "POST", "/v1/evacuation/anfa-a/initiate", "", wire.VerbEvacuate, 0),
		Entry("end of an evacuation", "POST", "/v1/evacuation/anfa-a/terminate", "", wire.VerbEndEvacuation, 0),
		Entry("list of the zones", "GET", "/v1/evacuation/retrieve", "", wire.VerbEvacuations, 0),
		Entry("unknown zone", "POST", "/v1/evacuation/anfa-x/initiate", "", wire.Verb(""), 404),
		Entry("unknown call", "POST", "/v1/evacuation/anfa-a/begin", "", wire.Verb(""), 404),
		Entry("wrong method", "GET", "/v1/evacuation/anfa-a/initiate", "", wire.Verb(""), 405),
		Entry("wrong method for the list", "POST", "/v1/evacuation/retrieve", "", wire.Verb(""), 405),
		Entry("unexpected body", "POST", "/v1/evacuation/anfa-a/initiate", "{}", wire.Verb(""), 400),
	)

	// While the process was suspended, the caller may have timed out and gone to another steward.
	It("is refused if it may have waited while the process was suspended", func() {
		mayHaveWaited = true
		defer func() { mayHaveWaited = false }()
		_, refusal := handler.decode(httptest.NewRequest("POST", "/v1/evacuation/anfa-a/initiate", nil))
		Expect(refusal.Status).To(Equal(503))
		Expect(refusal.RetryAfter).To(Equal(1))
	})

	DescribeTable("is answered according to its outcome", func(mayHaveRun bool, answer *wire.ClientAnswer, status int) {
		reply := EvacuationReply(&wire.ClientCall{Verb: wire.VerbEvacuate}, leaderclient.Outcome{Answer: answer, MayHaveRun: mayHaveRun})
		Expect(reply.Status).To(Equal(status))
	},
		Entry("not sent", false, nil, 503),
		Entry("sent and not answered", true, nil, 504),
		Entry("carried out", true, &wire.ClientAnswer{Status: 200}, 200),
		Entry("refused", false, &wire.ClientAnswer{Status: 500, Reason: "why"}, 500),
	)

	It("returns the list of zones", func() {
		body := []byte(`{"n":3,"z":[{"z":"anfa-a","t":5}]}`)
		reply := EvacuationReply(&wire.ClientCall{Verb: wire.VerbEvacuations}, leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200, Body: body}})
		Expect(string(reply.Body)).To(Equal(`{"evacuation-number":3,"zone-list":[{"zone":"anfa-a","since-ms":5}]}`))
	})
})
