package controlkeys

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/mailbox"
)

// The limits of calls to other stewards.
const (
	promiseLimit = 500 * time.Millisecond
	appendLimit  = 1500 * time.Millisecond
	// minBytesPerSecond is the rate that a large call may take the link at, beyond the limit of a small one.
	minBytesPerSecond = 64 << 10
	// fetchLimit is enough for a chunk at that rate.
	fetchLimit   = 6 * time.Second
	maxCallLimit = 30 * time.Second
)

// ErrUnknownDisk ends a call to a disk that no member is known to have.
const ErrUnknownDisk = errors.ConstError("no member is known with this disk")

// peerTransport carries an engine's calls over connect, or straight to the local replicas.
type peerTransport struct {
	manager       *Manager
	engineMailbox *mailbox.Mailbox
	ctx           context.Context
}

// Promise asks the replica of a disk for a promise, the local one straight away, another within promiseLimit. As with all
// methods of the transport, the engine's goroutine calls it and runs done later.
func (t *peerTransport) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if disk == t.manager.disk {
		t.manager.Replicas.Mailbox().Post(func() {
			t.manager.Replicas.Promise(call, func(answer wire.PromiseAnswer) { t.engineMailbox.Post(func() { done(answer, nil) }) })
		})
		return
	}
	callPeer(t, disk, peerapi.ProcedurePromise, promiseLimit, call, done)
}

// Append sends changes, a snapshot, a chunk or a heartbeat to the replica of a disk; the time limit grows with the bytes of
// the call (limitFor).
func (t *peerTransport) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == t.manager.disk {
		t.InstallLocal(call, done)
		return
	}
	callPeer(t, disk, peerapi.ProcedureAppend, limitFor(&call), call, done)
}

// limitFor is how long a call may take, by the bytes that it carries.
func limitFor(call *wire.AppendCall) time.Duration {
	bytes := 0
	for _, change := range call.Changes {
		bytes += bytesOf(change.Ops)
	}
	if call.Snapshot != nil {
		bytes += bytesOf(call.Snapshot.Pairs)
	}
	if call.Chunk != nil {
		bytes += bytesOf(call.Chunk.Pairs)
	}
	return min(appendLimit+time.Duration(bytes)*time.Second/minBytesPerSecond, maxCallLimit)
}

func bytesOf(ops []wire.Op) int {
	bytes := 0
	for _, op := range ops {
		bytes += len(op.Name) + len(op.Value)
	}
	return bytes
}

// InstallLocal has the local replica take a call as if the leader had sent it. It has no time limit and done gets no error.
func (t *peerTransport) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	t.manager.Replicas.Mailbox().Post(func() {
		t.manager.Replicas.Append(call, func(answer wire.AppendAnswer) { t.engineMailbox.Post(func() { done(answer, nil) }) })
	})
}

// Fetch asks another steward for what the replica on its disk holds beyond a position, within fetchLimit.
func (t *peerTransport) Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error)) {
	callPeer(t, disk, peerapi.ProcedureFetch, fetchLimit, call, done)
}

// Status reads the state of the local replica on the goroutine of the replicas.
func (t *peerTransport) Status(key string, done func(replication.ReplicaStatus)) {
	t.manager.Replicas.Mailbox().Post(func() {
		status := t.manager.Replicas.Status(key)
		t.engineMailbox.Post(func() { done(status) })
	})
}

// History reads the changes that the local replica still has one by one, on the goroutine of the replicas.
func (t *peerTransport) History(key string, done func(replication.History)) {
	t.manager.Replicas.Mailbox().Post(func() {
		history := t.manager.Replicas.History(key)
		t.engineMailbox.Post(func() { done(history) })
	})
}

// ReadLocal reads the snapshot of the local replica from the store, on a goroutine of its own, as that takes long for a
// large key.
func (t *peerTransport) ReadLocal(key string, done func(wire.Snapshot, error)) {
	go func() {
		snapshot, err := t.manager.Store.Read(key)
		t.engineMailbox.Post(func() { done(snapshot, err) })
	}()
}

// callPeer calls the steward of a disk on a goroutine of its own, and runs done on the engine's.
func callPeer[Call, Answer any](t *peerTransport, disk, procedure string, limit time.Duration, call Call, done func(Answer, error)) {
	address := t.manager.addressOf(disk)
	go func() {
		var answer Answer
		err := errors.Annotatef(ErrUnknownDisk, "calling disk %s", disk)
		if address != "" {
			var response *Answer
			if response, err = peerapi.Call[Call, Answer](t.ctx, t.manager.Caller, address, procedure, limit, &call); err == nil {
				answer = *response
			}
		}
		t.engineMailbox.Post(func() { done(answer, err) })
	}()
}
