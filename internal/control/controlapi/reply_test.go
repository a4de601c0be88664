package controlapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlapi"
)

var _ = DescribeTable("the answer to the operator", func(base int64, outcome leaderclient.Outcome, status int) {
	Expect(controlapi.Reply(&wire.ClientCall{Verb: "replace", Base: base}, outcome).Status).To(Equal(status))
},
	Entry("nobody answered", int64(5), leaderclient.Outcome{}, 503),
	Entry("nobody answered, and a try may have been taken", int64(5), leaderclient.Outcome{MayHaveRun: true}, 503),
	Entry("taken", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200}}, 200),
	Entry("taken, after an unclear try", int64(5), leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 200}}, 200),
	Entry("refused at the first try", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 3}}, 412),
	Entry("refused after an unclear try, by a leader beyond the base: final", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 7}}, 412),
	Entry("refused after an unclear try, by a leader that may still reach the base", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 3}}, 503),
	Entry("refused after an unclear try, by a leader of an earlier version, which remembers 64 changes", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no"}}, 503),
	Entry("invalid, after an unclear try: no leader takes it", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 400, Reason: "no"}}, 400),
	Entry("no answer at all in the answer", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{}}, 0),
)
