package controlmodel

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// isCutOff tells whether the machine of a disk can't be reached because of a cut.
func (l *links) isCutOff(disk string) bool {
	to := l.node.nodeByDisk(disk)
	return to != nil && !l.node.cluster.isOpen(l.node, to)
}

// reachableOnlyLinks answers in the name of the voters that a cut keeps out of reach.
type reachableOnlyLinks struct{ *links }

// Promise grants in the name of a disk that is cut off.
func (l *reachableOnlyLinks) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if !l.isCutOff(disk) {
		l.links.Promise(disk, call, done)
		return
	}
	l.node.post(func() { done(wire.PromiseAnswer{Granted: true, Promised: call.Epoch, Disk: disk}, nil) })
}

// Append says that a disk that is cut off has taken what it was sent.
func (l *reachableOnlyLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if !l.isCutOff(disk) {
		l.links.Append(disk, call, done)
		return
	}
	last := call.Prev
	if count := len(call.Changes); count > 0 {
		last = call.Changes[count-1].Position
	}
	l.node.post(func() { done(wire.AppendAnswer{Taken: true, Promised: call.Epoch, Last: last, Disk: disk}, nil) })
}

// unanimousLinks drops the promises of others while any machine is out of reach.
type unanimousLinks struct{ *links }

// Promise gives no answer while a machine is out of reach.
func (l *unanimousLinks) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if disk == l.node.disk.name {
		l.links.Promise(disk, call, done)
		return
	}
	l.links.Promise(disk, call, func(answer wire.PromiseAnswer, err error) {
		for _, other := range l.node.cluster.slots {
			if !l.node.cluster.isOpen(l.node, other) {
				answer, err = wire.PromiseAnswer{}, errNoAnswer
			}
		}
		done(answer, err)
	})
}

// hastyFollowerLinks answers changes to one other voter at once, and sends them all the same.
type earlyFollowerLinks struct{ *links }

// Append answers in the name of the first other voter before it has the changes.
func (l *earlyFollowerLinks) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	count := len(call.Changes)
	if count == 0 || call.Snapshot != nil || disk != l.firstOther() {
		l.links.Append(disk, call, done)
		return
	}
	l.node.post(func() {
		done(wire.AppendAnswer{Taken: true, Promised: call.Epoch, Last: call.Changes[count-1].Position, Disk: disk}, nil)
	})
	l.links.Append(disk, call, func(wire.AppendAnswer, error) {})
}

// firstOther is the first voter that is not the own disk.
func (l *earlyFollowerLinks) firstOther() string {
	for _, disk := range l.node.engine.Belief().Voters.Current {
		if disk != l.node.disk.name {
			return disk
		}
	}
	return ""
}
