package mailbox

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/clock"
)

var _ = Describe("a mailbox", func() {
	It("does not run a question whose asker has given up by its turn", func() {
		box, wasRun := New(4), 0
		question := func(answer func(int)) { wasRun++; answer(wasRun) }
		ctx, end := context.WithCancel(context.Background())
		givenUp := make(chan error)
		go func() {
			_, err := Ask(ctx, box, question)
			givenUp <- err
		}()
		Eventually(func() int { return len(box.messages) }).Should(Equal(1))
		end()
		Expect(<-givenUp).To(HaveOccurred())
		box.Drain()
		Expect(wasRun).To(BeZero())
		answered := make(chan int)
		go func() {
			answer, _ := Ask(context.Background(), box, question)
			answered <- answer
		}()
		Eventually(func() int { return len(box.messages) }).Should(Equal(1))
		box.Drain()
		Expect(<-answered).To(Equal(1))
	})

	It("runs what an outbox sends before all that waits, in order, and takes as much of it as there is", func() {
		box := New(2)
		outbox := NewOutbox(box)
		var order []string
		say := func(what string) func() { return func() { order = append(order, what) } }
		box.Post(say("posted"))
		for _, what := range []string{"one", "two", "three", "four", "five"} {
			outbox.Send(say(what))
		}
		for box.Step() {
			outbox.Flush()
		}
		Expect(order).To(Equal([]string{"one", "two", "three", "four", "five", "posted"}))
	})

	It("does so too when its owner wakes to several at once", func() {
		for range 50 {
			box, ended := New(4), make(chan struct{})
			var order []string
			box.Post(func() { order = append(order, "posted") })
			box.Post(func() { close(ended) })
			NewOutbox(box).Send(func() { order = append(order, "sent") })
			ctx, end := context.WithCancel(context.Background())
			go box.Run(ctx, clock.NewFake(0), Owner{Every: time.Second})
			<-ended
			end()
			Expect(order).To(Equal([]string{"sent", "posted"}))
		}
	})
})
