package peerapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSiblingwire(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerapi")
}
