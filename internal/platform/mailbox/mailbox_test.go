package mailbox

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
)

var _ = Describe("Mailbox", func() {
	It("skips a question whose context is done before it runs", func() {
		box, runs := New(4), 0
		question := func(answer func(int)) { runs++; answer(runs) }
		ctx, cancel := context.WithCancel(context.Background())
		askError := make(chan error)
		go func() {
			_, err := Ask(ctx, box, question)
			askError <- err
		}()
		Eventually(func() int { return len(box.messages) }).Should(Equal(1))
		cancel()
		Expect(<-askError).To(HaveOccurred())
		box.Drain()
		Expect(runs).To(BeZero())
		answered := make(chan int)
		go func() {
			answer, _ := Ask(context.Background(), box, question)
			answered <- answer
		}()
		Eventually(func() int { return len(box.messages) }).Should(Equal(1))
		box.Drain()
		Expect(<-answered).To(Equal(1))
	})

	It("runs all functions of an outbox in order and before posted ones, even if they exceed its size", func() {
		box := New(2)
		outbox := NewOutbox(box)
		var order []string
		appendTo := func(name string) func() { return func() { order = append(order, name) } }
		box.Post(appendTo("posted"))
		for _, name := range []string{"one", "two", "three", "four", "five"} {
			outbox.Send(appendTo(name))
		}
		for box.Step() {
			outbox.Flush()
		}
		Expect(order).To(Equal([]string{"one", "two", "three", "four", "five", "posted"}))
	})

	It("runs functions of an outbox before posted ones when Run finds both pending", func() {
		for range 50 {
			box, drained := New(4), make(chan struct{})
			var order []string
			box.Post(func() { order = append(order, "posted") })
			box.Post(func() { close(drained) })
			NewOutbox(box).Send(func() { order = append(order, "sent") })
			ctx, cancel := context.WithCancel(context.Background())
			go box.Run(ctx, clock.NewFake(0), Owner{Every: time.Second})
			<-drained
			cancel()
			Expect(order).To(Equal([]string{"sent", "posted"}))
		}
	})
})
