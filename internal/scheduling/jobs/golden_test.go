package jobs_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the encoding of a submitted job stays the same",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("step", "step", &jobs.Step{}),
	Entry("spec", "spec", &jobs.Spec{}),
)
