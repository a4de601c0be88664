package clientapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClientAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clientapi")
}
