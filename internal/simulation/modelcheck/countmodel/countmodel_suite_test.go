package countmodel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCountmodel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "countmodel")
}
