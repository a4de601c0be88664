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

var _ = Describe("an answer", func() {
	It("is written with its status, body and header", func() {
		to := httptest.NewRecorder()
		response.Later(http.StatusServiceUnavailable, 3, "busy").Write(to)
		Expect(to.Code).To(Equal(http.StatusServiceUnavailable))
		Expect(to.Header().Get("Retry-After")).To(Equal("3"))
		Expect(to.Body.String()).To(Equal(`{"error-text":"busy"}`))
	})

	It("without a status is written as a bad gateway, and ends no handler", func() {
		recorder := httptest.NewRecorder()
		response.Raw(0, nil).Write(recorder)
		Expect(recorder.Code).To(Equal(502))
		Expect(recorder.Body.String()).To(ContainSubstring("no answer"))
	})

	DescribeTable("without a final status becomes 502 with a logged error", func(status int) {
		to, lines := httptest.NewRecorder(), &bytes.Buffer{}
		response.Raw(status, []byte(`{"config-version":7}`)).WriteLogged(to, logging.New(lines, 0))
		Expect(to.Code).To(Equal(http.StatusBadGateway))
		Expect(to.Body.String()).NotTo(ContainSubstring("config-version"))
		Expect(to.Body.String()).To(ContainSubstring("error-text"))
		Expect(lines.String()).To(ContainSubstring("is not a final one"))
	}, Entry("none", 0), Entry("negative", -1), Entry("interim", 100), Entry("interim, the last", 199), Entry("too large", 1000))

	It("without a status reaches the caller of a real server, and the connection lives on", func() {
		server := httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
			response.Reply{}.WriteLogged(to, logging.Silent())
		}))
		defer server.Close()
		for range 2 {
			answer, err := http.Get(server.URL)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(answer.Body.Close()).To(Succeed())
		}
	})
})
