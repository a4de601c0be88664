package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client")
}

// steppedClock is a manual clock. endNextWait ends its waits one after another.
type steppedClock struct {
	now   atomic.Int64
	waits chan steppedWait
}

type steppedWait struct {
	length time.Duration
	done   chan time.Time
}

func (c *steppedClock) Monotonic() time.Duration { return time.Duration(c.now.Load()) }
func (c *steppedClock) WallMs() int64            { return 0 }
func (c *steppedClock) After(length time.Duration) <-chan time.Time {
	done := make(chan time.Time, 1)
	c.waits <- steppedWait{length, done}
	return done
}

// endNextWait advances the clock by the length of the next wait, ends that wait and returns its length.
func (c *steppedClock) endNextWait() time.Duration {
	next := <-c.waits
	c.now.Add(int64(next.length))
	next.done <- time.Time{}
	return next.length
}

// scriptedAnswer is the answer of a steward to one call.
type scriptedAnswer struct {
	status int
	body   string
}

// harness is a client with two stewards that answer from one script.
type harness struct {
	client *Client
	clock  *steppedClock
	calls  chan string
	script chan scriptedAnswer
	// specEnded is closed before the stewards are, since a steward closes only when no call waits for an answer from the script.
	specEnded chan struct{}
}

func newHarness() *harness {
	s := &harness{clock: &steppedClock{waits: make(chan steppedWait, 8)}, calls: make(chan string, 64), script: make(chan scriptedAnswer, 64),
		specEnded: make(chan struct{})}
	var addresses []string
	for range 2 {
		steward := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
			body := make([]byte, 1<<10)
			count, _ := request.Body.Read(body)
			s.calls <- strings.TrimSpace(request.Method + " " + request.URL.RequestURI() + " " + strings.TrimSpace(string(body[:count])))
			select {
			case next := <-s.script:
				to.WriteHeader(next.status)
				to.Write([]byte(next.body))
			case <-s.specEnded:
				to.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		DeferCleanup(steward.Close)
		addresses = append(addresses, strings.TrimPrefix(steward.URL, "http://"))
	}
	DeferCleanup(func() { close(s.specEnded) })
	var err error
	s.client, err = New(addresses, WithHolder("h"), WithClock(s.clock))
	Expect(err).NotTo(HaveOccurred())
	return s
}

func (s *harness) answers(answers ...scriptedAnswer) {
	for _, answer := range answers {
		s.script <- answer
	}
}

var (
	success     = scriptedAnswer{status: 200}
	unavailable = scriptedAnswer{status: 503}
)

const testHoldTime = 3 * time.Second

var _ = Describe("Lock", func() {
	var s *harness
	ctx := context.Background()
	acquire := func() *Lock {
		s.answers(scriptedAnswer{200, `{"fence-number":41}`})
		lock, err := s.client.TryAcquire(ctx, "a b", testHoldTime)
		Expect(err).NotTo(HaveOccurred())
		Expect(<-s.calls).To(Equal(`POST /v1/locks/a%20b/initiate {"holder":"h","hold-time-ms":3000}`))
		return lock
	}
	BeforeEach(func() { s = newHarness() })

	It("is renewed until it is released", func() {
		lock := acquire()
		Expect(lock.Fence()).To(Equal(uint64(41)))
		for range 3 {
			s.answers(success)
			Expect(s.clock.endNextWait()).To(Equal(testHoldTime / renewalsPerHoldTime))
			Expect(<-s.calls).To(Equal(`POST /v1/locks/a%20b/heartbeat {"holder":"h","fence-number":41,"hold-time-ms":3000}`))
		}
		Expect(lock.Context().Err()).NotTo(HaveOccurred())
		s.answers(success)
		Expect(lock.Release(ctx)).To(Succeed())
		Expect(<-s.calls).To(Equal(`POST /v1/locks/a%20b/terminate {"holder":"h","fence-number":41}`))
		Expect(context.Cause(lock.Context())).To(Equal(error(ErrReleased)))
	})

	It("ends its context when a steward refuses the renewal", func() {
		lock := acquire()
		s.answers(scriptedAnswer{status: 409})
		s.clock.endNextWait()
		<-lock.Context().Done()
		Expect(context.Cause(lock.Context())).To(Equal(error(ErrLost)))
	})

	It("ends its context before the hold time is over if no steward answers", func() {
		lock := acquire()
		script, stopAnswers := s.script, make(chan struct{})
		defer close(stopAnswers)
		go func() {
			for {
				select {
				case script <- unavailable:
				case <-stopAnswers:
					return
				}
			}
		}()
		for lock.Context().Err() == nil {
			select {
			case next := <-s.clock.waits:
				s.clock.now.Add(int64(next.length))
				next.done <- time.Time{}
			case <-lock.Context().Done():
			}
		}
		Expect(context.Cause(lock.Context())).To(Equal(error(ErrLost)))
		Expect(s.clock.Monotonic()).To(BeNumerically("<", testHoldTime))
	})

	It("makes TryAcquire return ErrHeld and Acquire wait while another client holds it", func() {
		_, err := func() (*Lock, error) {
			s.answers(scriptedAnswer{status: 409})
			return s.client.TryAcquire(ctx, "a", testHoldTime)
		}()
		Expect(err).To(MatchError(ErrHeld))
		s.answers(scriptedAnswer{status: 409}, scriptedAnswer{200, `{"fence-number":42}`})
		acquired := make(chan *Lock)
		go func() {
			lock, _ := s.client.Acquire(ctx, "a", testHoldTime)
			acquired <- lock
		}()
		Expect(s.clock.endNextWait()).To(Equal(testHoldTime / pollDivisor))
		Expect((<-acquired).Fence()).To(Equal(uint64(42)))
	})

	It("makes AcquireWithin wait for a limited time but at least for one attempt, and is held for longer than that time", func() {
		s.answers(scriptedAnswer{status: 409}, scriptedAnswer{status: 409}, scriptedAnswer{status: 409})
		acquireError := make(chan error)
		go func() {
			_, err := s.client.AcquireWithin(ctx, "a", testHoldTime, 3*testHoldTime/pollDivisor/2)
			acquireError <- err
		}()
		Expect(s.clock.endNextWait()).To(Equal(testHoldTime / pollDivisor))
		Expect(s.clock.endNextWait()).To(Equal(testHoldTime / pollDivisor / 2))
		Expect(<-acquireError).To(MatchError(ErrHeld))
		s.answers(unavailable)
		_, err := s.client.AcquireWithin(ctx, "a", testHoldTime, 0)
		Expect(err).To(MatchError(ErrNoAnswer))
		s.answers(scriptedAnswer{200, `{"fence-number":42}`}, success)
		lock, err := s.client.AcquireWithin(ctx, "a", testHoldTime, time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		s.clock.endNextWait()
		Expect(lock.Context().Err()).NotTo(HaveOccurred())
	})
})

var _ = Describe("Client", func() {
	var s *harness
	ctx := context.Background()
	BeforeEach(func() { s = newHarness() })

	It("retries a call at the next steward until there is a clear answer", func() {
		s.answers(unavailable, scriptedAnswer{status: 429}, scriptedAnswer{status: 504}, scriptedAnswer{200, `{"value":7}`})
		go s.clock.endNextWait()
		Expect(s.client.Number(ctx, "n")).To(Equal(uint64(7)))
		Expect(s.calls).To(HaveLen(4))
		Expect(<-s.calls).To(Equal("POST /v1/numbers/n {}"))
	})

	It("returns ErrNoAnswer if the context ends before a clear answer", func() {
		callContext, cancel := context.WithCancel(ctx)
		s.answers(unavailable, unavailable)
		go func() {
			<-s.calls
			<-s.calls
			cancel()
		}()
		_, err := s.client.Put(callContext, "g.a", "v", 3)
		Expect(err).To(MatchError(ErrNoAnswer))
	})

	It("returns a different error for each kind of refusal", func() {
		s.answers(scriptedAnswer{400, `{"error-text":"field value is no text"}`}, scriptedAnswer{412, `{"revision":9}`}, scriptedAnswer{404, `{}`},
			scriptedAnswer{410, `{}`}, scriptedAnswer{status: 405})
		_, err := s.client.Put(ctx, "g.a", "v", 3)
		var refusal *RefusedError
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(refusal).To(Equal(&RefusedError{400, "field value is no text"}))
		_, err = s.client.Put(ctx, "g.a", "v", 3)
		var conflict *ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Revision).To(Equal(uint64(9)))
		_, err = s.client.Get(ctx, "g.a")
		Expect(err).To(MatchError(ErrNoCell))
		_, _, err = s.client.Watch(ctx, "g.", 3)
		Expect(err).To(MatchError(ErrHistoryGone))
		_, err = s.client.Number(ctx, "n")
		Expect(err).To(MatchError("Method Not Allowed"))
	})

	It("starts and ends the evacuation of a zone, and returns the reason of a refusal", func() {
		s.answers(scriptedAnswer{status: 503}, scriptedAnswer{status: 200}, scriptedAnswer{status: 200}, scriptedAnswer{404, `{"error-text":"there is no zone of that name"}`})
		Expect(s.client.Evacuate(ctx, "north")).To(Succeed())
		Expect(s.client.EndEvacuation(ctx, "north")).To(Succeed())
		Expect(s.client.Evacuate(ctx, "nowhere")).To(MatchError("there is no zone of that name"))
		Expect([]string{<-s.calls, <-s.calls, <-s.calls}).To(Equal([]string{"POST /v1/evacuation/north/initiate", "POST /v1/evacuation/north/initiate",
			"POST /v1/evacuation/north/terminate"}))
	})

	It("reads, writes and follows cells", func() {
		s.answers(scriptedAnswer{200, `{"value":"v","revision":3}`}, scriptedAnswer{200, `{"revision":4}`}, scriptedAnswer{200, `{"events":[],"revision":4}`},
			scriptedAnswer{200, `{"events":[],"revision":4}`}, scriptedAnswer{200, `{"events":[{"name":"g.a","value":"w","revision":5}],"revision":5}`})
		Expect(s.client.Get(ctx, "g.a")).To(Equal(Cell{"v", 3}))
		Expect(s.client.Put(ctx, "g.a", "w", 3)).To(Equal(uint64(4)))
		Expect(s.client.Revision(ctx, "g.")).To(Equal(uint64(4)))
		enough := errors.New("enough")
		Expect(s.client.Follow(ctx, "g.", 4, func(events []Event) error {
			Expect(events).To(Equal([]Event{{Name: "g.a", Value: "w", Revision: 5}}))
			return enough
		})).To(Equal(enough))
		Expect([]string{<-s.calls, <-s.calls, <-s.calls, <-s.calls, <-s.calls}).To(Equal([]string{"GET /v1/cells/g.a/retrieve",
			`POST /v1/cells/g.a/replace {"value":"w","enabled":3}`, "GET /v1/watch/g.?depends-on=0&wait-time-ms=0",
			"GET /v1/watch/g.?depends-on=4&wait-time-ms=20000", "GET /v1/watch/g.?depends-on=4&wait-time-ms=20000"}))
	})

	It("is not created without addresses or with a malformed one, and has a random holder name", func() {
		_, err := New(nil)
		Expect(err).To(HaveOccurred())
		_, err = New([]string{"nowhere"})
		Expect(err).To(MatchError(ContainSubstring("nowhere")))
		named, err := New([]string{"10.0.0.1:1"})
		Expect(err).NotTo(HaveOccurred())
		Expect(named.Holder()).To(HaveLen(2 * holderBytes))
	})
})
