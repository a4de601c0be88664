package transportmetrics_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/platform/transportmetrics"
)

func TestTransportMetrics(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transportmetrics")
}

var _ = Describe("Meter", func() {
	It("counts calls and their bytes on both sides", func() {
		served, made := &transportmetrics.Meter{}, &transportmetrics.Meter{}
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: served.Handler(http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) { io.WriteString(to, "word") }))}
		go server.Serve(served.Listener(listener))
		defer server.Close()
		response, err := made.Client(peerapi.Client(0, 1)).Get("http://" + listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		there, here := served.Figures(), made.Figures()
		Expect(there.Served).To(Equal(int64(1)))
		Expect(here.Made).To(Equal(int64(1)))
		Expect(here.BytesIn).To(BeNumerically(">", 4))
		Expect(there.BytesIn).To(Equal(here.BytesOut))
		Expect(there.BytesOut).To(Equal(here.BytesIn))
	})

	It("counts datagrams and their bytes", func() {
		meter := &transportmetrics.Meter{}
		plain, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		packets := meter.Packets(plain)
		defer packets.Close()
		_, err = packets.WriteTo([]byte("word"), packets.LocalAddr())
		Expect(err).NotTo(HaveOccurred())
		_, _, err = packets.ReadFrom(make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(meter.Figures()).To(Equal(transportmetrics.Figures{BytesIn: 4, BytesOut: 4, DatagramsIn: 1, DatagramsOut: 1}))
	})

	It("returns clients, listeners and sockets unchanged if it is nil", func() {
		var none *transportmetrics.Meter
		client := peerapi.Client(0, 1)
		Expect(none.Client(client).Transport).To(BeIdenticalTo(client.Transport))
		Expect(none.Listener(nil)).To(BeNil())
		Expect(none.Packets(nil)).To(BeNil())
	})
})
