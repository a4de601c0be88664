package poolhost_test

import (
	"errors"
	"fmt"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	key = "pool/s"
	// networkDelay is the delay of a message in one direction.
	networkDelay = 2 * time.Millisecond
	tickInterval = 50 * time.Millisecond
)

// costs are the simulated processing times of the pool, for each record that it loads and each exchange that it handles.
type costs struct {
	record   time.Duration
	exchange time.Duration
}

// steward simulates a candidate with its pool on a slow processor. The other voters are scripted and grant every promise and lease that they
// may grant.
type steward struct {
	clock         *clock.Fake
	events        []event
	engineMailbox *mailbox.Mailbox
	engine        *replication.Engine
	host          *poolhost.Host
	pool          *scheduler.Pool
	costs         costs
	state         wire.Snapshot
	voters        map[string]*voter
	openCount     int
	// busyUntil is the time at which the pool's goroutine has finished its current work.
	busyUntil time.Duration
	// leaseGaps counts the periods in which a majority of the voters could have promised another candidate. isGap is set during such a
	// period.
	leaseGaps int
	isGap     bool
}

// event is a function that runs at a simulated time.
type event struct {
	due time.Duration
	run func()
}

// voter is a scripted voter. A real voter would give no promise to another candidate before leaseUntil. These simulations have no other
// candidate, so only countLeaseGap checks leaseUntil.
type voter struct {
	last       wire.LogPosition
	promised   uint64
	leaseUntil time.Duration
}

func newSteward(costs costs, pairs []wire.Op) *steward {
	s := &steward{clock: clock.NewFake(1_000_000), engineMailbox: mailbox.New(1024), costs: costs, voters: map[string]*voter{}}
	base := wire.LogPosition{Epoch: 1, Index: 100}
	set := wire.VoterSet{Current: []string{"a", "b", "c", "d", "e"}}
	s.state = wire.Snapshot{Last: base, Voters: set, Pairs: pairs}
	for _, disk := range set.Current {
		s.voters[disk] = &voter{last: base, promised: 1}
	}
	s.pool = scheduler.New(key, s.clock, scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second,
		Resend: 200 * time.Millisecond, MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
		StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: time.Minute, ReservedCapacity: scheduler.DefaultReservedCapacity},
		logging.Silent())
	s.host = poolhost.New(&slowPool{s.pool, s}, s.engineMailbox)
	s.engine = replication.NewEngine(key, "a", "one", s.clock, &scriptedTransport{s}, s.host, s.listMembers, replication.WithMachineLosses(2))
	return s
}

// slowPool takes costs.record for each record that it loads.
type slowPool struct {
	*scheduler.Pool
	steward *steward
}

func (p *slowPool) Open(leadership scheduler.Leadership, pairs []wire.Op) {
	p.steward.openCount++
	p.steward.addBusyTime(time.Duration(len(pairs)) * p.steward.costs.record)
	p.Pool.Open(leadership, pairs)
}

func (s *steward) listMembers() []wire.Member {
	var all []wire.Member
	for _, disk := range s.state.Voters.Current {
		all = append(all, wire.Member{Name: disk, Role: "steward", Disk: disk, State: wire.StateAlive})
	}
	return all
}

// addBusyTime makes the pool's goroutine busy for a further time.
func (s *steward) addBusyTime(length time.Duration) {
	s.busyUntil = max(s.busyUntil, s.clock.Monotonic()) + length
}

// after schedules a function after a delay.
func (s *steward) after(wait time.Duration, run func()) {
	s.events = append(s.events, event{s.clock.Monotonic() + wait, run})
}

// run advances the simulated time in steps of a millisecond and runs what is due.
func (s *steward) run(length time.Duration) {
	for range length / time.Millisecond {
		s.clock.Advance(time.Millisecond)
		now := s.clock.Monotonic()
		scheduled := s.events
		s.events = nil
		for _, event := range scheduled {
			if event.due > now {
				s.events = append(s.events, event)
				continue
			}
			event.run()
		}
		s.runEngine(now)
		s.runPool(now)
		s.countLeaseGap(now)
	}
}

// runEngine runs one iteration of the engine's goroutine.
func (s *steward) runEngine(now time.Duration) {
	if now%tickInterval == 0 {
		s.engine.Tick()
	}
	s.engineMailbox.Drain()
	s.host.Flush()
}

// runPool runs one iteration of the pool's goroutine: as much work as the processor does in a millisecond.
func (s *steward) runPool(now time.Duration) {
	for s.busyUntil <= now {
		if !s.host.Mailbox().Step() {
			break
		}
	}
	if s.busyUntil > now {
		return
	}
	if now%tickInterval == 0 {
		s.pool.Tick()
	}
	s.pool.Flush()
}

// countLeaseGap counts a gap each time the leases of a majority of the voters expire. Gaps before the first lease do not count.
func (s *steward) countLeaseGap(now time.Duration) {
	expired := 0
	for _, voter := range s.voters {
		if voter.promised > 1 && now >= voter.leaseUntil {
			expired++
		}
	}
	isGap := 2*expired > len(s.voters)
	if isGap && !s.isGap && s.hasGrantedLease() {
		s.leaseGaps++
	}
	s.isGap = isGap
}

// hasGrantedLease reports whether any voter has granted a lease so far.
func (s *steward) hasGrantedLease() bool {
	for _, voter := range s.voters {
		if voter.leaseUntil > 0 {
			return true
		}
	}
	return false
}

// scriptedTransport is the transport of the steward's engine. It answers on behalf of the scripted voters.
type scriptedTransport struct{ steward *steward }

// answerLater runs a function on the engine's goroutine after the network delay.
func (t *scriptedTransport) answerLater(run func()) {
	t.steward.after(networkDelay, func() { t.steward.engineMailbox.Post(run) })
}

func (t *scriptedTransport) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	t.steward.after(networkDelay, func() {
		voter := t.steward.voters[disk]
		isGranted := call.Epoch > voter.promised
		if isGranted && !call.PreVote {
			voter.promised = call.Epoch
		}
		answer := wire.PromiseAnswer{Granted: isGranted, Promised: voter.promised, Last: voter.last, Voters: t.steward.state.Voters, Disk: disk}
		t.answerLater(func() { done(answer, nil) })
	})
}

func (t *scriptedTransport) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	t.steward.after(networkDelay, func() {
		voter := t.steward.voters[disk]
		isTaken := call.Epoch == voter.promised && call.Prev == voter.last && !call.Release
		if call.Epoch == voter.promised && !call.Release {
			voter.leaseUntil = t.steward.clock.Monotonic() + replication.DefaultTiming.Lease
		}
		if isTaken && len(call.Changes) > 0 {
			voter.last = call.Changes[len(call.Changes)-1].Position
		}
		answer := wire.AppendAnswer{Taken: isTaken, Promised: voter.promised, Last: voter.last, Disk: disk, DelayUs: 1000, WallMs: t.steward.clock.WallMs()}
		t.answerLater(func() { done(answer, nil) })
	})
}

func (t *scriptedTransport) Fetch(_ string, _ wire.FetchCall, done func(wire.FetchAnswer, error)) {
	t.answerLater(func() { done(wire.FetchAnswer{}, errors.New("not scripted")) })
}

func (t *scriptedTransport) Status(_ string, done func(replication.ReplicaStatus)) {
	own := t.steward.voters["a"]
	done(replication.ReplicaStatus{State: storage.ReplicaState{Last: own.last, Voters: t.steward.state.Voters, Promised: own.promised},
		Promised: own.promised})
}

func (t *scriptedTransport) History(_ string, done func(replication.History)) {
	done(replication.History{Base: t.steward.voters["a"].last})
}

func (t *scriptedTransport) ReadLocal(_ string, done func(wire.Snapshot, error)) {
	state := t.steward.state
	state.Last = t.steward.voters["a"].last
	t.answerLater(func() { done(state, nil) })
}

func (t *scriptedTransport) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	t.Append("a", call, done)
}

// testProxy simulates a local proxy. It calls the pool as often as a real one until the new leader has registered its executor.
type testProxy struct {
	steward    *steward
	number     int
	fence      uint64
	listNumber uint64
	calls      int
	isFenced   bool
}

const (
	callTimeout   = 1800 * time.Millisecond
	retryInterval = 300 * time.Millisecond
)

// call sends an exchange. It retries after retryInterval if the pool is not open or does not answer within callTimeout.
func (p *testProxy) call() {
	isFinished := false
	finish := func(then func()) {
		if !isFinished {
			isFinished = true
			then()
		}
	}
	p.calls++
	p.steward.after(callTimeout, func() { finish(func() { p.steward.after(retryInterval, p.call) }) })
	name := fmt.Sprintf("i-%04d", p.number)
	exchangeCall := &wire.ExchangeCall{Key: key, Executor: name, Proxy: "side-" + name, Capacity: wire.Capacity{CPU: 4000, Memory: 4000}, Fence: p.fence, ListNumber: p.listNumber}
	hasFence := p.fence > 0
	p.post(func() {
		if !p.steward.pool.IsOpen() {
			p.steward.after(networkDelay, func() { finish(func() { p.steward.after(retryInterval, p.call) }) })
			return
		}
		p.steward.addBusyTime(p.steward.costs.exchange)
		p.steward.pool.Exchange(exchangeCall, func(answer wire.ExchangeAnswer) {
			p.steward.after(networkDelay, func() { finish(func() { p.handleAnswer(answer, hasFence) }) })
		})
	})
}

// post posts a function to the pool's mailbox and tries again later while the mailbox is full.
func (p *testProxy) post(run func()) {
	if !p.steward.host.Mailbox().TryPost(run) {
		p.steward.after(5*time.Millisecond, func() { p.post(run) })
	}
}

// handleAnswer calls the pool again with the fence of the answer, until an answer confirms the fence that the proxy has sent.
func (p *testProxy) handleAnswer(answer wire.ExchangeAnswer, hasFence bool) {
	if hasFence && !answer.NotLeader && answer.Fence == p.fence {
		p.isFenced = true
		return
	}
	p.fence, p.listNumber = answer.Fence, answer.WantedList
	p.steward.after(networkDelay, p.call)
}

// runUntilFenced runs until the new leader has registered all executors, and returns the elapsed time, or the limit if they are not all
// registered by then.
func (s *steward) runUntilFenced(proxies []*testProxy, limit time.Duration) time.Duration {
	start := s.clock.Monotonic()
	for s.clock.Monotonic()-start < limit {
		s.run(10 * time.Millisecond)
		fenced := 0
		for _, proxy := range proxies {
			if proxy.isFenced {
				fenced++
			}
		}
		if fenced == len(proxies) {
			return s.clock.Monotonic() - start
		}
	}
	return limit
}

// startProxies starts proxies whose first calls are spread over 300 ms.
func startProxies(s *steward, count int) []*testProxy {
	var all []*testProxy
	for number := range count {
		proxy := &testProxy{steward: s, number: number}
		all = append(all, proxy)
		s.after(time.Duration(number%300)*time.Millisecond, proxy.call)
	}
	return all
}

// newJobRecords returns the records of count jobs with four tasks each.
func newJobRecords(count int) []wire.Op {
	var pairs []wire.Op
	for number := range count {
		id := fmt.Sprintf("%016x", number)
		spec := `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":8000,"estimated-ms":200}]}`
		pairs = append(pairs, wire.Op{Name: "j/" + id, Value: []byte(`{"entry":"q","terms":{},"accepted":1,"spec":` + spec + `}`)})
	}
	return pairs
}
