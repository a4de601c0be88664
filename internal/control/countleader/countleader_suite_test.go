package countleader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCountleader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "countleader")
}
