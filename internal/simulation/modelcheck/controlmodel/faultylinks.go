package controlmodel

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// isCutOff reports whether a cut stops the messages from this machine to the machine of a disk.
func (l *links) isCutOff(disk string) bool {
	to := l.node.nodeByDisk(disk)
	return to != nil && !l.node.cluster.isOpen(l.node, to)
}

// reachableOnlyLinks answers successfully on behalf of disks that are cut off.
type reachableOnlyLinks struct{ *links }

// Promise answers on behalf of a disk that is cut off that the promise is granted.
func (l *reachableOnlyLinks) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if !l.isCutOff(disk) {
		l.links.Promise(disk, call, done)
		return
	}
	l.node.post(func() { done(wire.PromiseAnswer{Granted: true, Promised: call.Epoch, Disk: disk}, nil) })
}

// Append answers on behalf of a disk that is cut off that it has appended the changes.
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

// unanimousLinks drops the promises of other disks while this machine is cut off from any other.
type unanimousLinks struct{ *links }

// Promise drops the answer of another disk if, when it arrives, a cut stops the messages to any machine.
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

// earlyFollowerLinks acknowledges changes on behalf of one other voter at once, and still sends them.
type earlyFollowerLinks struct{ *links }

// Append acknowledges changes on behalf of the first other voter before that has them.
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

// firstOther returns the first voter other than the machine's own disk, or "" if there is none.
func (l *earlyFollowerLinks) firstOther() string {
	for _, disk := range l.node.engine.Belief().Voters.Current {
		if disk != l.node.disk.name {
			return disk
		}
	}
	return ""
}
