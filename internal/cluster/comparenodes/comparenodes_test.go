package comparenodes_test

import (
	"bytes"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/peerapi/wire"
)

func node(name string, plan int64) *wire.BeliefsAnswer {
	return &wire.BeliefsAnswer{Name: name, Role: "steward", ConfigVersion: plan,
		Members: []wire.Member{{Name: "edge-1", Role: "gate", Address: "10.0.0.1:7720"}},
		Leaders: []wire.KeyLeader{{Key: "plan", Epoch: 2, Name: "edge-1"}},
		Jobs:    []wire.JobBelief{{Key: "pool/s", ID: "5c0e7a21d94b36f8", State: "open"}}}
}

var _ = Describe("comparing two nodes", func() {
	It("finds nothing where there is nothing", func() {
		Expect(comparenodes.Compare(node("a", 7), node("b", 7))).To(BeEmpty())
	})

	It("does not miss at a local-proxy the members that it need not know", func() {
		side := node("side-1", 7)
		side.Role, side.Members = "local-proxy", []wire.Member{{Name: "side-1", Role: "local-proxy"}}
		Expect(comparenodes.Compare(node("a", 7), side)).To(BeEmpty())
	})

	It("shows the differences only, to people and as JSON", func() {
		other := node("b", 9)
		other.Leaders[0].Epoch = 3
		other.Jobs[0].State = "completed"
		all := comparenodes.Compare(node("a", 7), other)
		Expect(all).To(HaveLen(3))
		var text, lines bytes.Buffer
		Expect(comparenodes.Write(&text, "a", "b", all, false)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("epoch 3"))
		Expect(text.String()).NotTo(ContainSubstring("10.0.0.1"))
		Expect(comparenodes.Write(&lines, "a", "b", nil, true)).To(Succeed())
		Expect(lines.String()).To(ContainSubstring(`"differences":[]`))
	})

	It("gives up a node that takes the call and says nothing", func() {
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		_, err = comparenodes.Ask(silent.Addr().String(), 50*time.Millisecond)
		Expect(err).To(HaveOccurred())
	})
})
