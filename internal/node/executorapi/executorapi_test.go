package executorapi_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/metrics"
)

var _ = Describe("messages of executors", func() {
	It("include the lists of running and ended runs", func() {
		var answer executorapi.Answer
		text := `{"clock-ms":482113,"running-count":[["a.0.1.17",2,"00000bb87a21d94b",41]],"end-state":[[58,"a.0.1.9",1,"done",""]]}`
		Expect(easyjson.Unmarshal([]byte(text), &answer)).To(Succeed())
		Expect(answer.Running).To(Equal([]executorapi.RunningRow{{Task: "a.0.1.17", Run: 2, Checkpoint: "00000bb87a21d94b", Percent: 41}}))
		Expect(answer.Ends).To(Equal([]executorapi.EndRow{{Number: 58, Task: "a.0.1.9", Run: 1, Outcome: "done"}}))
		encoded, err := easyjson.Marshal(answer)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(encoded)).To(ContainSubstring(`[58,"a.0.1.9",1,"done",""]`))
	})

	It("are decoded as commands: heartbeats and deregistrations", func() {
		heartbeat, _ := executorapi.Decode(httptest.NewRequest("POST", "/v1/executors/i-1/heartbeat",
			strings.NewReader(`{"service":"s","executor-state":"ready","call-sequence":4}`)))
		Expect(heartbeat.Executor).To(Equal("i-1"))
		Expect(heartbeat.Heartbeat.Sequence).To(Equal(int64(4)))
		deregistration, _ := executorapi.Decode(httptest.NewRequest("POST", "/v1/executors/i-1/deregister", nil))
		Expect(deregistration.IsDeregistration).To(BeTrue())
	})

	It("are counted by path and result of the call, with their bytes", func() {
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
			to.WriteHeader(http.StatusConflict)
			io.WriteString(to, "{}")
		}))
		client := executorapi.NewClient(http.DefaultClient, server.Listener.Addr().String())
		status, _, err := client.Call(context.Background(), "/v1/counted", "i-1", time.Minute, executorapi.Answer{})
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(http.StatusConflict))
		server.Close()
		_, _, err = client.Call(context.Background(), "/v1/counted", "i-1", time.Minute, executorapi.Answer{})
		Expect(err).To(HaveOccurred())
		counters := metrics.Own()
		Expect(counters).To(HaveKeyWithValue(`gannetline_executor_calls_total{path="/v1/counted",result="409"}`, 1.0))
		Expect(counters).To(HaveKeyWithValue(`gannetline_executor_calls_total{path="/v1/counted",result="error"}`, 1.0))
		Expect(counters).To(HaveKeyWithValue(`gannetline_executor_received_bytes_total{path="/v1/counted"}`, 2.0))
		Expect(counters[`gannetline_executor_sent_bytes_total{path="/v1/counted"}`]).To(BeNumerically(">", 2))
	})

	DescribeTable("are refused for", func(method, path, body string, status int) {
		_, refusal := executorapi.Decode(httptest.NewRequest(method, path, strings.NewReader(body)))
		Expect(refusal.Status).To(Equal(status))
	},
		Entry("an unknown call", "POST", "/v1/executors/i-1/dance", "{}", 404),
		Entry("a wrong method", "GET", "/v1/executors/i-1/heartbeat", "", 405),
		Entry("not JSON", "POST", "/v1/executors/i-1/heartbeat", "{", 400),
		Entry("an unknown state", "POST", "/v1/executors/i-1/heartbeat", `{"service":"s","executor-state":"tired"}`, 400),
		Entry("a negative capacity", "POST", "/v1/executors/i-1/heartbeat", `{"service":"s","executor-state":"ready","capacity":{"cpu-units":-1}}`, 400),
		Entry("a heartbeat that is too large", "POST", "/v1/executors/i-1/heartbeat", `{"service":"`+strings.Repeat("s", 70000)+`"}`, 413),
	)
})
