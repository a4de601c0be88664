package commitqueue_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/juju/errors"

	"gannetline/internal/platform/commitqueue"
)

var errLost = errors.ConstError("lost")

var _ = Describe("a queue of commits", func() {
	var queue commitqueue.Queue
	var order []string
	note := func(name string) func(error) {
		return func(err error) {
			if err != nil {
				name += " " + err.Error()
			}
			order = append(order, name)
		}
	}
	BeforeEach(func() { queue, order = commitqueue.Queue{}, nil })

	It("runs what follows each commit, in their order, and what follows all after the last", func() {
		first, second := queue.Add(note("a"), note("b")), queue.Add(note("c"))
		queue.AfterAll(note("d"))
		Expect(queue.Len()).To(Equal(2))
		Expect(queue.End(first, nil)).To(BeTrue())
		Expect(order).To(Equal([]string{"a", "b"}))
		Expect(queue.End(second, errLost)).To(BeTrue())
		Expect(order).To(Equal([]string{"a", "b", "c lost", "d lost"}))
		queue.AfterAll(note("e"))
		Expect(order).To(HaveLen(5), "nothing is under way")
	})

	It("runs nothing for a commit of an earlier leadership", func() {
		earlier := queue.Add(note("a"))
		for _, callback := range queue.TakeCallbacks() {
			callback(errLost)
		}
		Expect(order).To(Equal([]string{"a lost"}))
		later := queue.Add(note("b"))
		Expect(queue.End(earlier, nil)).To(BeFalse())
		Expect(order).To(HaveLen(1))
		Expect(queue.End(later, nil)).To(BeTrue())
	})

	It("may be added to by what follows a commit", func() {
		first := queue.Add(func(error) { queue.Add(note("added")) })
		queue.End(first, nil)
		Expect(queue.Len()).To(Equal(1))
	})
})
