package simcluster_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSimcluster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "simcluster")
}
