package replication

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// Transport makes an engine's calls; each answer comes back on the engine's own goroutine. A call that gets no answer ends
// with an error after a limit that the transport sets.
type Transport interface {
	// Promise asks the disk's replica for a promise.
	Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error))
	// Append sends changes, a snapshot or a heartbeat to the disk's replica.
	Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error))
	// Fetch asks the disk's replica for what it holds beyond a position.
	Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error))
	// Status reads the state of the local replica.
	Status(key string, done func(ReplicaStatus))
	// History reads the changes that the local replica still has one by one.
	History(key string, done func(History))
	// ReadLocal reads the snapshot of the local replica from its disk. The reading must not hold up the engine's
	// goroutine, which has leases to renew meanwhile; done is never called within the call.
	ReadLocal(key string, done func(wire.Snapshot, error))
	// InstallLocal brings the local replica to a fetched state.
	InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error))
}

// StateMachine is what lives on a key while this steward leads it. It is called on the engine's goroutine.
type StateMachine interface {
	// Open hands the key over with all its values; an error gives the leadership up.
	Open(leadership *Leadership, pairs []wire.Op) error
	// Close ends the leadership; commits that were pending have failed by then.
	Close()
}

// MemberSource tells where disks are now: the members of the cluster, alive or not.
type MemberSource func() []wire.Member
