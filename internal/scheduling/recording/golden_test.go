package recording_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/recording"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the encoding of recorded events stays the same",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("event", "event", &recording.Event{}),
)
