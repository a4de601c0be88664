package servingapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestServingAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "servingapi")
}
