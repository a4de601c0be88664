package settings_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/settings"
	"gannetline/internal/testsupport/golden"
)

var _ = It("has the field names of a settings file that the golden file lists", func() {
	Expect(golden.CheckText("testdata/fields.txt", golden.Fields(settings.Settings{}, "yaml"))).To(Succeed())
})
