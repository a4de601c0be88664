package rolloutmodel

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/queuemoves"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/scheduler"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// The capacity of an executor, and the number of executors in each pool.
const (
	executorCPU, executorMemory = 4000, 4000
	executorsPerPool            = 2
	// A new leader takes over between minTakeOverMs and maxTakeOverMs milliseconds after the former one was lost.
	minTakeOverMs, maxTakeOverMs = 20, 400
)

var poolTiming = scheduler.Timing{Grant: 4 * time.Second, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond, MaxResend: time.Second,
	HoldStale: 2500 * time.Millisecond, SilentAfter: 1500 * time.Millisecond, StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second,
	KeepEnded: 150 * time.Second, ReservedCapacity: scheduler.DefaultReservedCapacity}

// modelPool is the pool of a version with its executors. It is led by one leader after another.
type modelPool struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	// pool is the pool of the present leader, nil while there is none.
	pool *scheduler.Pool
	// snapshot is the newest configuration that has reached the pool; nil if none has.
	snapshot  *configcache.Snapshot
	executors []*modelExecutor
	// generation counts the executors that were started after a retirement.
	generation int
	// report is the last report for the rollout controller; nil if the leader has made none yet.
	report *wire.RolloutReport
	// isSilent is set while the executors make no exchanges, and isBad if the version is bad, so that badPercent of its runs fail. isRetired
	// is set while the version has no executors.
	isSilent, isBad, isRetired bool
	// silentUntil is the end of the last silence of the executors, which may lie in the future.
	silentUntil time.Duration
}

func newModelPool(c *simCluster, number int) *modelPool {
	pool := &modelPool{cluster: c, number: number, key: simkey.New(c.queue, c.coverage)}
	for range executorsPerPool {
		pool.executors = append(pool.executors, newModelExecutor(pool, len(pool.executors)))
	}
	return pool
}

// queueOf returns the name of the queue under which the pool has accepted a job, or "" if the pool does not have the job.
func (p *modelPool) queueOf(job string) string {
	var record struct {
		Route string `json:"entry"`
	}
	if json.Unmarshal(p.key.Records["j/"+job], &record) != nil {
		return ""
	}
	return record.Route
}

func (p *modelPool) name() string { return wire.PoolKey(serviceOf(p.number)) }

// leadership is a leadership of the pool's key in one epoch; it implements scheduler.Leadership.
type leadership struct {
	pool  *modelPool
	epoch uint64
}

func (l *leadership) isOver() bool { return l.pool.key.Epoch != l.epoch }

// Epoch returns the epoch of this leadership.
func (l *leadership) Epoch() uint64 { return l.epoch }

// CommitIndex returns 0, because the key doesn't number its changes.
func (l *leadership) CommitIndex() uint64 { return 0 }

// HasLease reports whether the leadership is not over.
func (l *leadership) HasLease() bool { return !l.isOver() }

// WallMs returns the time of day in milliseconds.
func (l *leadership) WallMs() int64 { return l.pool.cluster.queue.Clock.WallMs() }

// Commit proposes a change. Once the leadership is over it does nothing and does not call done, as the leader's process has ended.
func (l *leadership) Commit(ops []wire.Op, done func(error)) {
	if l.isOver() {
		return
	}
	l.pool.key.Propose(l.pool.cluster.changeCommit(ops), func(err error) {
		done(err)
		l.pool.flush()
	})
}

// open has a new leader take over the key.
func (p *modelPool) open() {
	sender := &modelSender{p}
	p.pool = scheduler.New(p.name(), p.cluster.queue.Clock, poolTiming, logging.Silent(), scheduler.WithRollouts(p.policy),
		scheduler.WithQueueRouting(p.routing), scheduler.WithTransfers(sender))
	p.pool.Open(&leadership{p, p.key.Epoch}, p.key.Pairs(""))
	p.cluster.coverage["pool_opened"]++
}

// kill ends the leadership while commits may be in flight; the next leader takes over after a drawn time. It does nothing if there is
// no leader.
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

// policy returns the rollout policy of the newest configuration that has reached the pool. With faultRollbackIgnored, the policy
// returns no jobs to old versions.
func (p *modelPool) policy() scheduler.RolloutPolicy {
	if p.snapshot == nil {
		return scheduler.RolloutPolicy{}
	}
	policy := rollouts.PolicyFor(p.snapshot, serviceOf(p.number))
	if p.cluster.fault == faultRollbackIgnored {
		for index := range policy.Rollouts {
			policy.Rollouts[index].ReturnTo = ""
		}
	}
	return policy
}

// routing returns the queue routing of the newest configuration that has reached the pool. With faultMovesIgnored, there is none.
func (p *modelPool) routing() scheduler.QueueRouting {
	if p.snapshot == nil || p.cluster.fault == faultMovesIgnored {
		return nil
	}
	return queuemoves.NewRouting(p.snapshot, serviceOf(p.number))
}

// retire ends the executors of a version that the queue no longer leads to, with all their runs. It does nothing if the version may still
// receive jobs, or if there is no queue.
func (p *modelPool) retire() {
	decoded, _ := p.cluster.control.current()
	if p.isRetired || decoded == nil || len(decoded.Routes) == 0 || mayReceiveJobs(decoded, serviceOf(p.number)) {
		return
	}
	p.isRetired = true
	p.cluster.coverage["retired"]++
	for _, executor := range p.executors {
		executor.crash()
	}
}

// reinstate starts new executors, if the version has none.
func (p *modelPool) reinstate() {
	if !p.isRetired {
		return
	}
	p.isRetired = false
	for index := range p.executors {
		p.generation++
		p.executors[index] = newModelExecutor(p, executorsPerPool*p.generation+index)
	}
}

// tickRepeatedly runs the periodic work of the pool and its executors at each tick, if the pool has a leader then.
func (p *modelPool) tickRepeatedly() {
	if p.pool != nil {
		p.pool.Tick()
		p.pool.Flush()
		if !p.isSilent && !p.isRetired {
			for _, executor := range p.executors {
				executor.exchange()
			}
		}
		p.updateReport()
	}
	p.cluster.queue.After(tickInterval, p.tickRepeatedly)
}

// updateReport requests the pool's report for the rollout controller and stores it.
func (p *modelPool) updateReport() {
	epoch := p.key.Epoch
	p.pool.Rollouts(&wire.ClientCall{}, func(answer wire.ClientAnswer) {
		if p.key.Epoch == epoch && answer.Status == statusOK {
			p.report = readReport(answer.Body)
		}
	})
	p.pool.Flush()
}

// serve handles a call of a gate or of another pool. There is no answer if the leadership ends before it is given.
func (p *modelPool) serve(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	if p.pool == nil {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	copied, epoch := *call, p.key.Epoch
	reply := func(response wire.ClientAnswer) {
		if p.key.Epoch == epoch {
			answer(response)
		}
	}
	p.cluster.changeCall(p, &copied)
	switch copied.Verb {
	case wire.VerbSubmit:
		p.pool.Submit(&copied, func(response wire.ClientAnswer) {
			p.cluster.checkAccepted(p, &copied, response)
			reply(response)
		})
	case wire.VerbRenounce:
		p.pool.Renounce(&copied, func(response wire.ClientAnswer) {
			reply(response)
			p.killAtNextPromise(response)
		})
	case wire.VerbState:
		p.pool.State(&copied, reply)
	case wire.VerbCancel:
		p.pool.Cancel(&copied, reply)
	case wire.VerbTransfer, wire.VerbTransferAgain:
		if p.cluster.fault == faultTransferAnsweredEarly {
			reply(wire.ClientAnswer{Status: statusOK})
			reply = func(wire.ClientAnswer) {}
		}
		p.pool.Transfer(&copied, reply)
	}
	p.flush()
}

// killAtNextPromise handles the answer to a renounce. The status Gone means that the pool has promised not to take the job. In
// that case it ends the leadership after a short time if the schedule says so for the next promise.
func (p *modelPool) killAtNextPromise(response wire.ClientAnswer) {
	if response.Status != http.StatusGone || p.cluster.killAtPromise == 0 {
		return
	}
	p.cluster.killAtPromise--
	p.cluster.coverage["killed_at_promise"]++
	p.cluster.after(1, maxKillDelayMs, p.kill)
}

// modelSender sends the calls that transfer jobs of a pool to another pool.
type modelSender struct{ from *modelPool }

// Send sends a transfer to the leader of another pool once. The sending pool repeats it if there is no answer.
func (s *modelSender) Send(service string, call *wire.ClientCall, answer func(*wire.ClientAnswer)) {
	c, epoch := s.from.cluster, s.from.key.Epoch
	c.coverage["transfer"]++
	to := c.poolOf(service)
	c.killAtNextTransfer(s.from, to)
	c.send(func() {
		to.serve(call, func(response wire.ClientAnswer) {
			c.send(func() {
				if s.from.key.Epoch == epoch && s.from.pool != nil {
					answer(&response)
					s.from.flush()
				}
			})
		})
	})
}

const (
	// killSender and killBoth say which pools lose their leaders at a transfer: the sending pool, or both. 1 is the receiving pool.
	killSender, killBoth = 0, 2
	// maxKillDelayMs is the longest delay from a promise or a transfer until the leadership ends, in milliseconds.
	maxKillDelayMs = 25
)

// killAtNextTransfer ends the leaderships that are to end at the next transfer according to the schedule.
func (c *simCluster) killAtNextTransfer(from, to *modelPool) {
	if len(c.killAtTransfer) == 0 {
		return
	}
	target := c.killAtTransfer[0]
	c.killAtTransfer = c.killAtTransfer[1:]
	c.coverage["killed_at_transfer"]++
	if target == killSender || target == killBoth {
		c.after(0, maxKillDelayMs, from.kill)
	}
	if target != killSender {
		c.after(0, maxKillDelayMs, to.kill)
	}
}

func (c *simCluster) poolOf(service string) *modelPool {
	return c.pools[slices.IndexFunc(c.pools, func(pool *modelPool) bool { return serviceOf(pool.number) == service })]
}

// errLeadershipLost is the error of changes of a leadership that is over.
const errLeadershipLost = errors.ConstError("the key has another leader now")
