package executorlist_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExecutorlist(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "executorlist")
}
