package recording_test

import (
	"fmt"
	"strings"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/scheduling/recording"
	"gannetline/internal/testsupport/golden"
)

var _ = Describe("a recording written by an earlier version", func() {
	It("is read with all its events", func() {
		day, err := recording.ReadFiles([]string{"testdata/recording-cb820b6.jsonl"}, true)
		Expect(err).NotTo(HaveOccurred())
		var contents strings.Builder
		fmt.Fprintf(&contents, "lines %d lost %d skipped %d\n", day.Lines, day.Lost, day.Skipped)
		for _, event := range day.Events {
			text, err := easyjson.Marshal(event)
			Expect(err).NotTo(HaveOccurred())
			fmt.Fprintf(&contents, "%s\n", text)
		}
		Expect(golden.CheckText("testdata/recording-contents.txt", contents.String())).To(Succeed())
	})
})
