package response_test

import (
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/response"
)

func TestResponse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "response")
}

var _ = Describe("an answer", func() {
	It("without a status is written as a bad gateway, and ends no handler", func() {
		recorder := httptest.NewRecorder()
		response.Raw(0, nil).Write(recorder)
		Expect(recorder.Code).To(Equal(502))
		Expect(recorder.Body.String()).To(ContainSubstring("no answer"))
	})
})
