package replication

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// Transport makes an engine's calls. Each callback runs on the engine's goroutine. A call to another steward that is not answered
// fails after the transport's timeout.
type Transport interface {
	// Promise asks the replica on a disk for a promise or a pre-vote.
	Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error))
	// Append sends changes, a snapshot, a snapshot chunk, a heartbeat or a release to the replica on a disk.
	Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error))
	// Fetch asks the replica on a disk for the changes after a position, or for its snapshot.
	Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error))
	// Status reads the status of the local replica.
	Status(key string, done func(ReplicaStatus))
	// History reads the recent changes of the local replica.
	History(key string, done func(History))
	// ReadLocal reads the snapshot of the local replica from its disk. It must not block the engine's goroutine, which renews
	// leases meanwhile. It never calls done before it returns.
	ReadLocal(key string, done func(wire.Snapshot, error))
	// InstallLocal writes fetched changes or a fetched snapshot to the local replica.
	InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error))
}

// StateMachine serves a key while this steward leads it. It is called on the engine's goroutine.
type StateMachine interface {
	// Open starts serving the key. pairs holds all pairs of the key. If Open returns an error, the engine steps down.
	Open(leadership *Leadership, pairs []wire.Op) error
	// Close is called when the leadership has ended, also if Open returned an error. All pending commits have failed before.
	Close()
}

// MemberSource returns the members of the cluster with their disks, alive or not.
type MemberSource func() []wire.Member
