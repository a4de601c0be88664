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

// steppedClock is a clock that only moves when the test moves it. A wait ends when the test calls advance, regardless of its length.
type steppedClock struct {
	now   atomic.Int64
	waits chan chan time.Time
}

func (c *steppedClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *steppedClock) WallMs() int64            { return 0 }
func (c *steppedClock) After(time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	c.waits <- fired
	return fired
}

// advance moves the clock and ends the oldest wait. If there is no wait yet, it blocks until there is one.
func (c *steppedClock) advance(length time.Duration) {
	fired := <-c.waits
	c.now.Add(int64(length))
	fired <- time.Time{}
}

// silentExecutor answers with the events that the test sends to events. It sends to idle whenever the reader has read all of these events.
type silentExecutor struct {
	events chan string
	idle   chan struct{}
}

// RoundTrip returns an answer whose body ends only when the call does.
func (e *silentExecutor) RoundTrip(call *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, ContentLength: -1, TransferEncoding: []string{"chunked"}, Request: call,
		Header: http.Header{"X-Request-Id": {itemID}, "Content-Type": {"text/event-stream"}}, Body: io.NopCloser(&silentBody{e, call.Context()})}, nil
}

// silentBody returns one event per read and blocks until the next event or the end of the call.
type silentBody struct {
	executor *silentExecutor
	ctx      context.Context
}

// Read tells the test on idle that all events were read, and waits for the next one.
func (b *silentBody) Read(into []byte) (int, error) {
	b.executor.idle <- struct{}{}
	select {
	case event := <-b.executor.events:
		return strings.NewReader(event).Read(into)
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

var _ = Describe("the idle timeout of a run", func() {
	const limit = 2 * time.Second
	var testClock *steppedClock
	var executor *silentExecutor
	var inbox *mailbox.Mailbox
	var outcome lots.Outcome
	var progress lots.Progress
	var isDone bool

	BeforeEach(func() {
		testClock = &steppedClock{waits: make(chan chan time.Time, 4)}
		executor = &silentExecutor{events: make(chan string), idle: make(chan struct{}, 4)}
		inbox, isDone = mailbox.New(1), false
		runner := itemrunner.New(context.Background(), testClock, &http.Client{Transport: executor}, inbox)
		run := lots.Run{ItemID: itemID, Path: "/p", Executor: wire.ExecutorRecord{ID: "i-1", Address: "executor"}, IdleTimeout: limit}
		runner.Start(run, func(received lots.Outcome, partial lots.Progress) {
			outcome, progress, isDone = received, partial, true
		})
	})

	It("ends a run that stops sending events and keeps its progress", func() {
		<-executor.idle
		executor.events <- "id: 1\ndata: piece 1\n\n"
		<-executor.idle
		testClock.advance(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(isDone).To(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress).To(Equal(lots.Progress{LastEventID: "1", Texts: []string{"piece 1"}}))
	})

	It("ends a run that never sends an event", func() {
		<-executor.idle
		testClock.advance(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress).To(Equal(lots.Progress{}))
	})

	It("restarts with each event", func() {
		<-executor.idle
		testClock.now.Add(int64(limit - time.Millisecond))
		executor.events <- "id: 1\ndata: piece 1\n\n"
		<-executor.idle
		testClock.advance(time.Millisecond)
		testClock.advance(limit)
		Eventually(inbox.Step, "30s").Should(BeTrue())
		Expect(outcome).To(Equal(lots.OutcomeTimedOut))
		Expect(progress.Texts).To(HaveLen(1))
		Expect(testClock.Monotonic()).To(Equal(2 * limit))
	})
})
