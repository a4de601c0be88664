package controlkeys

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStewardkeys(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlkeys")
}
