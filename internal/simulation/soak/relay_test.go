package soak

import (
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A relay", func() {
	It("notes the client of a connection that its gate refuses, before the client sees the end of it", func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		refused := make(chan net.Addr, 1)
		r, err := newRelay(ctx, "127.0.0.1:0", addressWithoutListener(), InjectedFault(""), func(client net.Addr) { refused <- client })
		Expect(err).NotTo(HaveOccurred())
		client, err := net.Dial("tcp4", r.listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer client.Close()
		_, err = io.ReadAll(client)
		Expect(err).To(HaveOccurred())
		Expect(refused).To(Receive(HaveField("String()", client.LocalAddr().String())))
	})
})

// addressWithoutListener gives an address at which nothing listens any more.
func addressWithoutListener() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
