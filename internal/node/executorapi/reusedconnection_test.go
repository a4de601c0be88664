package executorapi_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/node/executorapi"
)

// scriptedExecutor runs the next script for each call. A script may answer the call, break the connection or do nothing.
type scriptedExecutor struct {
	listener net.Listener
	mutex    sync.Mutex
	scripts  []func(net.Conn)
	// received are the paths and bodies of the calls.
	received []string
	// incarnations are the IDs of the incarnations that the calls were for.
	incarnations []string
}

func newScriptedExecutor(scripts ...func(net.Conn)) *scriptedExecutor {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	executor := &scriptedExecutor{listener: listener, scripts: scripts}
	go executor.accept()
	return executor
}

func (e *scriptedExecutor) accept() {
	for {
		connection, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(connection)
	}
}

func (e *scriptedExecutor) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if script := e.record(request, body); script != nil {
			script(connection)
		}
	}
}

// record stores a call and returns the script for it, or nil if no script is left.
func (e *scriptedExecutor) record(request *http.Request, body []byte) func(net.Conn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.received = append(e.received, request.URL.Path+" "+string(body))
	e.incarnations = append(e.incarnations, request.Header.Get("X-Expected-Executor"))
	if len(e.scripts) == 0 {
		return nil
	}
	script := e.scripts[0]
	e.scripts = e.scripts[1:]
	return script
}

func (e *scriptedExecutor) calls() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]string(nil), e.received...)
}

// says returns a script that answers with a status and a body.
func says(status int, body string) func(net.Conn) {
	return func(to net.Conn) {
		fmt.Fprintf(to, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
}

// resets closes the connection with a TCP reset.
func resets(to net.Conn) {
	_ = to.(*net.TCPConn).SetLinger(0)
	to.Close()
}

func closes(to net.Conn) { to.Close() }

// cutsShort announces a longer body than it sends, and closes the connection.
func cutsShort(to net.Conn) {
	fmt.Fprint(to, "HTTP/1.1 200 X\r\nContent-Length: 500\r\n\r\n{\"clock-ms\":7")
	to.Close()
}

func keepsSilent(net.Conn) {}

var _ = Describe("a call to an executor over a reused connection", func() {
	const timeout = 300 * time.Millisecond
	start := executorapi.RunStart{Task: "a.0.0.0", Run: 1, Descriptor: "d", ExpiryMs: 9, Fence: 3}
	stop := executorapi.RunStop{Task: "a.0.0.0", Run: 1, Fence: 3}
	var executor *scriptedExecutor
	var client *executorapi.Client
	startExecutor := func(scripts ...func(net.Conn)) {
		executor = newScriptedExecutor(scripts...)
		client = executorapi.NewClient(peerapi.Client(2*time.Second, 8), executor.listener.Addr().String())
	}
	AfterEach(func() { executor.listener.Close() })
	runStart := func() (int, executorapi.Answer, error) {
		return client.Call(context.Background(), "/v1/run-start", "i-1", timeout, start)
	}

	DescribeTable("is sent once, even if the connection breaks", func(failure func(net.Conn)) {
		startExecutor(says(200, `{"clock-ms":5}`), failure, says(200, `{"clock-ms":6}`), says(200, `{"clock-ms":6}`))
		_, answer, err := runStart()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ClockMs).To(Equal(int64(5)))
		_, _, err = runStart()
		Expect(err).To(HaveOccurred())
		Expect(peerapi.NeverSent(err)).To(BeFalse())
		Consistently(executor.calls, timeout, timeout/6).Should(HaveLen(2))
		_, _, err = client.Call(context.Background(), "/v1/run-stop", "i-1", timeout, stop)
		Expect(err).NotTo(HaveOccurred())
		Expect(executor.calls()).To(HaveLen(3))
		Expect(executor.calls()[2]).To(HavePrefix("/v1/run-stop"))
	},
		Entry("reset instead of an answer", resets),
		Entry("closed instead of an answer", closes),
		Entry("closed within the answer", cutsShort),
		Entry("no answer", keepsSilent),
	)

	It("does not get the answer to an earlier call", func() {
		released := make(chan struct{})
		startExecutor(func(to net.Conn) {
			go func() {
				<-released
				says(200, `{"clock-ms":11}`)(to)
			}()
		}, says(409, `{"clock-ms":22,"reason":"old"}`), says(200, `{"clock-ms":33}`))
		_, _, err := runStart()
		Expect(err).To(HaveOccurred())
		close(released)
		status, answer, err := runStart()
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(409))
		Expect(answer.ClockMs).To(Equal(int64(22)))
		_, answer, err = runStart()
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ClockMs).To(Equal(int64(33)))
	})

	It("names the incarnation that it is for, and gets 421 from another one", func() {
		startExecutor(says(200, "{}"), says(421, ""))
		for _, incarnation := range []string{"i-1", "i-2"} {
			status, _, err := client.Call(context.Background(), "/v1/hold", incarnation, timeout, executorapi.Hold{Fence: 1})
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(map[string]int{"i-1": 200, "i-2": 421}[incarnation]))
		}
		Expect(executor.incarnations).To(Equal([]string{"i-1", "i-2"}))
	})

	It("is NeverSent if nothing listens at the address", func() {
		startExecutor()
		executor.listener.Close()
		_, _, err := runStart()
		Expect(err).To(HaveOccurred())
		Expect(peerapi.NeverSent(err)).To(BeTrue())
	})

	It("fails if the answer can't be decoded", func() {
		startExecutor(says(200, strings.Repeat("{", 5)))
		_, _, err := runStart()
		Expect(err).To(HaveOccurred())
		Expect(peerapi.NeverSent(err)).To(BeFalse())
	})
})
