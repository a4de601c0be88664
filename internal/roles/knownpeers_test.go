package roles

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("the peers that a steward keeps on disk", func() {
	steward := func(name string, state int) wire.Member {
		return wire.Member{Name: name, Role: "steward", Control: name + ":1", Disk: "disk-" + name, State: state}
	}
	self := steward("self", wire.StateAlive)

	It("are the live stewards with a disk, before those known earlier", func() {
		diskless := steward("diskless", wire.StateAlive)
		diskless.Disk = ""
		view := &membership.View{Self: self, Stewards: []wire.Member{self, diskless, steward("gone", wire.StateGone),
			steward("new", wire.StateAlive)}}
		next, hasChanged := withPeers([]string{"old:1"}, view)
		Expect(next).To(Equal([]string{"new:1", "old:1"}))
		Expect(hasChanged).To(BeTrue())
	})

	It("are not written again when a known one is missing", func() {
		_, hasChanged := withPeers([]string{"a:1", "b:1"}, &membership.View{Self: self, Stewards: []wire.Member{self, steward("a", wire.StateAlive)}})
		Expect(hasChanged).To(BeFalse())
	})

	It("stay bounded, and the oldest go", func() {
		var saved []string
		for number := range 40 {
			view := &membership.View{Self: self, Stewards: []wire.Member{steward(fmt.Sprint("s", number), wire.StateAlive)}}
			saved, _ = withPeers(saved, view)
		}
		Expect(saved).To(HaveLen(maxKnownPeers))
		Expect(saved[0]).To(Equal("s39:1"))
	})
})
