package rollouts_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRollouts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollouts")
}
