package commitqueue_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/juju/errors"

	"gannetline/internal/platform/commitqueue"
)

var errLost = errors.ConstError("lost")

var _ = Describe("Queue", func() {
	var queue commitqueue.Queue
	var order []string
	record := func(name string) func(error) {
		return func(err error) {
			if err != nil {
				name += " " + err.Error()
			}
			order = append(order, name)
		}
	}
	BeforeEach(func() { queue, order = commitqueue.Queue{}, nil })

	It("runs the callbacks of each commit in order, and those of AfterAll after the last commit", func() {
		first, second := queue.Add(record("a"), record("b")), queue.Add(record("c"))
		queue.AfterAll(record("d"))
		Expect(queue.Len()).To(Equal(2))
		Expect(queue.End(first, nil)).To(BeTrue())
		Expect(order).To(Equal([]string{"a", "b"}))
		Expect(queue.End(second, errLost)).To(BeTrue())
		Expect(order).To(Equal([]string{"a", "b", "c lost", "d lost"}))
		queue.AfterAll(record("e"))
		Expect(order).To(HaveLen(5), "no commit is pending")
	})

	It("ignores the end of a commit of an earlier leadership", func() {
		earlier := queue.Add(record("a"))
		for _, callback := range queue.TakeCallbacks() {
			callback(errLost)
		}
		Expect(order).To(Equal([]string{"a lost"}))
		later := queue.Add(record("b"))
		Expect(queue.End(earlier, nil)).To(BeFalse())
		Expect(order).To(HaveLen(1))
		Expect(queue.End(later, nil)).To(BeTrue())
	})

	It("accepts a new commit from a callback", func() {
		first := queue.Add(func(error) { queue.Add(record("added")) })
		queue.End(first, nil)
		Expect(queue.Len()).To(Equal(1))
	})
})
