package configcache_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPlanbook(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configcache")
}
