package configleader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlanowner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configowner")
}
