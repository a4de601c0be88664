package red_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "red")
}

var _ = Describe("a sum", func() {
	It("is right", func() { Expect(1 + 1).To(Equal(2)) })
	It("is wrong", func() { Expect(1 + 1).To(Equal(3)) })
})
