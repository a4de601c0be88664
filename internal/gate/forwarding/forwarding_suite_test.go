package forwarding_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForwarding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarding")
}
