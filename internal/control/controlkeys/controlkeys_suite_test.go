package controlkeys

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControlkeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlkeys")
}
