package executorapi_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the encoding of messages matches the golden files",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("beat", "beat", &executorapi.Heartbeat{}),
	Entry("run-start", "run-start", &executorapi.RunStart{}),
	Entry("run-stop", "run-stop", &executorapi.RunStop{}),
	Entry("hold", "hold", &executorapi.Hold{}),
	Entry("answer", "answer", &executorapi.Answer{}),
)
