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
	key       = "pool/s"
	transit   = 2 * time.Millisecond
	tickEvery = 50 * time.Millisecond
)

// costs is the time that a slow processor needs for the pool's work.
type costs struct {
	record   time.Duration
	exchange time.Duration
}

// steward is a candidate with its pool on a slow processor, beside scripted voters that grant all they may.
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
	openings      int
	// busyUntil is when the pool's goroutine is free again.
	busyUntil time.Duration
	// gaps counts the times that a majority of the voters would have promised another candidate.
	gaps  int
	isGap bool
}

type event struct {
	due time.Duration
	run func()
}

// voter is a disk with its steward: what it holds, and until when it promises nobody else.
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
	s.engine = replication.NewEngine(key, "a", "one", s.clock, &links{s}, s.host, s.members, replication.WithMachineLosses(2))
	return s
}

// slowPool needs a time to load, as long as there are records.
type slowPool struct {
	*scheduler.Pool
	steward *steward
}

func (p *slowPool) Open(leadership scheduler.Leadership, pairs []wire.Op) {
	p.steward.openings++
	p.steward.spend(time.Duration(len(pairs)) * p.steward.costs.record)
	p.Pool.Open(leadership, pairs)
}

func (s *steward) members() []wire.Member {
	var all []wire.Member
	for _, disk := range s.state.Voters.Current {
		all = append(all, wire.Member{Name: disk, Role: "steward", Disk: disk, State: wire.StateAlive})
	}
	return all
}

func (s *steward) spend(length time.Duration) {
	s.busyUntil = max(s.busyUntil, s.clock.Monotonic()) + length
}

func (s *steward) after(wait time.Duration, run func()) {
	s.events = append(s.events, event{s.clock.Monotonic() + wait, run})
}

// run lets time pass in steps of a millisecond.
func (s *steward) run(length time.Duration) {
	for range length / time.Millisecond {
		s.clock.Advance(time.Millisecond)
		now := s.clock.Monotonic()
		due := s.events
		s.events = nil
		for _, event := range due {
			if event.due > now {
				s.events = append(s.events, event)
				continue
			}
			event.run()
		}
		s.runEngine(now)
		s.runPool(now)
		s.noteGap(now)
	}
}

// runEngine is a turn of the engine's goroutine.
func (s *steward) runEngine(now time.Duration) {
	if now%tickEvery == 0 {
		s.engine.Tick()
	}
	s.engineMailbox.Drain()
	s.host.Flush()
}

// runPool is a turn of the pool's goroutine: as much as the processor does in a millisecond.
func (s *steward) runPool(now time.Duration) {
	for s.busyUntil <= now {
		if !s.host.Mailbox().Step() {
			break
		}
	}
	if s.busyUntil > now {
		return
	}
	if now%tickEvery == 0 {
		s.pool.Tick()
	}
	s.pool.Flush()
}

func (s *steward) noteGap(now time.Duration) {
	free := 0
	for _, voter := range s.voters {
		if voter.promised > 1 && now >= voter.leaseUntil {
			free++
		}
	}
	isGap := 2*free > len(s.voters)
	if isGap && !s.isGap && s.hasLed() {
		s.gaps++
	}
	s.isGap = isGap
}

// hasLed tells whether any voter has granted a lease so far.
func (s *steward) hasLed() bool {
	for _, voter := range s.voters {
		if voter.leaseUntil > 0 {
			return true
		}
	}
	return false
}

// links are those of the steward's engine to the scripted voters.
type links struct{ s *steward }

func (l *links) back(run func()) { l.s.after(transit, func() { l.s.engineMailbox.Post(run) }) }

func (l *links) Promise(disk string, call wire.PromiseCall, done func(wire.PromiseAnswer, error)) {
	l.s.after(transit, func() {
		voter := l.s.voters[disk]
		isGranted := call.Epoch > voter.promised
		if isGranted && !call.PreVote {
			voter.promised = call.Epoch
		}
		answer := wire.PromiseAnswer{Granted: isGranted, Promised: voter.promised, Last: voter.last, Voters: l.s.state.Voters, Disk: disk}
		l.back(func() { done(answer, nil) })
	})
}

func (l *links) Append(disk string, call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.s.after(transit, func() {
		voter := l.s.voters[disk]
		isTaken := call.Epoch == voter.promised && call.Prev == voter.last && !call.Release
		if call.Epoch == voter.promised && !call.Release {
			voter.leaseUntil = l.s.clock.Monotonic() + replication.DefaultTiming.Lease
		}
		if isTaken && len(call.Changes) > 0 {
			voter.last = call.Changes[len(call.Changes)-1].Position
		}
		answer := wire.AppendAnswer{Taken: isTaken, Promised: voter.promised, Last: voter.last, Disk: disk, DelayUs: 1000, WallMs: l.s.clock.WallMs()}
		l.back(func() { done(answer, nil) })
	})
}

func (l *links) Fetch(_ string, _ wire.FetchCall, done func(wire.FetchAnswer, error)) {
	l.back(func() { done(wire.FetchAnswer{}, errors.New("not scripted")) })
}

func (l *links) Status(_ string, done func(replication.ReplicaStatus)) {
	own := l.s.voters["a"]
	done(replication.ReplicaStatus{State: storage.ReplicaState{Last: own.last, Voters: l.s.state.Voters, Promised: own.promised},
		Promised: own.promised})
}

func (l *links) History(_ string, done func(replication.History)) {
	done(replication.History{Base: l.s.voters["a"].last})
}

func (l *links) ReadLocal(_ string, done func(wire.Snapshot, error)) {
	state := l.s.state
	state.Last = l.s.voters["a"].last
	l.back(func() { done(state, nil) })
}

func (l *links) InstallLocal(call wire.AppendCall, done func(wire.AppendAnswer, error)) {
	l.Append("a", call, done)
}

// testProxy is a local proxy that calls until the new leader knows its executor, as often as the real one does.
type testProxy struct {
	s          *steward
	number     int
	fence      uint64
	listNumber uint64
	calls      int
	isFenced   bool
}

const (
	callLimit   = 1800 * time.Millisecond
	failedPause = 300 * time.Millisecond
)

func (p *testProxy) call() {
	isOver := false
	finish := func(then func()) {
		if !isOver {
			isOver = true
			then()
		}
	}
	p.calls++
	p.s.after(callLimit, func() { finish(func() { p.s.after(failedPause, p.call) }) })
	name := fmt.Sprintf("i-%04d", p.number)
	ask := &wire.ExchangeCall{Key: key, Executor: name, Proxy: "side-" + name, Capacity: wire.Capacity{CPU: 4000, Memory: 4000}, Fence: p.fence, ListNumber: p.listNumber}
	isKnown := p.fence > 0
	p.post(func() {
		if !p.s.pool.IsOpen() {
			p.s.after(transit, func() { finish(func() { p.s.after(failedPause, p.call) }) })
			return
		}
		p.s.spend(p.s.costs.exchange)
		p.s.pool.Exchange(ask, func(answer wire.ExchangeAnswer) {
			p.s.after(transit, func() { finish(func() { p.take(answer, isKnown) }) })
		})
	})
}

func (p *testProxy) post(run func()) {
	if !p.s.host.Mailbox().TryPost(run) {
		p.s.after(5*time.Millisecond, func() { p.post(run) })
	}
}

func (p *testProxy) take(answer wire.ExchangeAnswer, isKnown bool) {
	if isKnown && !answer.NotLeader && answer.Fence == p.fence {
		p.isFenced = true
		return
	}
	p.fence, p.listNumber = answer.Fence, answer.WantedList
	p.s.after(transit, p.call)
}

// settled runs until all proxies are known to the new leader, or the limit is reached.
func (s *steward) settled(proxies []*testProxy, limit time.Duration) time.Duration {
	began := s.clock.Monotonic()
	for s.clock.Monotonic()-began < limit {
		s.run(10 * time.Millisecond)
		fenced := 0
		for _, proxy := range proxies {
			if proxy.isFenced {
				fenced++
			}
		}
		if fenced == len(proxies) {
			return s.clock.Monotonic() - began
		}
	}
	return limit
}

func jobsOf(s *steward, count int) []*testProxy {
	var all []*testProxy
	for number := range count {
		proxy := &testProxy{s: s, number: number}
		all = append(all, proxy)
		s.after(time.Duration(number%300)*time.Millisecond, proxy.call)
	}
	return all
}

// jobs are the records of so many jobs of four tasks each.
func jobs(count int) []wire.Op {
	var pairs []wire.Op
	for number := range count {
		id := fmt.Sprintf("%016x", number)
		spec := `{"task-descriptor":"d","step-list":[{"task-count":4,"cpu-units":8000,"estimated-ms":200}]}`
		pairs = append(pairs, wire.Op{Name: "j/" + id, Value: []byte(`{"entry":"q","terms":{},"accepted":1,"spec":` + spec + `}`)})
	}
	return pairs
}
