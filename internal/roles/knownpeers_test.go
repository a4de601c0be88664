package roles

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
)

var _ = Describe("addresses of peers saved on a steward's disk", func() {
	steward := func(name string, state int) wire.Member {
		return wire.Member{Name: name, Role: "steward", Control: name + ":1", Disk: "disk-" + name, State: state}
	}
	self := steward("self", wire.StateAlive)

	It("are those of live stewards with a disk, before those saved earlier", func() {
		diskless := steward("diskless", wire.StateAlive)
		diskless.Disk = ""
		view := &membership.View{Self: self, Stewards: []wire.Member{self, diskless, steward("gone", wire.StateGone),
			steward("new", wire.StateAlive)}}
		next, hasChanged := mergePeers([]string{"old:1"}, view)
		Expect(next).To(Equal([]string{"new:1", "old:1"}))
		Expect(hasChanged).To(BeTrue())
	})

	It("are not saved again when a saved steward is missing from the view", func() {
		_, hasChanged := mergePeers([]string{"a:1", "b:1"}, &membership.View{Self: self, Stewards: []wire.Member{self, steward("a", wire.StateAlive)}})
		Expect(hasChanged).To(BeFalse())
	})

	It("are limited in number, and the oldest are dropped first", func() {
		var saved []string
		for number := range 40 {
			view := &membership.View{Self: self, Stewards: []wire.Member{steward(fmt.Sprint("s", number), wire.StateAlive)}}
			saved, _ = mergePeers(saved, view)
		}
		Expect(saved).To(HaveLen(maxKnownPeers))
		Expect(saved[0]).To(Equal("s39:1"))
	})
})
