package queuemoves_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQueuemoves(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queuemoves")
}
