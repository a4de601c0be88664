package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/mailbox"
)

const (
	relayMailboxSize = 256
	chunkBytes       = 16 << 10
	dialTimeout      = 2 * time.Second
)

// relay forwards the connections of a gate's clients. It can cut all connections and hold back their data. One goroutine owns
// its state. Two more goroutines for each connection, one per direction, ask it for permission to forward each chunk.
type relay struct {
	mailbox     *mailbox.Mailbox
	ctx         context.Context
	listener    net.Listener
	gateAddress string
	injected    InjectedFault
	// recordRefused is called with the address of each client whose connection the gate refused.
	recordRefused func(client net.Addr)

	// connections maps each client's connection to the connection to the gate. heldBack are the functions that permit the chunks
	// which wait for the end of a stall.
	connections map[net.Conn]net.Conn
	isCut       bool
	isStalled   bool
	heldBack    []func()
	// answers counts the chunks of answers, and last is the newest of them; the injected faults use both.
	answers int
	last    []byte
}

func newRelay(ctx context.Context, address, gateAddress string, injected InjectedFault, recordRefused func(client net.Addr)) (*relay, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Annotate(err, "listening for a relay")
	}
	r := &relay{mailbox: mailbox.New(relayMailboxSize), ctx: ctx, listener: listener, gateAddress: gateAddress, injected: injected,
		recordRefused: recordRefused, connections: map[net.Conn]net.Conn{}}
	go r.mailbox.Run(ctx, clock.System(), mailbox.Owner{Every: time.Minute})
	go r.accept()
	return r, nil
}

// accept accepts connections until ctx is done.
func (r *relay) accept() {
	go func() {
		<-r.ctx.Done()
		r.listener.Close()
	}()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(client)
	}
}

// serve connects a client to the gate, or resets the connection if the relay is cut or the gate can't be reached.
func (r *relay) serve(client net.Conn) {
	gate, err := net.DialTimeout("tcp4", r.gateAddress, dialTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			// The refusal is recorded before the reset, so that the history has it when the client's call ends.
			r.recordRefused(client.RemoteAddr())
		}
		reset(client)
		return
	}
	r.post(func() {
		if r.isCut {
			reset(client)
			reset(gate)
			return
		}
		r.connections[client] = gate
		go r.forward(client, gate, false)
		go r.forward(gate, client, true)
	})
}

// forward copies the data of one direction until it ends. After the direction of requests, it closes the write side of the
// connection to the gate; after the direction of answers, it closes both connections.
func (r *relay) forward(from, to net.Conn, isAnswer bool) {
	chunk := make([]byte, chunkBytes)
	for {
		count, err := from.Read(chunk)
		if count > 0 && !r.forwardChunk(to, chunk[:count], isAnswer) {
			break
		}
		if err != nil {
			break
		}
	}
	if half, canHalfClose := to.(*net.TCPConn); canHalfClose && !isAnswer {
		// A client that has sent its last request still waits for the answer.
		_ = half.CloseWrite()
		return
	}
	from.Close()
	to.Close()
	r.post(func() {
		delete(r.connections, from)
		delete(r.connections, to)
	})
}

// forwardChunk waits for permission and writes a chunk. It returns false if no more chunks can be forwarded.
func (r *relay) forwardChunk(to net.Conn, chunk []byte, isAnswer bool) bool {
	permitted := make(chan []byte, 1)
	r.post(func() {
		permit := func() { permitted <- r.alterChunk(chunk, isAnswer) }
		if r.isStalled {
			r.heldBack = append(r.heldBack, permit)
			return
		}
		permit()
	})
	select {
	case <-r.ctx.Done():
		return false
	case allowed := <-permitted:
		if allowed == nil {
			return false
		}
		_, err := to.Write(allowed)
		return err == nil
	}
}

// startFault cuts or stalls the relay for a duration.
func (r *relay) startFault(kind FaultKind, duration time.Duration) {
	r.post(func() {
		if kind == FaultStall {
			r.isStalled = true
			return
		}
		r.isCut = true
		for client, gate := range r.connections {
			reset(client)
			reset(gate)
		}
		clear(r.connections)
	})
	time.AfterFunc(duration, func() { r.post(r.endFault) })
}

// endFault ends any cut and any stall, also one that began later, and permits the chunks that were held back.
func (r *relay) endFault() {
	r.isCut, r.isStalled = false, false
	heldBack := r.heldBack
	r.heldBack = nil
	for _, permit := range heldBack {
		permit()
	}
}

func (r *relay) post(work func()) {
	if r.ctx.Err() == nil {
		r.mailbox.Post(work)
	}
}

// reset closes a connection with a TCP reset, so that the other side gets an error at once.
func reset(connection net.Conn) {
	if tcp, isTCP := connection.(*net.TCPConn); isTCP {
		// If this fails, the close is an ordinary one, which also breaks the connection.
		_ = tcp.SetLinger(0)
	}
	connection.Close()
}
