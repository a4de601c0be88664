package controlmodel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestControlModel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control model")
}
