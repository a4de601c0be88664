package leaderclient

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/membership"
	"gannetline/internal/peerapi"
)

func TestOwnercalls(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leaderclient")
}

var _ = Describe("a guess at an owner nobody knows", func() {
	It("passes over stewards that can own nothing", func() {
		view := &membership.View{Stewards: []peerapi.Member{{Name: "a", Role: "steward", Address: "a:1", Disk: "d"},
			{Name: "b", Role: "steward", Address: "b:1"}, {Name: "c", Role: "gate", Address: "c:1", Disk: "e"}}}
		for try := range 30 {
			Expect(address(view, "plan", "", try)).To(Equal("a:1"))
		}
	})
})
