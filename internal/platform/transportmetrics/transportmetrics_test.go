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
		serverFigures, clientFigures := served.Figures(), made.Figures()
		Expect(serverFigures.Served).To(Equal(int64(1)))
		Expect(clientFigures.Made).To(Equal(int64(1)))
		Expect(clientFigures.BytesIn).To(BeNumerically(">", 4))
		Expect(serverFigures.BytesIn).To(Equal(clientFigures.BytesOut))
		Expect(serverFigures.BytesOut).To(Equal(clientFigures.BytesIn))
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
		var meter *transportmetrics.Meter
		client := peerapi.Client(0, 1)
		Expect(meter.Client(client).Transport).To(BeIdenticalTo(client.Transport))
		Expect(meter.Listener(nil)).To(BeNil())
		Expect(meter.Packets(nil)).To(BeNil())
	})
})
