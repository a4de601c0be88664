package controlmodel

import (
	"gannetline/internal/cluster/peerapi/wire"
)

// isCutOff tells whether the machine of a disk can't be reached because of a cut.
func (l *links) isCutOff(disk string) bool {
	to := l.node.byDisk(disk)
	return to != nil && !l.node.cluster.isOpen(l.node, to)
}

// reachableOnlyLinks answers in the name of the voters that a cut keeps out of reach.
type reachableOnlyLinks struct{ *links }

// Promise grants in the name of a disk that is cut off.
func (l *reachableOnlyLinks) Promise(disk string, ask wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if !l.isCutOff(disk) {
		l.links.Promise(disk, ask, done)
		return
	}
	l.node.post(func() { done(wire.PromiseAnswer{Granted: true, Promised: ask.Epoch, Disk: disk}, nil) })
}

// Append says that a disk that is cut off has taken what it was sent.
func (l *reachableOnlyLinks) Append(disk string, ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if !l.isCutOff(disk) {
		l.links.Append(disk, ask, done)
		return
	}
	last := ask.Prev
	if count := len(ask.Changes); count > 0 {
		last = ask.Changes[count-1].Position
	}
	l.node.post(func() { done(wire.AppendAnswer{Taken: true, Promised: ask.Epoch, Last: last, Disk: disk}, nil) })
}

// unanimousLinks drops the promises of others while any machine is out of reach.
type unanimousLinks struct{ *links }

// Promise gives no answer while a machine is out of reach.
func (l *unanimousLinks) Promise(disk string, ask wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	if disk == l.node.disk.name {
		l.links.Promise(disk, ask, done)
		return
	}
	l.links.Promise(disk, ask, func(answer wire.PromiseAnswer, err error) {
		for _, other := range l.node.cluster.slots {
			if !l.node.cluster.isOpen(l.node, other) {
				answer, err = wire.PromiseAnswer{}, errNoAnswer
			}
		}
		done(answer, err)
	})
}

// hastyFollowerLinks answers changes to one other voter at once, and sends them all the same.
type hastyFollowerLinks struct{ *links }

// Append answers in the name of the first other voter before it has the changes.
func (l *hastyFollowerLinks) Append(disk string, ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	count := len(ask.Changes)
	if count == 0 || ask.Snapshot != nil || disk != l.firstOther() {
		l.links.Append(disk, ask, done)
		return
	}
	l.node.post(func() {
		done(wire.AppendAnswer{Taken: true, Promised: ask.Epoch, Last: ask.Changes[count-1].Position, Disk: disk}, nil)
	})
	l.links.Append(disk, ask, func(wire.AppendAnswer, error) {})
}

// firstOther is the first voter that is not the own disk.
func (l *hastyFollowerLinks) firstOther() string {
	for _, disk := range l.node.engine.Belief().Voters.Current {
		if disk != l.node.disk.name {
			return disk
		}
	}
	return ""
}
