package lots_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lots")
}
