package tenantcount

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTenantcount(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenantcount")
}
