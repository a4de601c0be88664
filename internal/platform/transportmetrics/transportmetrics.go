// Package transportmetrics counts the bytes and datagrams that a process sends and receives at its sockets, and its HTTP calls.
package transportmetrics

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Figures holds the counts since the start of the process: bytes of TCP and UDP payload, datagrams, and HTTP calls served and made.
type Figures struct {
	BytesIn      int64 `json:"bytes-in"`
	BytesOut     int64 `json:"bytes-out"`
	DatagramsIn  int64 `json:"datagrams-in"`
	DatagramsOut int64 `json:"datagrams-out"`
	Served       int64 `json:"calls-served"`
	Made         int64 `json:"calls-made"`
}

// Meter counts the traffic of the listeners, sockets, clients and handlers that it wraps. A nil meter returns them as they are.
type Meter struct {
	bytesIn, bytesOut, datagramsIn, datagramsOut, served, made atomic.Int64
}

// Figures returns the counts so far. It must not be called on a nil meter.
func (m *Meter) Figures() Figures {
	return Figures{BytesIn: m.bytesIn.Load(), BytesOut: m.bytesOut.Load(), DatagramsIn: m.datagramsIn.Load(),
		DatagramsOut: m.datagramsOut.Load(), Served: m.served.Load(), Made: m.made.Load()}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	meter *Meter
}

// Read counts the bytes that were read.
func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.meter.bytesIn.Add(int64(count))
	return count, err
}

// Write counts the bytes before it sends them, so that they are counted when the receiver reads them. Then it subtracts those that were
// not sent.
func (c countedConn) Write(data []byte) (int, error) {
	c.meter.bytesOut.Add(int64(len(data)))
	count, err := c.Conn.Write(data)
	c.meter.bytesOut.Add(int64(count - len(data)))
	return count, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	meter *Meter
}

// Accept waits for the next connection and wraps it in a countedConn.
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

// countedPacketConn counts the datagrams of a UDP socket and the bytes of their payload.
type countedPacketConn struct {
	net.PacketConn
	meter *Meter
}

// ReadFrom counts a datagram and the bytes of its payload if it was read without an error.
func (p countedPacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := p.PacketConn.ReadFrom(buffer)
	if err == nil {
		p.meter.datagramsIn.Add(1)
		p.meter.bytesIn.Add(int64(count))
	}
	return count, from, err
}

// WriteTo counts a datagram and the bytes of its payload if it was sent without an error.
func (p countedPacketConn) WriteTo(data []byte, to net.Addr) (int, error) {
	count, err := p.PacketConn.WriteTo(data, to)
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
	return countedPacketConn{packets, m}
}

// countedTransport counts the calls of an HTTP client.
type countedTransport struct {
	http.RoundTripper
	meter *Meter
}

// RoundTrip counts a call before it makes it, so that failed calls are counted too.
func (t countedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	t.meter.made.Add(1)
	return t.RoundTripper.RoundTrip(request)
}

// Client counts the calls of a client and the bytes of its connections. It changes the client in place if its transport is an
// *http.Transport, whose DialContext must be set. Any other client is left as it is.
func (m *Meter) Client(client *http.Client) *http.Client {
	transport, isHTTPTransport := client.Transport.(*http.Transport)
	if m == nil || !isHTTPTransport {
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
	client.Transport = countedTransport{transport, m}
	return client
}

// Handler wraps a handler so that each call is counted when it arrives.
func (m *Meter) Handler(handler http.Handler) http.Handler {
	if m == nil {
		return handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		m.served.Add(1)
		handler.ServeHTTP(writer, request)
	})
}
