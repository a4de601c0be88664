package rolloutmodel

import (
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// The capacity of an executor, and how many each pool has.
const (
	executorCPU, executorMemory = 4000, 4000
	executorsPerPool            = 2
	// A new leader opens so many milliseconds after the one before was lost.
	minTakeOverMs, maxTakeOverMs = 20, 400
)

var poolTiming = scheduler.Timing{Grant: 4 * time.Second, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond, MaxResend: time.Second,
	HoldStale: 2500 * time.Millisecond, SilentAfter: 1500 * time.Millisecond, StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second,
	KeepEnded: 150 * time.Second, ReservedCapacity: scheduler.DefaultReservedCapacity}

// modelPool is the pool of a version, led by one leader after the other, and its executors.
type modelPool struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	// pool is that of the present leader, nil while there is none.
	pool      *scheduler.Pool
	snapshot  *configcache.Snapshot
	executors []*modelExecutor
	// report is what the controller of rollouts was told last.
	report *wire.RolloutReport
	// isSilent has the executors say nothing, isBad lets runs fail.
	isSilent, isBad bool
	// silentUntil is until when the executors say nothing, as far as is planned.
	silentUntil time.Duration
}

func newModelPool(c *simCluster, number int) *modelPool {
	pool := &modelPool{cluster: c, number: number, key: simkey.New(c.queue, c.coverage)}
	for range executorsPerPool {
		pool.executors = append(pool.executors, newModelExecutor(pool, len(pool.executors)))
	}
	return pool
}

func (p *modelPool) name() string { return wire.PoolKey(serviceOf(p.number)) }

// leadership is the right of one leader to change the key of the pool.
type leadership struct {
	pool  *modelPool
	epoch uint64
}

func (l *leadership) isOver() bool { return l.pool.key.Epoch != l.epoch }

// Epoch is that of this leadership.
func (l *leadership) Epoch() uint64 { return l.epoch }

// HasLease is true until the leadership is over.
func (l *leadership) HasLease() bool { return !l.isOver() }

// WallMs is the time of day.
func (l *leadership) WallMs() int64 { return l.pool.cluster.queue.Clock.WallMs() }

// Commit makes a change durable; done is not called once the leadership is over, as its process is gone.
func (l *leadership) Commit(ops []wire.Op, done func(error)) {
	if l.isOver() {
		return
	}
	l.pool.key.Propose(l.pool.cluster.withoutForgotten(ops), func(err error) {
		done(err)
		l.pool.flush()
	})
}

// open lets the next leader take the key over.
func (p *modelPool) open() {
	sender := &modelSender{p}
	p.pool = scheduler.New(p.name(), p.cluster.queue.Clock, poolTiming, logging.Silent(), scheduler.WithRollouts(p.policy), scheduler.WithTransfers(sender))
	p.pool.Open(&leadership{p, p.key.Epoch}, p.key.Pairs(""))
	p.cluster.coverage["pool_opened"]++
}

// kill ends the leadership, with commits under way.
func (p *modelPool) kill() {
	if p.pool == nil {
		return
	}
	p.key.EndEpoch()
	p.pool, p.report = nil, nil
	p.cluster.after(minTakeOverMs, maxTakeOverMs, p.open)
}

func (p *modelPool) flush() {
	if p.pool != nil {
		p.pool.Flush()
	}
}

// policy is what the configuration that has reached the pool says of rollouts.
func (p *modelPool) policy() scheduler.RolloutPolicy {
	if p.snapshot == nil {
		return scheduler.RolloutPolicy{}
	}
	policy := rollouts.PolicyFor(p.snapshot.Committed.Version, p.snapshot.Matcher, serviceOf(p.number))
	if p.cluster.fault == faultTurnedBackIgnored {
		for index := range policy.Rollouts {
			policy.Rollouts[index].ReturnTo = ""
		}
	}
	return policy
}

// tickForEver lets time pass for the pool and its executors.
func (p *modelPool) tickForEver() {
	if p.pool != nil {
		p.pool.Tick()
		p.pool.Flush()
		if !p.isSilent {
			for _, executor := range p.executors {
				executor.exchange()
			}
		}
		p.askReport()
	}
	p.cluster.queue.After(tickInterval, p.tickForEver)
}

// askReport keeps what the pool tells the controller of rollouts.
func (p *modelPool) askReport() {
	epoch := p.key.Epoch
	p.pool.Rollouts(&wire.ClientCall{}, func(answer wire.ClientAnswer) {
		if p.key.Epoch == epoch && answer.Status == statusOK {
			p.report = readReport(answer.Body)
		}
	})
	p.pool.Flush()
}

// serve runs a call of a gate or of another pool; no answer comes back from a process that is gone.
func (p *modelPool) serve(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if p.pool == nil {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	copied, epoch := *call, p.key.Epoch
	reply := func(given wire.ClientAnswer) {
		if p.key.Epoch == epoch {
			answer(given)
		}
	}
	p.cluster.disturb(p, &copied)
	switch copied.Verb {
	case wire.VerbSubmit:
		p.pool.Submit(&copied, func(given wire.ClientAnswer) {
			p.cluster.noteAccepted(p, &copied, given)
			reply(given)
		})
	case wire.VerbRenounce:
		p.pool.Renounce(&copied, func(given wire.ClientAnswer) {
			reply(given)
			p.killAfterPromise(given)
		})
	case wire.VerbState:
		p.pool.State(&copied, reply)
	case wire.VerbCancel:
		p.pool.Cancel(&copied, reply)
	case wire.VerbTransfer:
		if p.cluster.fault == faultTransferAnsweredEarly {
			reply(wire.ClientAnswer{Status: statusOK})
			reply = func(wire.ClientAnswer) {}
		}
		p.pool.Transfer(&copied, reply)
	}
	p.flush()
}

// killAfterPromise ends the leadership if a schedule has it end after a promise.
func (p *modelPool) killAfterPromise(given wire.ClientAnswer) {
	if given.Status != http.StatusGone || p.cluster.killAtPromise == 0 {
		return
	}
	p.cluster.killAtPromise--
	p.cluster.coverage["killed_at_promise"]++
	p.cluster.after(1, maxKillDelayMs, p.kill)
}

// modelSender carries the jobs of a pool to another one.
type modelSender struct{ from *modelPool }

// Send gives a job to the leader of another pool once; the pool sends it again if nobody answers.
func (s *modelSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	c, epoch := s.from.cluster, s.from.key.Epoch
	c.coverage["transfer"]++
	to := c.poolOf(service)
	c.killAround(s.from, to)
	c.send(func() {
		to.serve(call, func(given wire.ClientAnswer) {
			c.send(func() {
				if s.from.key.Epoch == epoch && s.from.pool != nil {
					answer(&given)
					s.from.flush()
				}
			})
		})
	})
}

// Who loses its leader at a transfer, and how many milliseconds after that was sent at most.
const (
	killSender, killBoth = 0, 2
	maxKillDelayMs       = 25
)

// killAround ends the leaderships that a schedule has end at this transfer.
func (c *simCluster) killAround(from, to *modelPool) {
	if len(c.killAtTransfer) == 0 {
		return
	}
	who := c.killAtTransfer[0]
	c.killAtTransfer = c.killAtTransfer[1:]
	c.coverage["killed_at_transfer"]++
	if who == killSender || who == killBoth {
		c.after(0, maxKillDelayMs, from.kill)
	}
	if who != killSender {
		c.after(0, maxKillDelayMs, to.kill)
	}
}

func (c *simCluster) poolOf(service string) *modelPool {
	return c.pools[slices.IndexFunc(c.pools, func(pool *modelPool) bool { return serviceOf(pool.number) == service })]
}

// errLost ends changes of a leadership that is over.
const errLost = errors.ConstError("the key has another leader now")
