package forwarding_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/gate/balancer"
	"gannetline/internal/gate/forwarding"
)

const (
	service   = "s"
	requestID = "9c41d07be2a35f68"
	// timeRemaining is how long each client waits, on a stoppedClock.
	timeRemaining = 10 * time.Second
)

// fleet is a set of scripted executors behind a gate that forwards all requests.
type fleet struct {
	balancer *balancer.Balancer
	gate     *httptest.Server
	// calls counts the calls to executors.
	calls atomic.Int64
	// request has the properties of each forwarded request that do not come from the client.
	request forwarding.Request
	clock   *stoppedClock
}

// stoppedClock stands still and can be used by many goroutines. Closing expired ends all waits.
type stoppedClock struct{ expired chan time.Time }

func (c *stoppedClock) Monotonic() time.Duration             { return time.Minute }
func (c *stoppedClock) WallMs() int64                        { return 0 }
func (c *stoppedClock) After(time.Duration) <-chan time.Time { return c.expired }

// newFleet starts as many executors as there are scripts. The first script answers the first call, whichever executor it goes to, the second
// script the second call, and so on. The last script also answers all further calls.
func newFleet(request forwarding.Request, scripts ...http.HandlerFunc) *fleet {
	stopped := &stoppedClock{expired: make(chan time.Time)}
	f := &fleet{balancer: balancer.New("z", stopped), request: request, clock: stopped}
	var records []wire.ExecutorRecord
	for number := range scripts {
		executor := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, call *http.Request) {
			script := scripts[min(int(f.calls.Add(1))-1, len(scripts)-1)]
			script(to, call)
		}))
		DeferCleanup(executor.Close)
		records = append(records, wire.ExecutorRecord{ID: fmt.Sprint("i-", number), Service: service, Address: executor.Listener.Addr().String(), Zone: "z", Slots: 4})
	}
	f.balancer.Update(records)
	forwarder := forwarding.New(&http.Client{}, f.balancer, stopped)
	f.gate = httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, from *http.Request) {
		forwarded := f.request
		forwarded.Service, forwarded.Method, forwarded.Path, forwarded.Host, forwarded.Header = service, from.Method, from.URL.RequestURI(), from.Host, from.Header
		forwarded.Body, _ = io.ReadAll(from.Body)
		forwarded.TimeRemaining = timeRemaining
		forwarder.Serve(from.Context(), to, &forwarded)
	}))
	DeferCleanup(f.gate.Close)
	return f
}

// send sends a request through the gate.
func (f *fleet) send() (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, f.gate.URL+"/p/2f?x=1", bytes.NewReader([]byte{0, 1, 0xff}))
	Expect(err).NotTo(HaveOccurred())
	request.Host = "nony24.example"
	request.Header.Set("X-Request-Id", requestID)
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("X-Tenant", "not-mine")
	request.Header.Set("Connection", "X-Mine")
	request.Header.Set("X-Mine", "1")
	return http.DefaultClient.Do(request)
}

// writeHead writes the head of an answer.
func writeHead(to http.ResponseWriter, contentType string) {
	to.Header().Set("X-Request-Id", requestID)
	to.Header().Set("X-Server-Seal", "3e1b")
	to.Header().Set("Content-Type", contentType)
	to.WriteHeader(http.StatusOK)
}

// streaming returns a script that answers with the events numbered first to last, and then breaks off if breaksOff is set.
func streaming(first, last int, breaksOff bool) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		writeHead(to, "text/event-stream")
		for number := first; number <= last; number++ {
			fmt.Fprintf(to, "id: %d\ndata: piece %d\n\n", number, number)
		}
		to.(http.Flusher).Flush()
		if breaksOff {
			panic(http.ErrAbortHandler)
		}
	}
}

// refusingAs returns a script that answers with a status and the ID of a request that it was not run.
func refusingAs(id string, status int) http.HandlerFunc {
	return func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("X-Request-Id", id)
		to.Header().Set("X-Not-Executed", "1")
		to.WriteHeader(status)
	}
}

// refusing answers that the request was not run.
func refusing(to http.ResponseWriter, call *http.Request) {
	refusingAs(requestID, http.StatusServiceUnavailable)(to, call)
}

// breaking closes the connection without an answer.
func breaking(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("a forwarded request", func() {
	It("reaches the executor unchanged except for hop-by-hop headers, the key and the headers of this system", func() {
		var got *http.Request
		var body []byte
		f := newFleet(forwarding.Request{Tenant: "team", MaxAttempts: 1}, func(to http.ResponseWriter, call *http.Request) {
			got = call.Clone(call.Context())
			body, _ = io.ReadAll(call.Body)
			to.Header().Set("X-Executor-Load", "3,1,4")
			writeHead(to, "application/octet-stream")
			to.Write([]byte{7, 0, 9})
		})
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(answer.Body)).To(Equal([]byte{7, 0, 9}))
		Expect(answer.Header.Get("X-Server-Seal")).To(Equal("3e1b"))
		Expect(got.URL.RequestURI()).To(Equal("/p/2f?x=1"))
		Expect(got.Host).To(Equal("nony24.example"))
		Expect(body).To(Equal([]byte{0, 1, 0xff}))
		Expect(got.Header.Get("X-Request-Id")).To(Equal(requestID))
		Expect(got.Header.Get("X-Expected-Executor")).To(Equal("i-0"))
		Expect(got.Header.Get("X-Tenant")).To(Equal("team"))
		Expect(got.Header).NotTo(HaveKey("Authorization"))
		Expect(got.Header).NotTo(HaveKey("X-Mine"))
		left, err := strconv.Atoi(got.Header.Get("X-Time-Remaining"))
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 9900), BeNumerically("<", 10000)))
	})

	It("gets events as they arrive", func() {
		release := make(chan struct{})
		f := newFleet(forwarding.Request{MaxAttempts: 1}, func(to http.ResponseWriter, _ *http.Request) {
			writeHead(to, "text/event-stream")
			io.WriteString(to, "id: 1\ndata: a\n\n")
			to.(http.Flusher).Flush()
			<-release
			io.WriteString(to, "id: 2\ndata: b\n\n")
		})
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		lines := bufio.NewReader(answer.Body)
		Expect(lines.ReadString('\n')).To(Equal("id: 1\n"))
		close(release)
		rest, err := io.ReadAll(lines)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(rest)).To(Equal("data: a\n\nid: 2\ndata: b\n\n"))
	})

	It("is sent to another executor after a refusal, and refused with Retry-After if all executors refuse it", func() {
		f := newFleet(forwarding.Request{MaxAttempts: 1}, refusing, streaming(1, 2, false))
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))
		Expect(f.calls.Load()).To(Equal(int64(2)))

		f = newFleet(forwarding.Request{MaxAttempts: 1}, refusing, refusing)
		answer, err = f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is not retried after a broken call, unless it is idempotent and has attempts left", func() {
		f := newFleet(forwarding.Request{MaxAttempts: 2}, breaking, streaming(1, 1, false))
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(f.calls.Load()).To(Equal(int64(1)))

		f = newFleet(forwarding.Request{MaxAttempts: 2, IsIdempotent: true}, breaking, streaming(1, 1, false))
		answer, err = f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusOK))

		f = newFleet(forwarding.Request{MaxAttempts: 1, IsIdempotent: true}, breaking, streaming(1, 1, false))
		answer, err = f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("resumes a resumable stream at another executor after the last event, within one answer", func() {
		var lastEventID string
		f := newFleet(forwarding.Request{MaxAttempts: 2, IsResumable: true}, streaming(1, 2, true), func(to http.ResponseWriter, call *http.Request) {
			lastEventID = call.Header.Get("Last-Event-Id")
			streaming(3, 4, false)(to, call)
		})
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(text), "data: piece")).To(Equal(4))
		Expect(lastEventID).To(Equal("2"))
	})

	It("ends with an error if its stream breaks off and is not resumed", func() {
		f := newFleet(forwarding.Request{MaxAttempts: 2}, streaming(1, 2, true), streaming(3, 4, false))
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred())
		Expect(f.calls.Load()).To(Equal(int64(1)))

		f = newFleet(forwarding.Request{MaxAttempts: 2, IsResumable: true}, streaming(1, 2, true), func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("X-Request-Id", requestID)
			http.Error(to, "no", http.StatusInternalServerError)
		})
		answer, err = f.send()
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred())
	})

	It("gets 502 if an executor answers with the ID of another request", func() {
		f := newFleet(forwarding.Request{MaxAttempts: 1}, func(to http.ResponseWriter, _ *http.Request) {
			to.Header().Set("X-Request-Id", "another")
			io.WriteString(to, "not yours")
		})
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	})

	// Guards against a late extra refusal of an earlier request that made the gate run the next request at a second executor.
	DescribeTable("runs at one executor only if the refusal that arrives is that of another request", func(status int) {
		f := newFleet(forwarding.Request{MaxAttempts: 1}, refusingAs("0c41d07be2a35f60", status), streaming(1, 1, false))
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(f.calls.Load()).To(Equal(int64(1)))
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	},
		Entry("as the executor was full", http.StatusServiceUnavailable),
		Entry("as another executor was meant", http.StatusMisdirectedRequest),
	)

	It("gets 504 at its deadline, and is not retried then", func() {
		var f *fleet
		f = newFleet(forwarding.Request{MaxAttempts: 2, IsIdempotent: true}, func(_ http.ResponseWriter, call *http.Request) {
			// The server detects a closed connection only after the body was read.
			io.Copy(io.Discard, call.Body)
			close(f.clock.expired)
			<-call.Context().Done()
		}, streaming(1, 1, false))
		answer, err := f.send()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(f.calls.Load()).To(Equal(int64(1)))
	})
})
