package placement_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlacetasks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}
