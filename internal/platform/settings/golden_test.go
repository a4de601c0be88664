package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/settings"
	"gannetline/internal/testsupport/golden"
)

var _ = It("keeps the names of the fields of a settings file", func() {
	Expect(golden.CheckText("testdata/fields.txt", golden.Fields(settings.Settings{}, "yaml"))).To(Succeed())
})
