package response_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/response"
)

var _ = Describe("Reply", func() {
	It("is written with its status, body and headers", func() {
		to := httptest.NewRecorder()
		response.Later(http.StatusServiceUnavailable, 3, "busy").Write(to)
		Expect(to.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(to.Header().Get("Retry-After")).To(Equal("3"))
		Expect(to.Body.String()).To(Equal(`{"error-text":"busy"}`))
	})

	It("is written as 502, without a panic, if it has no status", func() {
		recorder := httptest.NewRecorder()
		response.Raw(0, nil).Write(recorder)
		Expect(recorder.Code).To(Equal(502))
		Expect(recorder.Body.String()).To(ContainSubstring("no answer"))
	})

	DescribeTable("is written as 502 and logged as an error if its status is not final", func(status int) {
		to, lines := httptest.NewRecorder(), &bytes.Buffer{}
		response.Raw(status, []byte(`{"config-version":7}`)).WriteLogged(to, logging.New(lines, 0))
		Expect(to.Code).To(Equal(http.StatusBadGateway))
		Expect(to.Body.String()).NotTo(ContainSubstring("config-version"))
		Expect(to.Body.String()).To(ContainSubstring("error-text"))
		Expect(lines.String()).To(ContainSubstring("is not a final one"))
	}, Entry("no status", 0), Entry("a negative status", -1), Entry("an interim status", 100), Entry("the last interim status", 199), Entry("a status of four digits", 1000))

	It("reaches the client of a real server if it has no status, also at the next call", func() {
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
			response.Reply{}.WriteLogged(to, logging.Silent())
		}))
		defer server.Close()
		for range 2 {
			reply, err := http.Get(server.URL)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(reply.Body.Close()).To(Succeed())
		}
	})
})
