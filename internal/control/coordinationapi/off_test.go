package coordinationapi_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/control/coordinationapi"
)

var _ = DescribeTable("RegisterOff refuses all calls and names the setting", func(method, path string) {
	mux := http.NewServeMux()
	coordinationapi.RegisterOff(mux)
	answer := httptest.NewRecorder()
	mux.ServeHTTP(answer, httptest.NewRequest(method, path, nil))
	Expect(answer.Code).To(Equal(http.StatusNotImplemented))
	Expect(answer.Body.String()).To(ContainSubstring("active-contracts"))
},
	Entry("a lock", http.MethodPost, "/v1/locks/a/initiate"),
	Entry("a number", http.MethodPost, "/v1/numbers/a/initiate"),
	Entry("a cell", http.MethodGet, "/v1/cells/a/retrieve"),
	Entry("a watch", http.MethodGet, "/v1/watch/a"),
)
