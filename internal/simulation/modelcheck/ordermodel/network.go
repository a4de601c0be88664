package ordermodel

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

var errNoAnswer = errors.New("no answer in time")

// lifecycle is the state of a process: whether it is up, whether it is frozen, and the number of its incarnation.
type lifecycle struct {
	isUp        bool
	isFrozen    bool
	incarnation int
	// deferred holds the work that a frozen process does once it is unfrozen.
	deferred []func()
}

// enter calls run in the process if it is up in the given incarnation. A frozen process calls it once it is unfrozen.
func (l *lifecycle) enter(incarnation int, run func()) {
	switch {
	case !l.isUp || l.incarnation != incarnation:
	case l.isFrozen:
		l.deferred = append(l.deferred, func() { l.enter(incarnation, run) })
	default:
		run()
	}
}

// unfreeze ends a freeze and returns the work that was deferred until then.
func (l *lifecycle) unfreeze() []func() {
	deferred := l.deferred
	l.isFrozen, l.deferred = false, nil
	return deferred
}

// modelProcess is a process that may be killed, frozen and cut off. Messages that arrive during a freeze are handled after it.
type modelProcess struct {
	cluster *simCluster
	name    string
	lifecycle
	// isNeverDoubled is set for clients and gates. The network duplicates no message to or from them, as only clients send their
	// calls a second time.
	isNeverDoubled bool
	// isCutIncoming is set while messages to this process are cut off, isCutOutgoing while messages from it are.
	isCutIncoming bool
	isCutOutgoing bool
	// group is the side of a partition; only processes of one group reach each other.
	group int
	// leaderHint is the index of the steward that was last announced to this process as the key's leader.
	leaderHint int
	// pendingLeaderCalls holds, by the number of each pending call to a leader, the function that abandons the call once another
	// leader is announced.
	pendingLeaderCalls map[uint64]func()
	evacuations        knownEvacuations
}

// abandonOnLeaderChange calls giveUp once another leader is announced to this process, unless release is called before.
func (p *modelProcess) abandonOnLeaderChange(giveUp func()) (release func()) {
	p.cluster.calls++
	number := p.cluster.calls
	p.pendingLeaderCalls[number] = giveUp
	return func() { delete(p.pendingLeaderCalls, number) }
}

// updateLeader handles the announcement of a leader: it abandons all calls to an earlier one.
func (p *modelProcess) updateLeader(leader int) {
	if p.leaderHint == leader {
		return
	}
	p.leaderHint = leader
	for _, number := range slices.Sorted(maps.Keys(p.pendingLeaderCalls)) {
		giveUp := p.pendingLeaderCalls[number]
		delete(p.pendingLeaderCalls, number)
		giveUp()
	}
}

func (p *modelProcess) kill() {
	p.isUp, p.isFrozen, p.deferred = false, false, nil
	p.incarnation++
}

// boot starts a new incarnation of the process.
func (p *modelProcess) boot() {
	p.isUp, p.isFrozen, p.deferred, p.pendingLeaderCalls = true, false, nil, map[uint64]func(){}
	p.incarnation++
	p.evacuations = knownEvacuations{}
	p.cluster.sendEvacuations(p)
}

// wake ends a freeze; the deferred work is done in a drawn order.
func (p *modelProcess) wake() {
	deferred := p.unfreeze()
	p.cluster.queue.random.Shuffle(len(deferred), func(a, b int) { deferred[a], deferred[b] = deferred[b], deferred[a] })
	for _, run := range deferred {
		p.cluster.queue.after(0, run)
	}
}

// later calls run in the process after a delay, unless its present incarnation has ended by then.
func (p *modelProcess) later(wait time.Duration, run func()) {
	incarnation := p.incarnation
	p.cluster.queue.after(wait, func() { p.enter(incarnation, run) })
}

// reaches reports whether messages get from this process to another at present; clients are on both sides of a partition.
func (p *modelProcess) reaches(to *modelProcess) bool {
	isOneSide := p.group == to.group || p == p.cluster.outside || to == p.cluster.outside
	return p == to || !p.isCutOutgoing && !to.isCutIncoming && isOneSide
}

func (p *modelProcess) isReachable() bool {
	return p.isUp && !p.isFrozen && !p.isCutIncoming && !p.isCutOutgoing
}

// messageFaults are the percentages of messages that are lost, duplicated and late at present, and the longest delay of late ones.
type messageFaults struct {
	lostPercent    int
	doubledPercent int
	latePercent    int
	maxDelayMs     int
}

// transit draws how long a message is in transit.
func (c *simCluster) transit() time.Duration {
	wait := c.queue.between(300*time.Microsecond, 2*time.Millisecond)
	if c.queue.chance(c.messageFaults.latePercent) {
		c.count("message_late")
		wait += c.queue.between(0, time.Duration(c.messageFaults.maxDelayMs)*time.Millisecond)
	}
	return wait
}

// send carries a message from one process to another. A fault may lose or duplicate the message. It is also lost if the receiver
// can't be reached when it arrives.
func (c *simCluster) send(from, to *modelProcess, arrive func()) {
	copies := 1
	switch {
	case c.queue.chance(c.messageFaults.lostPercent):
		c.count("message_lost")
		copies = 0
	case !from.isNeverDoubled && !to.isNeverDoubled && c.queue.chance(c.messageFaults.doubledPercent):
		c.count("message_doubled")
		copies = 2
	}
	for range copies {
		c.queue.after(c.transit(), func() {
			if from.reaches(to) && to.isUp {
				to.enter(to.incarnation, arrive)
			}
		})
	}
}

// callLeader makes a call that is abandoned early, with an error, if another leader is announced to the caller.
func callLeader[T any](c *simCluster, from, to *modelProcess, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver := false
	var release func()
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			release()
			done(value, err)
		}
	}
	release = from.abandonOnLeaderChange(func() {
		var none T
		finish(none, errNoAnswer)
	})
	call(c, from, to, timeout, serve, finish)
}

// call makes a call to another process and passes the first answer to done, or an error after the timeout. It does not call done
// once the caller's incarnation has ended.
func call[T any](c *simCluster, from, to *modelProcess, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver, incarnation := false, from.incarnation
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			done(value, err)
		}
	}
	var none T
	c.queue.after(timeout, func() { from.enter(incarnation, func() { finish(none, errNoAnswer) }) })
	c.send(from, to, func() {
		serve(func(value T) {
			c.send(to, from, func() { from.enter(incarnation, func() { finish(value, nil) }) })
		})
	})
}
