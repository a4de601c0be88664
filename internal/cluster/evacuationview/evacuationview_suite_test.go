package evacuationview_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEvacuationView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view of evacuations")
}
