// Package transportmetrics counts what a process sends and receives, at its sockets.
package transportmetrics

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Figures are counts since the start: bytes of TCP and UDP payload, datagrams, and calls made and answered.
type Figures struct {
	BytesIn      int64 `json:"bytes-in"`
	BytesOut     int64 `json:"bytes-out"`
	DatagramsIn  int64 `json:"datagrams-in"`
	DatagramsOut int64 `json:"datagrams-out"`
	Served       int64 `json:"calls-served"`
	Made         int64 `json:"calls-made"`
}

// Meter may be nil; then it counts nothing and wraps nothing.
type Meter struct {
	bytesIn, bytesOut, datagramsIn, datagramsOut, served, made atomic.Int64
}

// Figures are the counts so far. It must not be called on a nil meter.
func (m *Meter) Figures() Figures {
	return Figures{BytesIn: m.bytesIn.Load(), BytesOut: m.bytesOut.Load(), DatagramsIn: m.datagramsIn.Load(),
		DatagramsOut: m.datagramsOut.Load(), Served: m.served.Load(), Made: m.made.Load()}
}

type countedConn struct {
	net.Conn
	meter *Meter
}

func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.meter.bytesIn.Add(int64(count))
	return count, err
}

// Write counts first, so that whoever reads the bytes finds them counted.
func (c countedConn) Write(text []byte) (int, error) {
	c.meter.bytesOut.Add(int64(len(text)))
	count, err := c.Conn.Write(text)
	c.meter.bytesOut.Add(int64(count - len(text)))
	return count, err
}

type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection and wraps it so that its bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.meter}, nil
}

// Listener wraps a listener so that the bytes of its connections are counted.
func (m *Meter) Listener(listener net.Listener) net.Listener {
	if m == nil {
		return listener
	}
	return countedListener{listener, m}
}

type countedPackets struct {
	net.PacketConn
	meter *Meter
}

// ReadFrom counts a datagram and the bytes of its payload unless the reading failed.
func (p countedPackets) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := p.PacketConn.ReadFrom(buffer)
	if err == nil {
		p.meter.datagramsIn.Add(1)
		p.meter.bytesIn.Add(int64(count))
	}
	return count, from, err
}

// WriteTo counts a datagram and the bytes of its payload once it was handed to the system.
func (p countedPackets) WriteTo(text []byte, to net.Addr) (int, error) {
	count, err := p.PacketConn.WriteTo(text, to)
	if err == nil {
		p.meter.datagramsOut.Add(1)
		p.meter.bytesOut.Add(int64(count))
	}
	return count, err
}

// Packets wraps a UDP socket so that its datagrams and their bytes are counted.
func (m *Meter) Packets(packets net.PacketConn) net.PacketConn {
	if m == nil {
		return packets
	}
	return countedPackets{packets, m}
}

type countedTrips struct {
	http.RoundTripper
	meter *Meter
}

// RoundTrip counts a call before it is made, so that calls that fail count as well.
func (t countedTrips) RoundTrip(request *http.Request) (*http.Response, error) {
	t.meter.made.Add(1)
	return t.RoundTripper.RoundTrip(request)
}

// Client counts the calls of a client and the bytes of the connections that it makes.
func (m *Meter) Client(client *http.Client) *http.Client {
	transport, isPlain := client.Transport.(*http.Transport)
	if m == nil || !isPlain {
		return client
	}
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{conn, m}, nil
	}
	client.Transport = countedTrips{transport, m}
	return client
}

// Handler counts the calls that are answered.
func (m *Meter) Handler(handler http.Handler) http.Handler {
	if m == nil {
		return handler
	}
	return http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		m.served.Add(1)
		handler.ServeHTTP(to, request)
	})
}
