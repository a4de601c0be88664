package soak

import (
	"context"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A relay", func() {
	It("records a connection that its gate refuses before it closes the connection", func() {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		var steps []string
		recordRefused := func(client net.Addr) { steps = append(steps, "refused "+client.String()) }
		r, err := newRelay(ctx, "127.0.0.1:0", addressWithoutListener(), InjectedFault(""), recordRefused)
		Expect(err).NotTo(HaveOccurred())
		r.serve(&scriptedClient{record: func(step string) { steps = append(steps, step) }})
		Expect(steps).To(Equal([]string{"refused 127.0.0.9:7", "closed"}))
	})
})

// scriptedClient is a client's connection with a fixed address that records its close. A relay uses no other method of it here.
type scriptedClient struct {
	net.Conn
	record func(step string)
}

func (c *scriptedClient) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 7}
}

func (c *scriptedClient) Close() error {
	c.record("closed")
	return nil
}

// addressWithoutListener returns a loopback address at which nothing listens any more.
func addressWithoutListener() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
