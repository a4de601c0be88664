package executorapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExecutorAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "executorapi")
}
