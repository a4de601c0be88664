package ordermodel

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
)

var errNoAnswer = errors.New("no answer in time")

// lifecycle is whether a process is up or frozen, and which incarnation of it that is.
type lifecycle struct {
	isUp        bool
	isFrozen    bool
	incarnation int
	// waiting is what a frozen process does once it wakes.
	waiting []func()
}

// enter runs something inside the process, if the same incarnation of it is still there; a frozen one does it once it wakes.
func (l *lifecycle) enter(incarnation int, run func()) {
	switch {
	case !l.isUp || l.incarnation != incarnation:
	case l.isFrozen:
		l.waiting = append(l.waiting, func() { l.enter(incarnation, run) })
	default:
		run()
	}
}

// thaw ends a freeze and returns what waited for that.
func (l *lifecycle) unfreeze() []func() {
	waiting := l.waiting
	l.isFrozen, l.waiting = false, nil
	return waiting
}

// modelProcess is one that may be killed, frozen and cut off; what arrives while it is frozen runs once it wakes.
type modelProcess struct {
	cluster *simCluster
	name    string
	lifecycle
	// isOnce is set where a call is never doubled: nothing sends a client's call a second time but the client.
	isNeverDoubled bool
	// isDeaf and isMute are the two directions of a cut.
	isCutIncoming bool
	isCutOutgoing bool
	// group is the side of a partition; only processes of one group reach each other.
	group int
	// leaderHint is the steward that this process last heard of as the key's leader; patience is what gives calls to
	// another one up once it hears of a new leader.
	leaderHint         int
	pendingLeaderCalls map[uint64]func()
	evacuations        knownEvacuations
}

// untilMoved gives a call up once this process hears of another leader; the result ends that.
func (p *modelProcess) abandonOnLeaderChange(giveUp func()) (release func()) {
	p.cluster.calls++
	number := p.cluster.calls
	p.pendingLeaderCalls[number] = giveUp
	return func() { delete(p.pendingLeaderCalls, number) }
}

// hear takes note of a leader.
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
	p.isUp, p.isFrozen, p.waiting = false, false, nil
	p.incarnation++
}

func (p *modelProcess) boot() {
	p.isUp, p.isFrozen, p.waiting, p.pendingLeaderCalls = true, false, nil, map[uint64]func(){}
	p.incarnation++
	p.evacuations = knownEvacuations{}
	p.cluster.sendEvacuations(p)
}

func (p *modelProcess) wake() {
	waiting := p.unfreeze()
	p.cluster.queue.random.Shuffle(len(waiting), func(a, b int) { waiting[a], waiting[b] = waiting[b], waiting[a] })
	for _, run := range waiting {
		p.cluster.queue.after(0, run)
	}
}

// later runs something inside the process after a while.
func (p *modelProcess) later(wait time.Duration, run func()) {
	incarnation := p.incarnation
	p.cluster.queue.after(wait, func() { p.enter(incarnation, run) })
}

// reaches tells whether a message gets from one process to another at present; clients stand on both sides.
func (p *modelProcess) reaches(to *modelProcess) bool {
	isOneSide := p.group == to.group || p == p.cluster.outside || to == p.cluster.outside
	return p == to || !p.isCutOutgoing && !to.isCutIncoming && isOneSide
}

func (p *modelProcess) isReachable() bool {
	return p.isUp && !p.isFrozen && !p.isCutIncoming && !p.isCutOutgoing
}

// hop is how messages fare on their way at present, in percent and milliseconds.
type messageFaults struct {
	lostPercent    int
	doubledPercent int
	latePercent    int
	maxDelayMs     int
}

// transit is how long a message is on its way.
func (w *simCluster) transit() time.Duration {
	wait := w.queue.between(300*time.Microsecond, 2*time.Millisecond)
	if w.queue.chance(w.messageFaults.latePercent) {
		w.count("message_late")
		wait += w.queue.between(0, time.Duration(w.messageFaults.maxDelayMs)*time.Millisecond)
	}
	return wait
}

// send brings a message from one process to another, unless a fault eats it; a fault may double it.
func (w *simCluster) send(from, to *modelProcess, arrive func()) {
	copies := 1
	switch {
	case w.queue.chance(w.messageFaults.lostPercent):
		w.count("message_lost")
		copies = 0
	case !from.isNeverDoubled && !to.isNeverDoubled && w.queue.chance(w.messageFaults.doubledPercent):
		w.count("message_doubled")
		copies = 2
	}
	for range copies {
		w.queue.after(w.transit(), func() {
			if from.reaches(to) && to.isUp {
				to.enter(to.incarnation, arrive)
			}
		})
	}
}

// callLeader is a call that is given up early if the caller hears of another leader.
func callLeader[T any](w *simCluster, from, to *modelProcess, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
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
	call(w, from, to, timeout, serve, finish)
}

// call asks another process and gives back its first answer, or an error once the limit is over.
func call[T any](w *simCluster, from, to *modelProcess, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	isOver, incarnation := false, from.incarnation
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			done(value, err)
		}
	}
	var none T
	w.queue.after(timeout, func() { from.enter(incarnation, func() { finish(none, errNoAnswer) }) })
	w.send(from, to, func() {
		serve(func(value T) {
			w.send(to, from, func() { from.enter(incarnation, func() { finish(value, nil) }) })
		})
	})
}
