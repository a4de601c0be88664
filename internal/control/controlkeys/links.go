// Package controlkeys runs an engine for each control key that this steward may lead: the configuration, and a pool for
// each service. It carries their calls to other stewards.
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

const (
	promiseLimit = 500 * time.Millisecond
	appendLimit  = 1500 * time.Millisecond
	// slowestBytesPerSecond is the rate that a large call may take the link at, beyond the limit of a small one.
	slowestBytesPerSecond = 64 << 10
	// fetchLimit is enough for a chunk at that rate.
	fetchLimit = 6 * time.Second
	mostLimit  = 30 * time.Second
)

// links carries an engine's calls over connect, or straight to the local replicas.
type links struct {
	ring *Ring
	box  *mailbox.Mailbox
	ctx  context.Context
}

// Promise asks the replica of a disk for a promise, the local one straight away, another within promiseLimit. As with all
// methods of links, the engine's goroutine calls it and runs done later.
func (l *links) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if disk == l.ring.disk {
		l.ring.replicas.Mailbox().Post(func() {
			l.ring.replicas.Promise(call, func(answer wire.PromiseAnswer) { l.box.Post(func() { done(answer, nil) }) })
		})
		return
	}
	remote(l, disk, peerapi.ProcedurePromise, promiseLimit, call, done)
}

// Append sends changes, a snapshot, a chunk or a heartbeat to the replica of a disk; the time limit grows with the bytes of
// the call (limitFor).
func (l *links) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if disk == l.ring.disk {
		l.InstallLocal(call, done)
		return
	}
	remote(l, disk, peerapi.ProcedureAppend, limitFor(&call), call, done)
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
	return min(appendLimit+time.Duration(bytes)*time.Second/slowestBytesPerSecond, mostLimit)
}

func bytesOf(ops []wire.Op) int {
	bytes := 0
	for _, op := range ops {
		bytes += len(op.Name) + len(op.Value)
	}
	return bytes
}

// InstallLocal has the local replica take a call as if the leader had sent it. It has no time limit and done gets no error.
func (l *links) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.ring.replicas.Mailbox().Post(func() {
		l.ring.replicas.Append(call, func(answer wire.AppendAnswer) { l.box.Post(func() { done(answer, nil) }) })
	})
}

// Fetch asks another steward for what the replica on its disk holds beyond a position, within fetchLimit.
func (l *links) Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error)) {
	remote(l, disk, peerapi.ProcedureFetch, fetchLimit, call, done)
}

// Status reads the state of the local replica on the goroutine of the replicas.
func (l *links) Status(key string, done func(replication.ReplicaStatus)) {
	l.ring.replicas.Mailbox().Post(func() {
		standing := l.ring.replicas.Status(key)
		l.box.Post(func() { done(standing) })
	})
}

// History reads the changes that the local replica still has one by one, on the goroutine of the replicas.
func (l *links) History(key string, done func(replication.History)) {
	l.ring.replicas.Mailbox().Post(func() {
		held := l.ring.replicas.History(key)
		l.box.Post(func() { done(held) })
	})
}

// ReadLocal reads the whole state of the local replica from the store, on a goroutine of its own, as that takes long for a
// large key.
func (l *links) ReadLocal(key string, done func(wire.Snapshot, error)) {
	go func() {
		snapshot, err := l.ring.store.Read(key)
		l.box.Post(func() { done(snapshot, err) })
	}()
}

func remote[Ask, Tell any](l *links, disk, procedure string, limit time.Duration, call Ask, done func(Tell, error)) {
	address := l.ring.addressOf(disk)
	go func() {
		var answer Tell
		var err error = errors.Errorf("no sibling is known with disk %s", disk)
		if address != "" {
			var told *Tell
			if told, err = peerapi.Call[Ask, Tell](l.ring.caller, l.ctx, address, procedure, limit, &call); err == nil {
				answer = *told
			}
		}
		l.box.Post(func() { done(answer, err) })
	}()
}
