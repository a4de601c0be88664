package controlapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControlAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controlapi")
}
