package commitqueue_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommitQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commit queue")
}
