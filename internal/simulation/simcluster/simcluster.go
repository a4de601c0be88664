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

// Cluster is a whole small system: stewards, proxies, executors and clients.
type Cluster struct {
	Events    *EventQueue
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
	places    []Site
	pool      []scheduler.Option
	grantBy   int64
	acksEarly bool
	hasGossip bool
	// leaderKnown is the last leader that proxies heard of, if they hear of leaders at all.
	leaderKnown *Node
}

// Option changes how a cluster is set up.
type Option func(*Cluster)

// WithPeer lets a cluster run another service beside one that there is: with the same clock, and one judge of what the executors of both do.
func WithPeer(peer *Cluster, service string) Option {
	return func(s *Cluster) {
		s.Events, s.Judge = peer.Events, peer.Judge
		s.serve(service)
	}
}

// serve names the service whose pool the cluster runs.
func (s *Cluster) serve(service string) { s.service, s.keys = service, []string{wire.PoolKey(service)} }

// WithTiming replaces DefaultTiming.
func WithTiming(timing scheduler.Timing) Option { return func(s *Cluster) { s.timing = timing } }

// WithWork decides how long each run takes and how it ends.
func WithWork(work Work) Option { return func(s *Cluster) { s.Work = work } }

// Site is one executor as it should be in the cluster.
type Site struct {
	Machine  string
	Capacity wire.Capacity
	Labels   []string
}

// WithPlaces sets executors that differ; it replaces the even ones.
func WithPlaces(places []Site) Option { return func(s *Cluster) { s.places = places } }

// WithPool passes options on to every pool.
func WithPool(options ...scheduler.Option) Option {
	return func(s *Cluster) { s.pool = append(s.pool, options...) }
}

// WithGrantsBroken makes proxies hold that many times as long as they were granted, to show that the judge sees it.
func WithGrantsBroken(factor int64) Option { return func(s *Cluster) { s.grantBy = factor } }

// WithEarlyAcks makes proxies acknowledge ends to their executors as soon as they report them, to show that the judge sees it.
func WithEarlyAcks() Option { return func(s *Cluster) { s.acksEarly = true } }

// WithGossip tells proxies who leads, as the failure detector does; without it they try one steward after another.
func WithGossip() Option { return func(s *Cluster) { s.hasGossip = true } }

// WithLog gives the simulated processes a logger; without it they log nothing.
func WithLog(log logging.Logger) Option { return func(s *Cluster) { s.log = log } }

// DefaultTiming is that of a deployment with holds of 6 s.
var DefaultTiming = scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
	MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
	StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, ReservedCapacity: scheduler.DefaultReservedCapacity}

func evenWork(string, int64, *Executor) (time.Duration, string) {
	return 200 * time.Millisecond, "done"
}

// New sets up stewards and executors and starts them all.
func New(seed uint64, stewards, executors int, capacity wire.Capacity, wallMs int64, options ...Option) *Cluster {
	s := &Cluster{timing: DefaultTiming, log: logging.Silent(), cut: map[string]bool{}, Work: evenWork, grantBy: 1}
	s.serve("board")
	for _, option := range options {
		option(s)
	}
	if s.Events == nil {
		s.Events = NewEventQueue(wallMs, seed)
		s.Judge = newJudge(s.Events)
	}
	for number := range stewards {
		name := fmt.Sprintf("steward-%d", number+1)
		s.Nodes = append(s.Nodes, &Node{cluster: s, Name: name, disk: NewDisk(s.Events, "disk-"+name, syncTime)})
	}
	if s.places == nil {
		s.places = evenPlaces(executors, capacity)
	}
	for _, where := range s.places {
		executor := &Executor{cluster: s, Machine: where.Machine, Domain: "d", Labels: where.Labels, Capacity: where.Capacity, Speed: 1}
		executor.restart()
		s.Executors = append(s.Executors, executor)
		s.Proxies = append(s.Proxies, &Proxy{cluster: s, executor: executor})
	}
	for _, node := range s.Nodes {
		node.start()
	}
	for _, proxy := range s.Proxies {
		proxy.start()
	}
	if s.hasGossip {
		s.announceLeader()
	}
	return s
}

// gossipTime is how long word of a new leader takes to all proxies.
const gossipTime = 200 * time.Millisecond

// announceLeader stands for the failure detector, which tells proxies who leads.
func (s *Cluster) announceLeader() {
	if leader := s.Leader(); leader != nil {
		s.Events.After(gossipTime, func() { s.leaderKnown = leader })
	}
	s.Events.After(gossipTime/2, s.announceLeader)
}

func evenPlaces(count int, capacity wire.Capacity) []Site {
	var places []Site
	for number := range count {
		places = append(places, Site{Machine: fmt.Sprintf("side-%02d", number+1), Capacity: capacity, Labels: []string{"a", fmt.Sprintf("r%d", number/3+1)}})
	}
	return places
}

func (s *Cluster) initialVoters() []string {
	var disks []string
	for number := range min(3, len(s.Nodes)) {
		disks = append(disks, fmt.Sprintf("disk-steward-%d", number+1))
	}
	return disks
}

// members lists the nodes as failure detection would.
func (s *Cluster) members() []wire.Member {
	var all []wire.Member
	for _, node := range s.Nodes {
		state := wire.StateAlive
		if !node.isUp {
			state = wire.StateGone
		}
		all = append(all, wire.Member{Name: node.Name, Role: "steward", Disk: node.disk.name, State: state, FormerDisks: node.past})
	}
	return all
}

func (s *Cluster) transit() time.Duration {
	return time.Millisecond + time.Duration(s.Events.Draw.IntN(3000))*time.Microsecond
}

func (s *Cluster) copies() int {
	if s.Loss > 0 && s.Events.Draw.Float64() < s.Loss {
		return s.Events.Draw.IntN(3)
	}
	return 1
}

func (s *Cluster) isCut(a, b string) bool { return a != b && (s.cut[a] || s.cut[b]) }

// Run plays on for so long.
func (s *Cluster) Run(length time.Duration) { s.Events.RunUntil(s.Events.Now() + length) }

// Leader is the steward that holds the pool now, if any does.
func (s *Cluster) Leader() *Node {
	index := slices.IndexFunc(s.Nodes, func(node *Node) bool {
		return node.isUp && !node.isFrozen && node.engines[s.keys[0]].IsLeader()
	})
	if index < 0 {
		return nil
	}
	return s.Nodes[index]
}

// Kill takes the power from a steward: what was not synced is lost.
func (s *Cluster) Kill(node *Node) { node.kill() }

// Start starts a steward on the disk that it has.
func (s *Cluster) Start(node *Node) { node.start() }

// Freeze stops a steward from running, or lets it run on; time goes on meanwhile.
func (s *Cluster) Freeze(node *Node, isFrozen bool) { node.isFrozen = isFrozen }

// Stall holds up the disk of a steward, or lets it go on.
func (s *Cluster) Stall(node *Node, isStalled bool) { node.disk.Stall(isStalled) }

// Cut loses all messages from and to the named process, or lets them through again.
func (s *Cluster) Cut(name string, isCut bool) { s.cut[name] = isCut }

// Wipe restarts a steward with an empty disk.
func (s *Cluster) Wipe(node *Node) {
	node.kill()
	node.past = append(node.past, node.disk.name)
	node.disk = NewDisk(s.Events, fmt.Sprintf("disk-%s-%d", node.Name, len(node.past)), syncTime)
	node.start()
}

// KillProxy ends a local proxy; its executor goes on.
func (s *Cluster) KillProxy(proxy *Proxy) { proxy.isUp = false }

// StartProxy starts a local proxy again, with an empty table.
func (s *Cluster) StartProxy(proxy *Proxy) { proxy.start() }

// Crash ends an executor's life; a new one begins a while later.
func (s *Cluster) Crash(executor *Executor, down time.Duration) {
	executor.isUp = false
	s.Judge.crashed(executor)
	s.Events.After(down, executor.restart)
}

// Drain makes an executor announce that it is leaving.
func (s *Cluster) Drain(executor *Executor) { executor.isDraining = true }

// Slow multiplies the length of each new run on an executor; 1 is the normal length.
func (s *Cluster) Slow(executor *Executor, factor float64) { executor.Speed = factor }

// Refuse lets an executor refuse connections, while what runs there goes on.
func (s *Cluster) Refuse(executor *Executor, isRefusing bool) { executor.isRefusing = isRefusing }

// Late makes an executor carry out about half of its calls seconds late, without an answer.
func (s *Cluster) Late(executor *Executor, isLate bool) { executor.isLate = isLate }

// LoseStarts loses a fifth of the answers to starts on an executor, which has begun the runs.
func (s *Cluster) LoseStarts(executor *Executor, isLossy bool) { executor.isLossy = isLossy }

// breakGang ends the other runs of a gang soon after one of them has ended.
func (s *Cluster) breakGang(task string, run int64) {
	_, position := s.Judge.step(task)
	s.Events.After(10*time.Millisecond, func() {
		for _, executor := range s.Executors {
			for _, active := range slices.Clone(executor.active) {
				_, other := s.Judge.step(active.task)
				if active.number == run && other.ID == position.ID && other.Occurrence == position.Occurrence && other.Step == position.Step {
					executor.end(active, "broken")
				}
			}
		}
	})
}

// Ask plays a client: it asks one steward after another until one answers for the pool.
func (s *Cluster) Ask(ask wire.ClientCall, answer func(wire.ClientAnswer)) {
	ask.Key = s.keys[0]
	s.ask(&ask, s.Events.Draw.IntN(len(s.Nodes)), 0, answer)
}

// ask makes a client's call at one node after another until a leader answers.
func (s *Cluster) ask(ask *wire.ClientCall, number, attempt int, answer func(wire.ClientAnswer)) {
	node := s.Nodes[number%len(s.Nodes)]
	client := &addressOnLine{"client", func(run func()) { run() }}
	call(s, client, node.address(), 900*time.Millisecond, func(answer func(wire.ClientAnswer)) {
		pool := node.pools[ask.Key]
		if pool == nil || !pool.IsOpen() {
			answer(wire.ClientAnswer{NotLeader: true})
			return
		}
		commands := map[wire.Verb]func(*wire.ClientCall, func(wire.ClientAnswer)){
			wire.VerbSubmit: pool.Submit, wire.VerbState: pool.State, wire.VerbCancel: pool.Cancel, wire.VerbCount: pool.Count,
			wire.VerbTransfer: pool.Transfer, wire.VerbRollouts: pool.Rollouts}
		commands[ask.Verb](ask, answer)
	}, func(response wire.ClientAnswer, err error) {
		if err == nil && !response.NotLeader {
			answer(response)
			return
		}
		if attempt < 200 {
			s.Events.After(50*time.Millisecond, func() { s.ask(ask, number+1, attempt+1, answer) })
		}
	})
}

// Submit gives a job to the system, and tells the judge what was given.
func (s *Cluster) Submit(id, entry string, body []byte, terms wire.RouteTerms, answer func(wire.ClientAnswer)) error {
	spec, err := jobs.Read(body)
	if err != nil {
		return err
	}
	s.Judge.expect(id, spec, terms.MaxAttempts)
	s.Ask(wire.ClientCall{Verb: wire.VerbSubmit, Route: entry, ID: id, Body: body, Terms: &terms}, func(response wire.ClientAnswer) {
		if response.Status == http.StatusOK {
			s.Judge.jobs[id].isAccepted = true
		}
		answer(response)
	})
	return nil
}

// Heal ends every fault that lasts.
func (s *Cluster) Heal() {
	clear(s.cut)
	for _, node := range s.Nodes {
		s.Freeze(node, false)
		s.Stall(node, false)
		if !node.isUp {
			node.start()
		}
	}
	for _, executor := range s.Executors {
		executor.isLate, executor.isRefusing, executor.isLossy, executor.Speed = false, false, false, 1
	}
	for _, proxy := range s.Proxies {
		if !proxy.isUp {
			proxy.start()
		}
	}
}

// Kept counts what the leader still holds: jobs in its table, pairs on its disk.
func (s *Cluster) Kept() (jobs, pairs int) {
	leader := s.Leader()
	if leader == nil {
		return 0, 0
	}
	waitingJobs, _ := leader.pools[s.keys[0]].Beliefs()
	return len(waitingJobs), len(leader.disk.pairs[s.keys[0]])
}

// StateNow is what the leader's own table says of a job.
func (s *Cluster) StateNow(id string) string { return s.States()[id] }

// States is what the leader's own table says of all jobs.
func (s *Cluster) States() map[string]string {
	states := map[string]string{}
	if leader := s.Leader(); leader != nil {
		jobs, _ := leader.pools[s.keys[0]].Beliefs()
		for _, belief := range jobs {
			states[belief.ID] = belief.State
		}
	}
	return states
}
