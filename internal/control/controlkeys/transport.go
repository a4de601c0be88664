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

// Timeouts of calls to other stewards, and the transfer rate on which they are based.
const (
	promiseTimeout = 500 * time.Millisecond
	// baseAppendTimeout is the timeout of an Append call without contents, such as a heartbeat.
	baseAppendTimeout = 1500 * time.Millisecond
	// minBytesPerSecond is the assumed transfer rate. The timeout of an Append call is baseAppendTimeout plus the time that its contents take
	// at this rate.
	minBytesPerSecond = 64 << 10
	// fetchTimeout is enough for a chunk at minBytesPerSecond.
	fetchTimeout = 6 * time.Second
	// maxAppendTimeout limits the timeout of an Append call of any size.
	maxAppendTimeout = 30 * time.Second
)

// ErrUnknownDisk is the error of a call to a disk that no known member has.
const ErrUnknownDisk = errors.ConstError("no member is known with this disk")

// peerTransport is the replication.Transport of an engine. It sends calls to other stewards through package peerapi, and passes calls to the
// local disk directly to the local replicas. Its methods are called on the engine's goroutine, which runs the function done later.
type peerTransport struct {
	manager       *Manager
	engineMailbox *mailbox.Mailbox
	ctx           context.Context
}

// Promise asks the replica on a disk for a promise or a pre-vote. A call to another steward ends after promiseTimeout.
func (t *peerTransport) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if disk == t.manager.disk {
		t.manager.Replicas.Mailbox().Post(func() {
			t.manager.Replicas.Promise(call, func(answer wire.PromiseAnswer) { t.engineMailbox.Post(func() { done(answer, nil) }) })
		})
		return
	}
	callPeer(t, disk, peerapi.ProcedurePromise, promiseTimeout, call, done)
}

// Append sends changes, a snapshot, a chunk, a heartbeat or a release to the replica on a disk. A call to another steward ends after
// appendTimeout, which grows with the size of the call.
func (t *peerTransport) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == t.manager.disk {
		t.InstallLocal(call, done)
		return
	}
	callPeer(t, disk, peerapi.ProcedureAppend, appendTimeout(&call), call, done)
}

// appendTimeout returns the timeout of an Append call by the size of its contents.
func appendTimeout(call *wire.AppendCall) time.Duration {
	total := 0
	for _, change := range call.Changes {
		total += countBytes(change.Ops)
	}
	if call.Snapshot != nil {
		total += countBytes(call.Snapshot.Pairs)
	}
	if call.Chunk != nil {
		total += countBytes(call.Chunk.Pairs)
	}
	return min(baseAppendTimeout+time.Duration(total)*time.Second/minBytesPerSecond, maxAppendTimeout)
}

func countBytes(ops []wire.Op) int {
	total := 0
	for _, op := range ops {
		total += len(op.Name) + len(op.Value)
	}
	return total
}

// InstallLocal passes a call to the local replica as if the leader had sent it. It has no timeout, and done gets no error.
func (t *peerTransport) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	t.manager.Replicas.Mailbox().Post(func() {
		t.manager.Replicas.Append(call, func(answer wire.AppendAnswer) { t.engineMailbox.Post(func() { done(answer, nil) }) })
	})
}

// Fetch asks the replica on another steward's disk for the changes after a position, or for its snapshot. The call ends after fetchTimeout.
func (t *peerTransport) Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error)) {
	callPeer(t, disk, peerapi.ProcedureFetch, fetchTimeout, call, done)
}

// Status passes the state of the local replica to done. It reads the state on the goroutine that owns the replicas.
func (t *peerTransport) Status(key string, done func(replication.ReplicaStatus)) {
	t.manager.Replicas.Mailbox().Post(func() {
		status := t.manager.Replicas.Status(key)
		t.engineMailbox.Post(func() { done(status) })
	})
}

// History passes the most recent changes of the local replica to done. It reads them on the goroutine that owns the replicas.
func (t *peerTransport) History(key string, done func(replication.History)) {
	t.manager.Replicas.Mailbox().Post(func() {
		history := t.manager.Replicas.History(key)
		t.engineMailbox.Post(func() { done(history) })
	})
}

// ReadLocal reads the snapshot of the local replica from the store. It does so on a goroutine of its own, because reading a large key takes
// long.
func (t *peerTransport) ReadLocal(key string, done func(wire.Snapshot, error)) {
	go func() {
		snapshot, err := t.manager.Store.Read(key)
		t.engineMailbox.Post(func() { done(snapshot, err) })
	}()
}

// callPeer calls the steward that has the disk, on a goroutine of its own, and runs done on the engine's goroutine.
func callPeer[Call, Answer any](t *peerTransport, disk, procedure string, timeout time.Duration, call Call, done func(Answer, error)) {
	address := t.manager.findAddress(disk)
	go func() {
		var answer Answer
		err := errors.Annotatef(ErrUnknownDisk, "calling disk %s", disk)
		if address != "" {
			var response *Answer
			if response, err = peerapi.Call[Call, Answer](t.ctx, t.manager.Caller, address, procedure, timeout, &call); err == nil {
				answer = *response
			}
		}
		t.engineMailbox.Post(func() { done(answer, err) })
	}()
}
