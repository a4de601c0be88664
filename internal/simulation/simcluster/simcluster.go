package simcluster

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/logging"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/scheduler"
)

// Stage is a whole small system: stewards, proxies, executors and clients.
type Stage struct {
	Line      *Line
	Nodes     []*Node
	Proxies   []*Proxy
	Executors []*Executor
	Judge     *Judge
	Work      Work
	Loss      float64
	Polls     int
	Reports   int
	Refusals  int
	service   string
	keys      []string
	timing    scheduler.Timing
	log       logging.Logger
	cut       map[string]bool
	places    []Place
	pool      []scheduler.Option
	grantBy   int64
	hasGossip bool
	// heardOwner is the last leader that proxies heard of, if they hear of leaders at all.
	heardOwner *Node
}

// Option changes how a stage is set up.
type Option func(*Stage)

// WithTiming replaces DefaultTiming.
func WithTiming(timing scheduler.Timing) Option { return func(s *Stage) { s.timing = timing } }

// WithWork decides how long each run takes and how it ends.
func WithWork(work Work) Option { return func(s *Stage) { s.Work = work } }

// Place is one executor as it should stand on the stage.
type Place struct {
	Machine string
	Room    wire.Capacity
	Labels  []string
}

// WithPlaces sets executors that differ; it replaces the even ones.
func WithPlaces(places []Place) Option { return func(s *Stage) { s.places = places } }

// WithPool passes options on to every pool.
func WithPool(options ...scheduler.Option) Option {
	return func(s *Stage) { s.pool = append(s.pool, options...) }
}

// WithGrantsBroken makes proxies hold that many times as long as they were granted, to show that the judge sees it.
func WithGrantsBroken(factor int64) Option { return func(s *Stage) { s.grantBy = factor } }

// WithGossip tells proxies who leads, as the failure detector does; without it they try one steward after another.
func WithGossip() Option { return func(s *Stage) { s.hasGossip = true } }

// WithLog gives the simulated processes a logger; without it they log nothing.
func WithLog(log logging.Logger) Option { return func(s *Stage) { s.log = log } }

// DefaultTiming is that of a deployment with holds of 6 s.
var DefaultTiming = scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
	MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
	StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, ReservedCapacity: scheduler.DefaultReservedCapacity}

func evenWork(string, int64, *Executor) (time.Duration, string) {
	return 200 * time.Millisecond, "done"
}

// New sets up stewards and executors and starts them all.
func New(seed uint64, stewards, executors int, room wire.Capacity, wallMs int64, options ...Option) *Stage {
	line := NewLine(wallMs, seed)
	s := &Stage{Line: line, Judge: newJudge(line), service: "board", keys: []string{"pool/board"}, timing: DefaultTiming,
		log: logging.Silent(), cut: map[string]bool{}, Work: evenWork, grantBy: 1}
	for _, option := range options {
		option(s)
	}
	for number := range stewards {
		name := fmt.Sprintf("steward-%d", number+1)
		s.Nodes = append(s.Nodes, &Node{stage: s, Name: name, disk: NewDisk(line, "disk-"+name, syncTime)})
	}
	if s.places == nil {
		s.places = evenPlaces(executors, room)
	}
	for _, where := range s.places {
		one := &Executor{stage: s, Machine: where.Machine, Domain: "d", Labels: where.Labels, Room: where.Room, Speed: 1}
		one.restart()
		s.Executors = append(s.Executors, one)
		s.Proxies = append(s.Proxies, &Proxy{stage: s, executor: one})
	}
	for _, one := range s.Nodes {
		one.start()
	}
	for _, one := range s.Proxies {
		one.start()
	}
	if s.hasGossip {
		s.spreadOwner()
	}
	return s
}

// gossipTime is how long word of a new leader takes to all proxies.
const gossipTime = 200 * time.Millisecond

// spreadOwner stands for the failure detector, which tells proxies who leads.
func (s *Stage) spreadOwner() {
	if owner := s.Owner(); owner != nil {
		s.Line.After(gossipTime, func() { s.heardOwner = owner })
	}
	s.Line.After(gossipTime/2, s.spreadOwner)
}

func evenPlaces(count int, room wire.Capacity) []Place {
	var places []Place
	for number := range count {
		places = append(places, Place{Machine: fmt.Sprintf("side-%02d", number+1), Room: room, Labels: []string{"a", fmt.Sprintf("r%d", number/3+1)}})
	}
	return places
}

func (s *Stage) birth() []string {
	var disks []string
	for number := range min(3, len(s.Nodes)) {
		disks = append(disks, fmt.Sprintf("disk-steward-%d", number+1))
	}
	return disks
}

func (s *Stage) members() []wire.Member {
	var all []wire.Member
	for _, one := range s.Nodes {
		state := wire.StateAlive
		if !one.isUp {
			state = wire.StateGone
		}
		all = append(all, wire.Member{Name: one.Name, Role: "steward", Disk: one.disk.name, State: state, FormerDisks: one.past})
	}
	return all
}

func (s *Stage) transit() time.Duration {
	return time.Millisecond + time.Duration(s.Line.Draw.IntN(3000))*time.Microsecond
}

func (s *Stage) copies() int {
	if s.Loss > 0 && s.Line.Draw.Float64() < s.Loss {
		return s.Line.Draw.IntN(3)
	}
	return 1
}

func (s *Stage) isCut(one, two string) bool { return one != two && (s.cut[one] || s.cut[two]) }

// Run plays on for so long.
func (s *Stage) Run(length time.Duration) { s.Line.RunUntil(s.Line.Now() + length) }

// Owner is the steward that holds the pool now, if any does.
func (s *Stage) Owner() *Node {
	place := slices.IndexFunc(s.Nodes, func(one *Node) bool {
		return one.isUp && !one.isFrozen && one.engines[s.keys[0]].IsLeader()
	})
	if place < 0 {
		return nil
	}
	return s.Nodes[place]
}

// Kill takes the power from a steward: what was not synced is lost.
func (s *Stage) Kill(one *Node) { one.kill() }

// Start starts a steward on the disk that it has.
func (s *Stage) Start(one *Node) { one.start() }

// Freeze stops a steward from running, or lets it run on; time goes on meanwhile.
func (s *Stage) Freeze(one *Node, isFrozen bool) { one.isFrozen = isFrozen }

// Stall holds up the disk of a steward, or lets it go on.
func (s *Stage) Stall(one *Node, isStalled bool) { one.disk.Stall(isStalled) }

// Cut loses all messages from and to the named process, or lets them through again.
func (s *Stage) Cut(name string, isCut bool) { s.cut[name] = isCut }

// Wipe restarts a steward with an empty disk.
func (s *Stage) Wipe(one *Node) {
	one.kill()
	one.past = append(one.past, one.disk.name)
	one.disk = NewDisk(s.Line, fmt.Sprintf("disk-%s-%d", one.Name, len(one.past)), syncTime)
	one.start()
}

// KillProxy ends a local proxy; its executor goes on.
func (s *Stage) KillProxy(one *Proxy) { one.isUp = false }

// StartProxy starts a local proxy again, with an empty table.
func (s *Stage) StartProxy(one *Proxy) { one.start() }

// Crash ends an executor's life; a new one begins a while later.
func (s *Stage) Crash(one *Executor, down time.Duration) {
	one.isUp = false
	s.Judge.crashed(one)
	s.Line.After(down, one.restart)
}

// Drain makes an executor announce that it is leaving.
func (s *Stage) Drain(one *Executor) { one.isDrain = true }

// Slow multiplies the length of each new run on an executor; 1 is the normal length.
func (s *Stage) Slow(one *Executor, factor float64) { one.Speed = factor }

// Refuse lets an executor refuse connections, while what runs there goes on.
func (s *Stage) Refuse(one *Executor, isRefusing bool) { one.isRefusing = isRefusing }

// Late makes an executor carry out about half of its calls seconds late, without an answer.
func (s *Stage) Late(one *Executor, isLate bool) { one.isLate = isLate }

// LoseStarts loses a fifth of the answers to starts on an executor, which has begun the runs.
func (s *Stage) LoseStarts(one *Executor, isLossy bool) { one.isLossy = isLossy }

func (s *Stage) breakGang(task string, run int64) {
	_, place := s.Judge.step(task)
	s.Line.After(10*time.Millisecond, func() {
		for _, executor := range s.Executors {
			for _, one := range slices.Clone(executor.active) {
				_, other := s.Judge.step(one.task)
				if one.number == run && other.ID == place.ID && other.Time == place.Time && other.Step == place.Step {
					executor.end(one, "broken")
				}
			}
		}
	})
}

// Ask plays a client: it asks one steward after another until one answers for the pool.
func (s *Stage) Ask(ask wire.ClientCall, answer func(wire.ClientAnswer)) {
	ask.Key = s.keys[0]
	s.ask(&ask, s.Line.Draw.IntN(len(s.Nodes)), 0, answer)
}

func (s *Stage) ask(ask *wire.ClientCall, number, try int, answer func(wire.ClientAnswer)) {
	node := s.Nodes[number%len(s.Nodes)]
	client := &place{"client", func(run func()) { run() }}
	call(s, client, node.place(), 900*time.Millisecond, func(told func(wire.ClientAnswer)) {
		pool := node.pools[ask.Key]
		if pool == nil || !pool.IsOpen() {
			told(wire.ClientAnswer{NotLeader: true})
			return
		}
		commands := map[wire.Verb]func(*wire.ClientCall, func(wire.ClientAnswer)){
			wire.VerbSubmit: pool.Submit, wire.VerbState: pool.State, wire.VerbCancel: pool.Cancel, wire.VerbCount: pool.Count}
		commands[ask.Verb](ask, told)
	}, func(told wire.ClientAnswer, err error) {
		if err == nil && !told.NotLeader {
			answer(told)
			return
		}
		if try < 200 {
			s.Line.After(50*time.Millisecond, func() { s.ask(ask, number+1, try+1, answer) })
		}
	})
}

// HandIn gives a job to the system, and tells the judge what was given.
func (s *Stage) HandIn(id, entry string, body []byte, terms wire.RouteTerms, answer func(wire.ClientAnswer)) error {
	spec, err := jobs.Read(body)
	if err != nil {
		return err
	}
	s.Judge.expect(id, spec, terms.MaxAttempts)
	s.Ask(wire.ClientCall{Verb: wire.VerbSubmit, Route: entry, ID: id, Body: body, Terms: &terms}, func(told wire.ClientAnswer) {
		if told.Status == http.StatusOK {
			s.Judge.jobs[id].isAccepted = true
		}
		answer(told)
	})
	return nil
}

// Mend ends every fault that lasts.
func (s *Stage) Mend() {
	clear(s.cut)
	for _, one := range s.Nodes {
		s.Freeze(one, false)
		s.Stall(one, false)
		if !one.isUp {
			one.start()
		}
	}
	for _, one := range s.Executors {
		one.isLate, one.isRefusing, one.isLossy, one.Speed = false, false, false, 1
	}
	for _, one := range s.Proxies {
		if !one.isUp {
			one.start()
		}
	}
}

// Kept counts what the owner still holds: jobs in its table, pairs on its disk.
func (s *Stage) Kept() (jobs, pairs int) {
	owner := s.Owner()
	if owner == nil {
		return 0, 0
	}
	held, _ := owner.pools[s.keys[0]].Beliefs()
	return len(held), len(owner.disk.pairs[s.keys[0]])
}

// StateNow is what the owner's own table says of a job.
func (s *Stage) StateNow(id string) string { return s.States()[id] }

// States is what the owner's own table says of all jobs.
func (s *Stage) States() map[string]string {
	states := map[string]string{}
	if owner := s.Owner(); owner != nil {
		jobs, _ := owner.pools[s.keys[0]].Beliefs()
		for _, one := range jobs {
			states[one.ID] = one.State
		}
	}
	return states
}
