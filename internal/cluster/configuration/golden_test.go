package configuration_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/testsupport/golden"
)

var _ = DescribeTable("the names of the configuration's fields match the golden files",
	func(name string, empty golden.Message) {
		Expect(golden.CheckMessage(name, empty)).To(Succeed())
	},
	Entry("route", "route", &configuration.Route{}),
	Entry("service", "service", &configuration.Service{}),
	Entry("tenant", "tenant", &configuration.Tenant{}),
	Entry("limits", "limits", &configuration.Limits{}),
	Entry("configuration", "configuration", &configuration.Configuration{}),
)
