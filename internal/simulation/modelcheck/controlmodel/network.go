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
	// stalledConnectionTimeout is how long the daemon keeps a connection whose other side acknowledges nothing. Calls with chunks and
	// snapshots fail after it, since the daemon's timeouts of these calls are longer.
	stalledConnectionTimeout = 2 * time.Second

	// A message that no fault delays arrives after minTransitTime to maxTransitTime.
	minTransitTime = 300 * time.Microsecond
	maxTransitTime = 4 * time.Millisecond

	// In a large system, a chunk of a snapshot takes another minChunkTime to maxChunkTime.
	minChunkTime = 10 * time.Millisecond
	maxChunkTime = 80 * time.Millisecond
)

var (
	errNoAnswer = errors.New("no answer in time")
	errRefused  = errors.New("connection refused")
	errUnknown  = errors.New("no peer is known with that disk")
)

// direction is one direction of the link between two machines, by node index.
type direction struct{ from, to int }

type cutKind int

const (
	// cutSilent loses messages or delays them until the end of the cut.
	cutSilent cutKind = iota + 1
	// cutRefused refuses connections.
	cutRefused
)

// cut stops the messages from one machine to another until a time.
type cut struct {
	kind  cutKind
	until time.Duration
}

// networkFault loses, doubles and delays messages between all machines. lost, doubled and delayed are shares in thousandths. maxDelay is the
// longest additional delay of delayed messages and of second copies.
type networkFault struct {
	until    time.Duration
	lost     int
	doubled  int
	delayed  int
	maxDelay time.Duration
}

// isOpen reports whether no cut stops the messages from one machine to another.
func (sim *simCluster) isOpen(from, to *simNode) bool {
	return from == to || sim.cuts[direction{from.index, to.index}].until <= sim.now
}

// transit draws how long a message takes that no fault delays.
func (sim *simCluster) transit() time.Duration {
	return minTransitTime + time.Duration(sim.random.Int64N(int64(maxTransitTime-minTransitTime)))
}

// deliver sends a message from one machine to another. A fault may lose, double, delay or refuse it. refused may be nil.
func (sim *simCluster) deliver(from, to *simNode, arrive func(), refused func()) {
	if from == to {
		sim.after(0, arrive)
		return
	}
	if activeCut := sim.cuts[direction{from.index, to.index}]; activeCut.until > sim.now {
		sim.deliverThroughCut(activeCut, arrive, refused)
		return
	}
	wait := sim.transit()
	if sim.networkFault.until > sim.now {
		roll := sim.random.IntN(1000)
		switch {
		case roll < sim.networkFault.lost:
			sim.countCoverage("message lost")
			return
		case roll < sim.networkFault.lost+sim.networkFault.doubled:
			sim.countCoverage("message doubled")
			sim.after(wait+time.Duration(sim.random.Int64N(int64(sim.networkFault.maxDelay))), arrive)
		case roll < sim.networkFault.lost+sim.networkFault.doubled+sim.networkFault.delayed:
			sim.countCoverage("message delayed")
			wait += time.Duration(sim.random.Int64N(int64(sim.networkFault.maxDelay)))
		}
	}
	sim.after(wait, arrive)
}

// deliverThroughCut refuses a message, loses it, or delivers it after the cut. A quarter of the messages that aren't refused arrive then, as
// retransmissions.
func (sim *simCluster) deliverThroughCut(activeCut cut, arrive func(), refused func()) {
	if activeCut.kind == cutRefused {
		if refused != nil {
			sim.after(sim.transit(), refused)
		}
		return
	}
	if sim.random.IntN(4) == 0 {
		sim.countCoverage("message held by a cut")
		sim.after(activeCut.until-sim.now+sim.transit(), arrive)
	}
}

// callMachine calls another machine. done runs inside the calling process, with the answer or with an error: errUnknown if to is nil,
// errRefused if the connection is refused, or errNoAnswer after the timeout.
func callMachine[T any](from, to *simNode, timeout time.Duration, serve func(answer func(T)), done func(T, error)) {
	sim, fromIncarnation, isOver := from.cluster, from.incarnation, false
	finish := func(value T, err error) {
		if !isOver {
			isOver = true
			from.enter(fromIncarnation, func() { done(value, err) })
		}
	}
	var zero T
	if to == nil {
		sim.after(0, func() { finish(zero, errUnknown) })
		return
	}
	sim.after(timeout, func() { finish(zero, errNoAnswer) })
	refuse := func() { finish(zero, errRefused) }
	sim.deliver(from, to, func() {
		if !to.isUp {
			if sim.random.IntN(2) == 0 {
				sim.after(sim.transit(), refuse)
			}
			return
		}
		toIncarnation := to.incarnation
		to.enter(toIncarnation, func() {
			serve(func(value T) {
				// The answer is sent up to 300 us later, so that a freeze or a power loss may occur in between.
				sim.after(time.Duration(sim.random.IntN(300))*time.Microsecond, func() {
					to.enter(toIncarnation, func() { sim.deliver(to, from, func() { finish(value, nil) }, nil) })
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

// Append sends changes, a snapshot or a chunk of a snapshot to a disk. A call without any of them is a heartbeat.
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
func (sim *simCluster) chunkTime() time.Duration {
	return minChunkTime + time.Duration(sim.random.Int64N(int64(maxChunkTime-minChunkTime)))
}

// append sends an append call to a machine. DelayUs of the answer is how long that machine's replica took.
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

// InstallLocal appends changes to the replica on the machine's own disk, or installs a snapshot there.
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

// Status calls done with the status of a key in the machine's own replica.
func (l *links) Status(key string, done func(replication.ReplicaStatus)) {
	done(l.node.replicas.Status(key))
}

// History calls done with the changes of a key that the machine's own replica still keeps individually.
func (l *links) History(key string, done func(replication.History)) {
	done(l.node.replicas.History(key))
}

// ReadLocal reads the snapshot of the machine's own replica from its disk. done runs as a later event.
func (l *links) ReadLocal(key string, done func(wire.Snapshot, error)) {
	snapshot, err := l.node.disk.Read(key)
	l.node.post(func() { done(snapshot, err) })
}
