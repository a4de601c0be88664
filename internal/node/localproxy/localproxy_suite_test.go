package localproxy_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLocalproxy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "localproxy")
}
