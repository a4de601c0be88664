package hollow_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hollow")
}
