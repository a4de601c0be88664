package comparenodes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestComparenodes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "comparenodes")
}
