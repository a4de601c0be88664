package itemrunner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestItemrunner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "itemrunner")
}
