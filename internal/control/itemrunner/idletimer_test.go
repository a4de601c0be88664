package itemrunner_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/itemrunner"
	"gannetline/internal/control/lots"
	"gannetline/internal/platform/mailbox"
)

// steppedClock stands still until the test moves it; each wait ends when the test rings.
type steppedClock struct {
	now   atomic.Int64
	waits chan chan time.Time
}

func (c *steppedClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *steppedClock) WallMs() int64            { return 0 }
func (c *steppedClock) After(time.Duration) <-chan time.Time {
	ring := make(chan time.Time, 1)
	c.waits <- ring
	return ring
}

// pass moves the clock and ends the wait that is under way.
func (c *steppedClock) pass(length time.Duration) {
	ring := <-c.waits
	c.now.Add(int64(length))
	ring <- time.Time{}
}

// silentExecutor answers with some events and then nothing more. Each time that all of it was read, it says so.
type silentExecutor struct {
	events chan string
	idle   chan struct{}
}

// RoundTrip gives the head of the answer, with a body that belongs to the call.
func (e *silentExecutor) RoundTrip(call *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}, Request: call,
		Header: http.Header{"X-Request-Id": {itemID}, "Content-Type": {"text/event-stream"}}, Body: io.NopCloser(&silentBody{e, call.Context()})}, nil
}

// silentBody gives one event a read, and waits for the next one until the call ends.
type silentBody struct {
	executor *silentExecutor
	ctx      context.Context
}

// Read tells that all that came was read, and waits for more.
func (b *silentBody) Read(into []byte) (int, error) {
	b.executor.idle <- struct{}{}
	select {
	case event := <-b.executor.events:
		return strings.NewReader(event).Read(into)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

var _ = Describe("an item at an executor that brings nothing", func() {
	const limit = 2 * time.Second
	var now *steppedClock
	var executor *silentExecutor
	var inbox *mailbox.Mailbox
	var outcome lots.Outcome
	var progress lots.Progress
	var isOver bool

	BeforeEach(func() {
		now = &steppedClock{waits: make(chan chan time.Time, 4)}
		executor = &silentExecutor{events: make(chan string), idle: make(chan struct{}, 4)}
		inbox, isOver = mailbox.New(1), false
		runner := itemrunner.New(context.Background(), now, &http.Client{Transport: executor}, inbox)
		run := lots.Run{ItemID: itemID, Path: "/p", Executor: wire.ExecutorRecord{ID: "i-1", Address: "executor"}, IdleTimeout: limit}
		runner.Start(run, func(given lots.Outcome, reached lots.Progress) { outcome, progress, isOver = given, reached, true })
	})

	It("is given up after a while, with what it has brought", func() {
		<-executor.idle
		executor.events <- "id: 1\ndata: piece 1\n\n"
		<-executor.idle
		now.pass(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(isOver).To(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress).To(Equal(lots.Progress{LastEventID: "1", Texts: []string{"piece 1"}}))
	})

	It("is given up where nothing ever came", func() {
		<-executor.idle
		now.pass(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress).To(Equal(lots.Progress{}))
	})

	It("goes on while events come", func() {
		<-executor.idle
		now.now.Add(int64(limit - time.Millisecond))
		executor.events <- "id: 1\ndata: piece 1\n\n"
		<-executor.idle
		now.pass(time.Millisecond)
		now.pass(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress.Texts).To(HaveLen(1))
		Expect(now.Monotonic()).To(Equal(2 * limit))
	})
})
