package controlapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlapi"
)

var _ = DescribeTable("the reply to the operator", func(base int64, outcome leaderclient.Outcome, status int) {
	Expect(controlapi.Reply(&wire.ClientCall{Verb: "replace", Base: base}, outcome).Status).To(Equal(status))
},
	Entry("no leader answered", int64(5), leaderclient.Outcome{}, 503),
	Entry("no leader answered, and a try may have been committed", int64(5), leaderclient.Outcome{MayHaveRun: true}, 503),
	Entry("committed", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 200}}, 200),
	Entry("committed after a try with an unknown outcome", int64(5), leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 200}}, 200),
	Entry("refused on the first try", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 3}}, 412),
	Entry("refused after a try with an unknown outcome, with a current version above the base: final", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 7}}, 412),
	Entry("refused after a try with an unknown outcome, with a current version below the base: not final", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no", Current: 3}}, 503),
	Entry("refused after a try with an unknown outcome, without a current version, as an older release that keeps 64 versions answers", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 412, Reason: "no"}}, 503),
	Entry("invalid after a try with an unknown outcome: refused by every leader", int64(5),
		leaderclient.Outcome{MayHaveRun: true, Answer: &wire.ClientAnswer{Status: 400, Reason: "no"}}, 400),
	Entry("empty answer of the leader", int64(5), leaderclient.Outcome{Answer: &wire.ClientAnswer{}}, 0),
)
