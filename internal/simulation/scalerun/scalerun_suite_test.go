package scalerun_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestScalerun(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scalerun")
}
