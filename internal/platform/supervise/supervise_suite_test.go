package supervise_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSupervise(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "supervise")
}
