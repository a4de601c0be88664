package controlmodel

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/replication"
	"gannetline/internal/simulation/modelcheck"
)

const (
	promiseTimeout = 500 * time.Millisecond
	appendTimeout  = 1500 * time.Millisecond
	// stalledConnectionTimeout is how long the daemon keeps a connection whose other side acknowledges nothing. It is shorter than the
	// daemon's timeouts of calls with chunks and snapshots.
	stalledConnectionTimeout = 2 * time.Second

	minTransitTime = 300 * time.Microsecond
	maxTransitTime = 4 * time.Millisecond

	minChunkTime = 10 * time.Millisecond
	maxChunkTime = 80 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer in time")
	errRefused  = errors.New("connection refused")
	errUnknown  = errors.New("no peer is known with that disk")
)

// pair is one direction between two machines, by node index.
type pair struct{ from, to int }

type cutKind int

const (
	cutSilent cutKind = iota + 1
	cutRefused
)

// cut stops the messages from one machine to another until a time.
type cut struct {
	kind  cutKind
	until time.Duration
}

// networkFault loses, doubles and delays messages between all machines. lost, doubled and delayed are shares in thousandths, longest is the
// longest delay.
type networkFault struct {
	until   time.Duration
	lost    int
	doubled int
	delayed int
	longest time.Duration
}

func (w *simCluster) isOpen(from, to *simNode) bool {
	return from == to || w.cuts[pair{from.index, to.index}].until <= w.now
}

func (w *simCluster) transit() time.Duration {
	return minTransitTime + time.Duration(w.random.Int64N(int64(maxTransitTime-minTransitTime)))
}

// deliver sends a message from one machine to another. A fault may lose, double, delay or refuse it. refused may be nil.
func (w *simCluster) deliver(from, to *simNode, arrive func(), refused func()) {
	if from == to {
		w.after(0, arrive)
		return
	}
	if activeCut := w.cuts[pair{from.index, to.index}]; activeCut.until > w.now {
		w.deliverThroughCut(activeCut, arrive, refused)
		return
	}
	wait := w.transit()
	if w.networkFault.until > w.now {
		roll := w.random.IntN(1000)
		switch {
		case roll < w.networkFault.lost:
			w.countCoverage("message lost")
			return
		case roll < w.networkFault.lost+w.networkFault.doubled:
			w.countCoverage("message doubled")
			w.after(wait+time.Duration(w.random.Int64N(int64(w.networkFault.longest))), arrive)
		case roll < w.networkFault.lost+w.networkFault.doubled+w.networkFault.delayed:
			w.countCoverage("message delayed")
			wait += time.Duration(w.random.Int64N(int64(w.networkFault.longest)))
		}
	}
	w.after(wait, arrive)
}

// deliverThroughCut refuses or loses a message. A quarter of the messages that aren't refused arrive after the cut, as retransmissions.
func (w *simCluster) deliverThroughCut(activeCut cut, arrive func(), refused func()) {
	if activeCut.kind == cutRefused {
		if refused != nil {
			w.after(w.transit(), refused)
		}
		return
	}
	if w.random.IntN(4) == 0 {
		w.countCoverage("message held by a cut")
		w.after(activeCut.until-w.now+w.transit(), arrive)
	}
}

// callMachine calls another machine. done runs inside the calling process, with the answer or with an error after the timeout.
func callMachine[T any](from, to *simNode, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
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
	w.after(timeout, func() { finish(none, errNoAnswer) })
	refuse := func() { finish(none, errRefused) }
	w.deliver(from, to, func() {
		if !to.isUp {
			if w.random.IntN(2) == 0 {
				w.after(w.transit(), refuse)
			}
			return
		}
		toIncarnation := to.incarnation
		to.enter(toIncarnation, func() {
			serve(func(value T) {
				// The answer is sent up to 300 us later, so that a freeze or a power loss may occur in between.
				w.after(time.Duration(w.random.IntN(300))*time.Microsecond, func() {
					to.enter(toIncarnation, func() { w.deliver(to, from, func() { finish(value, nil) }, nil) })
				})
			})
		})
	}, refuse)
}

// links carries the calls of a machine's engine over the simulated network.
type links struct{ node *simNode }

// Promise sends a promise call to a disk.
func (l *links) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	n := l.node
	if disk == n.disk.name {
		n.post(func() {
			n.replicas.Promise(call, func(answer wire.PromiseAnswer) { n.post(func() { done(answer, nil) }) })
		})
		return
	}
	to := n.nodeByDisk(disk)
	n.cluster.tracef("%s asks %s: promise epoch %d, pre-vote %v", n.name, disk, call.Epoch, call.PreVote)
	callMachine(n, to, promiseTimeout, func(answer func(wire.PromiseAnswer)) {
		to.replicas.Promise(call, func(response wire.PromiseAnswer) {
			n.cluster.tracef("%s tells %s: granted %v, promised %d, last %v", to.name, n.name, response.Granted, response.Promised, response.Last)
			answer(response)
		})
	}, done)
}

// Append sends changes, a snapshot or a chunk of a snapshot to a disk.
func (l *links) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	n := l.node
	if disk == n.disk.name {
		l.InstallLocal(call, done)
		return
	}
	timeout := appendTimeout
	if call.Snapshot != nil {
		timeout = stalledConnectionTimeout
		n.cluster.countCoverage("snapshot sent")
	}
	to := n.nodeByDisk(disk)
	send := func() { l.append(to, call, timeout, done) }
	if call.Chunk != nil {
		timeout = stalledConnectionTimeout
		n.cluster.countCoverage("snapshot chunk sent")
	}
	if call.Chunk == nil || n.cluster.schedule.Size != modelcheck.SizeLarge {
		send()
		return
	}
	incarnation := n.incarnation
	n.cluster.after(n.cluster.chunkTime(), func() { n.enter(incarnation, send) })
}

// chunkTime draws how long a chunk takes on the links and processors of a large system, in competition with other traffic.
func (w *simCluster) chunkTime() time.Duration {
	return minChunkTime + time.Duration(w.random.Int64N(int64(maxChunkTime-minChunkTime)))
}

// append sends changes to a replica. The answer says in DelayUs how long the replica took.
func (l *links) append(to *simNode, call wire.AppendCall, timeout time.Duration, done func(wire.AppendAnswer, error)) {
	n := l.node
	callMachine(n, to, timeout, func(answer func(wire.AppendAnswer)) {
		arrivedAt := n.cluster.now
		to.replicas.Append(call, func(response wire.AppendAnswer) {
			n.cluster.tracef("%s tells %s of epoch %d: taken %v, promised %d, last %v (%d changes, release %v)", to.name, n.name, call.Epoch,
				response.Taken, response.Promised, response.Last, len(call.Changes), call.Release)
			response.DelayUs = max(1, (n.cluster.now - arrivedAt).Microseconds())
			answer(response)
		})
	}, done)
}

// InstallLocal appends to the machine's own disk.
func (l *links) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	if call.Snapshot != nil {
		l.node.cluster.countCoverage("snapshot installed by a candidate")
	}
	n := l.node
	n.post(func() {
		n.replicas.Append(call, func(answer wire.AppendAnswer) { n.post(func() { done(answer, nil) }) })
	})
}

// Fetch retrieves from another disk the changes or the snapshot that the machine's own disk lacks.
func (l *links) Fetch(disk string, call wire.FetchCall, done func(wire.FetchAnswer, error)) {
	n := l.node
	n.cluster.countCoverage("candidate fetched")
	to := n.nodeByDisk(disk)
	callMachine(n, to, stalledConnectionTimeout, func(answer func(wire.FetchAnswer)) {
		if snapshot, err := to.replicas.Fetch(to.replicas.History(call.Key), call); err == nil {
			answer(snapshot)
		}
	}, done)
}

// Status passes on the status of a key in the machine's own replica.
func (l *links) Status(key string, done func(replication.ReplicaStatus)) {
	done(l.node.replicas.Status(key))
}

// History passes on the changes of a key that the machine's own replica still keeps individually.
func (l *links) History(key string, done func(replication.History)) {
	done(l.node.replicas.History(key))
}

// ReadLocal reads the snapshot of the machine's own replica from its disk. done runs as a later event.
func (l *links) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := l.node.disk.Read(key)
	l.node.post(func() { done(snapshot, err) })
}
