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

func node(name string, version int64) *wire.BeliefsAnswer {
	return &wire.BeliefsAnswer{Name: name, Role: "steward", ConfigVersion: version,
		Members: []wire.Member{{Name: "edge-1", Role: "gate", Address: "10.0.0.1:7720"}},
		Leaders: []wire.KeyLeader{{Key: "plan", Epoch: 2, Name: "edge-1"}},
		Jobs:    []wire.JobBelief{{Key: "pool/s", ID: "5c0e7a21d94b36f8", State: "open"}}}
}

var _ = Describe("comparing two nodes", func() {
	It("finds no differences between nodes with the same state", func() {
		Expect(comparenodes.Compare(node("a", 7), node("b", 7))).To(BeEmpty())
	})

	It("ignores members other than stewards if one node is a local proxy", func() {
		proxy := node("side-1", 7)
		proxy.Role, proxy.Members = "local-proxy", []wire.Member{{Name: "side-1", Role: "local-proxy"}}
		Expect(comparenodes.Compare(node("a", 7), proxy)).To(BeEmpty())
	})

	It("writes only the differences, as text and as JSON", func() {
		other := node("b", 9)
		other.Leaders[0].Epoch = 3
		other.Jobs[0].State = "completed"
		differences := comparenodes.Compare(node("a", 7), other)
		Expect(differences).To(HaveLen(3))
		var text, jsonText bytes.Buffer
		Expect(comparenodes.Write(&text, "a", "b", differences, false)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("epoch 3"))
		Expect(text.String()).NotTo(ContainSubstring("10.0.0.1"))
		Expect(comparenodes.Write(&jsonText, "a", "b", nil, true)).To(Succeed())
		Expect(jsonText.String()).To(ContainSubstring(`"differences":[]`))
	})

	It("fails for a node that accepts the connection and never answers", func() {
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		_, err = comparenodes.RetrieveBeliefs(silent.Addr().String(), 50*time.Millisecond)
		Expect(err).To(HaveOccurred())
	})
})
