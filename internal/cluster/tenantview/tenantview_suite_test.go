package tenantview_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTenantview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenantview")
}
