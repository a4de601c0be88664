package configleader_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigleader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configleader")
}
