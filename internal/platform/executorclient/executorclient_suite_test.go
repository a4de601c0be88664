package executorclient_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExecutorClient(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "executorclient")
}
