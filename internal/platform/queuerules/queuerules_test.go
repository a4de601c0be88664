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

var _ = Describe("Rules", func() {
	It("select the executors of their queue and order its steps", func() {
		rules, err := compile(`"r1" in labels && cpu >= 8000`, `due - 1000 * tasks`)
		Expect(err).NotTo(HaveOccurred())
		Expect(rules.Allows("q", queuerules.Executor{Labels: []string{"a", "r1"}, CPU: 16000})).To(BeTrue())
		Expect(rules.Allows("q", queuerules.Executor{Labels: []string{"a", "r2"}, CPU: 16000})).To(BeFalse())
		Expect(rules.Allows("other", queuerules.Executor{})).To(BeTrue())
		Expect(rules.Order("q", queuerules.Step{Due: 5000, Tasks: 3})).To(Equal(int64(2000)))
	})

	It("are nil if there are none, and then allow all executors and order by due time", func() {
		rules, err := compile("", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(rules).To(BeNil())
		Expect(rules.Allows("q", queuerules.Executor{})).To(BeTrue())
		Expect(rules.Order("q", queuerules.Step{Due: 7})).To(Equal(int64(7)))
	})

	It("order by due time if the evaluation fails", func() {
		rules, err := compile(``, `due / (tasks - 3) > 0 ? due % (tasks - 3) : due`)
		Expect(err).NotTo(HaveOccurred())
		Expect(rules.Order("q", queuerules.Step{Due: 7, Tasks: 3})).To(Equal(int64(7)))
	})

	DescribeTable("are refused by Compile with the queue and the reason", func(use, order, reason string) {
		_, err := compile(use, order)
		Expect(err).To(MatchError(And(ContainSubstring("queue q"), ContainSubstring(reason))))
	},
		Entry("an unknown name", `speed > 3`, ``, "field use"),
		Entry("a use rule that is not boolean", `cpu + 1`, ``, "field use"),
		Entry("an order rule that is not a number", ``, `"x"`, "field order"),
		Entry("a loop", `all(labels, # == "a")`, ``, "field use"),
		Entry("a text that is too long", `cpu > 0`+strings.Repeat(" && cpu > 0", 100), ``, "longer"),
		Entry("too many nodes", `cpu>0`+strings.Repeat("||cpu>0", 60), ``, "field use"),
	)
})
