package ordermodel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOrdermodel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ordermodel")
}
