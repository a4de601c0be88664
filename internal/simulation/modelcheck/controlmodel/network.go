package controlmodel

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

const (
	promiseLimit = 500 * time.Millisecond
	appendLimit  = 1500 * time.Millisecond
	// stalledConnectionTimeout is after how long the daemon gives up a connection whose other side acknowledges nothing, which is sooner than
	// the limits of its calls with chunks and snapshots.
	stalledConnectionTimeout = 2 * time.Second

	shortestTransit = 300 * time.Microsecond
	longestTransit  = 4 * time.Millisecond

	shortestChunk = 10 * time.Millisecond
	longestChunk  = 80 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer in time")
	errRefused  = errors.New("connection refused")
	errUnknown  = errors.New("no peer is known with that disk")
)

// pair is one direction between two machines, by index.
type pair struct{ from, to int }

type cutKind int

const (
	cutSilent cutKind = iota + 1
	cutRefused
)

// cut stops what one machine sends to another, until a moment.
type cut struct {
	kind  cutKind
	until time.Duration
}

// networkTrouble is what happens to messages anywhere; shares are in thousandths.
type networkTrouble struct {
	until   time.Duration
	lost    int
	doubled int
	delayed int
	longest time.Duration
}

func (w *simCluster) isOpen(from, to *simNode) bool {
	return from == to || w.links[pair{from.index, to.index}].until <= w.now
}

func (w *simCluster) transit() time.Duration {
	return shortestTransit + time.Duration(w.draw.Int64N(int64(longestTransit-shortestTransit)))
}

// deliver brings a message from one machine to another, unless a fault eats, doubles or delays it.
func (w *simCluster) deliver(from, to *simNode, arrive func(), refused func()) {
	if from == to {
		w.after(0, arrive)
		return
	}
	if now := w.links[pair{from.index, to.index}]; now.until > w.now {
		w.deliverThroughCut(now, arrive, refused)
		return
	}
	wait := w.transit()
	if w.trouble.until > w.now {
		luck := w.draw.IntN(1000)
		switch {
		case luck < w.trouble.lost:
			w.cover("message lost")
			return
		case luck < w.trouble.lost+w.trouble.doubled:
			w.cover("message doubled")
			w.after(wait+time.Duration(w.draw.Int64N(int64(w.trouble.longest))), arrive)
		case luck < w.trouble.lost+w.trouble.doubled+w.trouble.delayed:
			w.cover("message delayed")
			wait += time.Duration(w.draw.Int64N(int64(w.trouble.longest)))
		}
	}
	w.after(wait, arrive)
}

// deliverThroughCut loses a message, or holds it until the cut is over, as a connection does that sends again.
func (w *simCluster) deliverThroughCut(now cut, arrive func(), refused func()) {
	if now.kind == cutRefused {
		if refused != nil {
			w.after(w.transit(), refused)
		}
		return
	}
	if w.draw.IntN(4) == 0 {
		w.cover("message held by a cut")
		w.after(now.until-w.now+w.transit(), arrive)
	}
}

// call asks another machine; its answer, or an error once the limit is over, comes back inside the calling process.
func call[T any](from, to *simNode, limit time.Duration, serve func(answer func(T)), done func(T, error)) {
	w, fromIncarnation, isOver := from.cluster, from.incarnation, false
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			from.enter(fromIncarnation, func() { done(value, err) })
		}
	}
	var none T
	if to == nil {
		w.after(0, func() { finish(none, errUnknown) })
		return
	}
	w.after(limit, func() { finish(none, errNoAnswer) })
	refuse := func() { finish(none, errRefused) }
	w.deliver(from, to, func() {
		if !to.isUp {
			if w.draw.IntN(2) == 0 {
				w.after(w.transit(), refuse)
			}
			return
		}
		toIncarnation := to.incarnation
		to.enter(toIncarnation, func() {
			serve(func(value T) {
				// The answer is written a little later, so that a freeze or a loss of power may come in between.
				w.after(time.Duration(w.draw.IntN(300))*time.Microsecond, func() {
					to.enter(toIncarnation, func() { w.deliver(to, from, func() { finish(value, nil) }, nil) })
				})
			})
		})
	}, refuse)
}

// links carries the calls of a machine's engine over the simulated network.
type links struct{ node *simNode }

// Promise asks a disk for a promise of an epoch.
func (l *links) Promise(disk string, ask wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	n := l.node
	if disk == n.disk.name {
		n.post(func() {
			n.replicas.Promise(ask, func(answer wire.PromiseAnswer) { n.post(func() { done(answer, nil) }) })
		})
		return
	}
	to := n.byDisk(disk)
	n.cluster.tell("%s asks %s: promise epoch %d, pre-vote %v", n.name, disk, ask.Epoch, ask.PreVote)
	call(n, to, promiseLimit, func(answer func(wire.PromiseAnswer)) {
		to.replicas.Promise(ask, func(response wire.PromiseAnswer) {
			n.cluster.tell("%s tells %s: granted %v, promised %d, last %v", to.name, n.name, response.Granted, response.Promised, response.Last)
			answer(response)
		})
	}, done)
}

// Append sends changes, a snapshot or a chunk of one to a disk.
func (l *links) Append(disk string, ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	n := l.node
	if disk == n.disk.name {
		l.InstallLocal(ask, done)
		return
	}
	limit := appendLimit
	if ask.Snapshot != nil {
		limit = stalledConnectionTimeout
		n.cluster.cover("snapshot sent")
	}
	to := n.byDisk(disk)
	send := func() { l.append(to, ask, limit, done) }
	if ask.Chunk != nil {
		limit = stalledConnectionTimeout
		n.cluster.cover("snapshot chunk sent")
	}
	if ask.Chunk == nil || n.cluster.schedule.Size != modelcheck.SizeLarge {
		send()
		return
	}
	incarnation := n.incarnation
	n.cluster.after(n.cluster.chunkTime(), func() { n.enter(incarnation, send) })
}

// chunkTime is how long a chunk takes on the links and processors of a large system, beside all other traffic.
func (w *simCluster) chunkTime() time.Duration {
	return shortestChunk + time.Duration(w.draw.Int64N(int64(longestChunk-shortestChunk)))
}

// append sends changes to a replica and tells how long the answer took there.
func (l *links) append(to *simNode, ask wire.AppendCall, limit time.Duration, done func(wire.AppendAnswer, error)) {
	n := l.node
	call(n, to, limit, func(answer func(wire.AppendAnswer)) {
		arrivedAt := n.cluster.now
		to.replicas.Append(ask, func(response wire.AppendAnswer) {
			n.cluster.tell("%s tells %s of epoch %d: taken %v, promised %d, last %v (%d changes, release %v)", to.name, n.name, ask.Epoch,
				response.Taken, response.Promised, response.Last, len(ask.Changes), ask.Release)
			response.DelayUs = max(1, (n.cluster.now - arrivedAt).Microseconds())
			answer(response)
		})
	}, done)
}

// InstallLocal appends to the own disk.
func (l *links) InstallLocal(ask wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if ask.Snapshot != nil {
		l.node.cluster.cover("snapshot installed by a candidate")
	}
	n := l.node
	n.post(func() {
		n.replicas.Append(ask, func(answer wire.AppendAnswer) { n.post(func() { done(answer, nil) }) })
	})
}

// Fetch asks a disk for the changes or the state that the own one lacks.
func (l *links) Fetch(disk string, ask wire.FetchCall, done func(wire.FetchAnswer, error)) {
	n := l.node
	n.cluster.cover("candidate fetched")
	to := n.byDisk(disk)
	call(n, to, stalledConnectionTimeout, func(answer func(wire.FetchAnswer)) {
		if snapshot, err := to.replicas.Fetch(to.replicas.History(ask.Key), ask); err == nil {
			answer(snapshot)
		}
	}, done)
}

// Status is what the own replica knows of a key.
func (l *links) Status(key string, done func(replication.ReplicaStatus)) {
	done(l.node.replicas.Status(key))
}

// History is what the own replica still has of a key's changes one by one.
func (l *links) History(key string, done func(replication.History)) {
	done(l.node.replicas.History(key))
}

// ReadLocal reads the snapshot of the machine's own replica from its disk; done is never called within the call.
func (l *links) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := l.node.disk.Read(key)
	l.node.post(func() { done(snapshot, err) })
}
