package membership_test

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
)

var _ = Describe("the datagrams of a node", func() {
	It("are counted by kind, with their bytes, and unreadable ones are counted as dropped", func() {
		listener, packetConn, err := membership.BindInternal("127.0.0.1", 20000, 29999)
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		node := membership.NewNode(wire.Member{Name: "one", Role: "gate"}, listener, packetConn, nil,
			peerapi.NewCaller(http.DefaultClient), clock.System(), logging.Silent())
		ctx, cancel := context.WithCancel(context.Background())
		runResult := make(chan error)
		go func() { runResult <- node.Run(ctx) }()
		defer func() {
			cancel()
			Expect(<-runResult).To(Succeed())
		}()
		other, err := net.Dial("udp4", packetConn.LocalAddr().String())
		Expect(err).NotTo(HaveOccurred())
		defer other.Close()
		Expect(other.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		other.Write([]byte("no datagram"))
		text, err := easyjson.Marshal(wire.Datagram{Kind: "ping", Number: 4,
			From: wire.Member{Name: "two", Role: "gate", Address: other.LocalAddr().String()}})
		Expect(err).NotTo(HaveOccurred())
		other.Write(text)
		answer := make([]byte, 16<<10)
		count, err := other.Read(answer)
		Expect(err).NotTo(HaveOccurred())
		var reply wire.Datagram
		Expect(easyjson.Unmarshal(answer[:count], &reply)).To(Succeed())
		own := metrics.Own()
		Expect(own).To(HaveKeyWithValue(`gannetline_datagrams_dropped_total{why="unreadable"}`, 1.0))
		Expect(own).To(HaveKeyWithValue(`gannetline_datagrams_received_total{kind="ping"}`, 1.0))
		Expect(own).To(HaveKeyWithValue(`gannetline_datagrams_received_bytes_total{kind="ping"}`, float64(len(text))))
		Expect(own[`gannetline_datagrams_sent_total{kind="`+reply.Kind+`"}`]).To(BeNumerically(">=", 1))
		Expect(own[`gannetline_datagrams_sent_bytes_total{kind="`+reply.Kind+`"}`]).To(BeNumerically(">=", count))
	})
})

// recordingTransport records the hosts that a node calls, and fails every call.
type recordingTransport struct{ hosts chan string }

func (r recordingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r.hosts <- request.URL.Host
	return nil, net.ErrClosed
}

var _ = Describe("a node without a live steward in its view", func() {
	It("contacts the peers of an earlier run after its seeds", func() {
		listener, packetConn, err := membership.BindInternal("127.0.0.1", 20000, 29999)
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		hosts := make(chan string, 16)
		node := membership.NewNode(wire.Member{Name: "one", Role: "steward"}, listener, packetConn, []string{"10.0.0.1:1"},
			peerapi.NewCaller(&http.Client{Transport: recordingTransport{hosts}}), clock.System(), logging.Silent(),
			membership.WithKnownPeers([]string{"10.0.0.1:1", "10.0.0.2:1"}))
		ctx, cancel := context.WithCancel(context.Background())
		runResult := make(chan error)
		go func() { runResult <- node.Run(ctx) }()
		Expect(<-hosts).To(Equal("10.0.0.1:1"))
		Expect(<-hosts).To(Equal("10.0.0.2:1"))
		cancel()
		Expect(<-runResult).To(Succeed())
	})
})
