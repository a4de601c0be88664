package peerapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPeerAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerapi")
}
