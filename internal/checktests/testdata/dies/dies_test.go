package dies_test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDies(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dies")
	os.Exit(3)
}

var _ = Describe("a process", func() {
	It("is wrong", func() { Expect(1).To(Equal(2)) })
})
