package queuerules_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/queuerules"
)

func compile(use, order string) (*queuerules.Rules, error) {
	return queuerules.Compile(map[string]queuerules.Text{"q": {Use: use, Order: order}})
}

var _ = Describe("rules of a queue", func() {
	It("say which executors it may use, and how its steps are ordered", func() {
		rules, err := compile(`"r1" in labels && cpu >= 8000`, `due - 1000 * tasks`)
		Expect(err).NotTo(HaveOccurred())
		Expect(rules.Allows("q", queuerules.Executor{Labels: []string{"a", "r1"}, CPU: 16000})).To(BeTrue())
		Expect(rules.Allows("q", queuerules.Executor{Labels: []string{"a", "r2"}, CPU: 16000})).To(BeFalse())
		Expect(rules.Allows("other", queuerules.Executor{})).To(BeTrue())
		Expect(rules.Order("q", queuerules.Step{Due: 5000, Tasks: 3})).To(Equal(int64(2000)))
	})

	It("are nothing when there are none", func() {
		rules, err := compile("", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(rules).To(BeNil())
		Expect(rules.Allows("q", queuerules.Executor{})).To(BeTrue())
		Expect(rules.Order("q", queuerules.Step{Due: 7})).To(Equal(int64(7)))
	})

	It("leave things as they are where they can't be worked out", func() {
		rules, err := compile(``, `due / (tasks - 3) > 0 ? due % (tasks - 3) : due`)
		Expect(err).NotTo(HaveOccurred())
		Expect(rules.Order("q", queuerules.Step{Due: 7, Tasks: 3})).To(Equal(int64(7)))
	})

	DescribeTable("are refused when loaded, with the queue and the field", func(use, order, why string) {
		_, err := compile(use, order)
		Expect(err).To(MatchError(And(ContainSubstring("queue q"), ContainSubstring(why))))
	},
		Entry("unknown name", `speed > 3`, ``, "field use"),
		Entry("not a truth", `cpu + 1`, ``, "field use"),
		Entry("no number", ``, `"x"`, "field order"),
		Entry("a loop", `all(labels, # == "a")`, ``, "field use"),
		Entry("too long", `cpu > 0`+strings.Repeat(" && cpu > 0", 100), ``, "longer"),
		Entry("too many parts", `cpu>0`+strings.Repeat("||cpu>0", 60), ``, "field use"),
	)
})
