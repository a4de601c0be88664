package poolhost

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPoolhost(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "poolhost")
}
