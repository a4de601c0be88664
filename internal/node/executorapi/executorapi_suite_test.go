package executorapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExecutorcalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "executorapi")
}
