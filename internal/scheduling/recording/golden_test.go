package recording_test

import (
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/recording"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the form of the lines of a recording is kept",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(filepath.Join("testdata", "messages", name+".json"), empty)).To(Succeed())
	},
	Entry("event", "event", &recording.Event{}),
)
