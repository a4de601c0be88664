package configcache_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfigcache(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configcache")
}
