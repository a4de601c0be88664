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

// Cluster is a small simulated system of one service: stewards, local proxies, executors and clients. With WithKeys, the stewards also lead
// keys other than the pool's. Loss is the chance that a
// call arrives 0, 1 or 2 times at random instead of once. Polls counts how often proxies polled the leader, Reports how often they
// reported to it (both with attempts that failed), and Refusals the connections that executors refused.
type Cluster struct {
	Events            *EventQueue
	Nodes             []*Node
	Proxies           []*Proxy
	Executors         []*Executor
	Checker           *Checker
	Work              Work
	Loss              float64
	Polls             int
	Reports           int
	Refusals          int
	service           string
	keys              []string
	timing            scheduler.Timing
	log               logging.Logger
	cut               map[string]bool
	sites             []Site
	poolOptions       []scheduler.Option
	grantFactor       int64
	acknowledgesEarly bool
	answerFault       AnswerFault
	hasGossip         bool
	// knownLeader is the leader that was last announced to the proxies. It is nil without WithGossip.
	knownLeader *Node
}

// Option changes the setup of a cluster.
type Option func(*Cluster)

// WithPeer sets up a cluster for another service beside an existing cluster. Both share the event queue and the checker, so New ignores
// its seed and its wallMs.
func WithPeer(peer *Cluster, service string) Option {
	return func(s *Cluster) {
		s.Events, s.Checker = peer.Events, peer.Checker
		s.serve(service)
	}
}

// serve sets the service whose pool the cluster runs.
func (s *Cluster) serve(service string) { s.service, s.keys = service, []string{wire.PoolKey(service)} }

// WithKeys adds keys other than the pool's: the configuration, the lots, and parts of the tenant count and of the coordination.
func WithKeys(keys ...string) Option {
	return func(s *Cluster) { s.keys = append(s.keys, keys...) }
}

// WithTiming replaces DefaultTiming.
func WithTiming(timing scheduler.Timing) Option { return func(s *Cluster) { s.timing = timing } }

// WithWork sets the function that decides how long each run takes and how it ends. Without it, each run succeeds after 200 ms.
func WithWork(work Work) Option { return func(s *Cluster) { s.Work = work } }

// Site is the description of one executor of a cluster.
type Site struct {
	Machine  string
	Capacity wire.Capacity
	Labels   []string
}

// WithSites sets the executors one by one, in place of the number of equal executors given to New.
func WithSites(sites []Site) Option { return func(s *Cluster) { s.sites = sites } }

// WithPoolOptions passes options to every pool.
func WithPoolOptions(options ...scheduler.Option) Option {
	return func(s *Cluster) { s.poolOptions = append(s.poolOptions, options...) }
}

// WithGrantFactor injects a fault: proxies hold leases for factor times the granted time. Tests use it to prove that Checker finds this.
func WithGrantFactor(factor int64) Option { return func(s *Cluster) { s.grantFactor = factor } }

// WithEarlyAcks injects a fault: proxies acknowledge ends to their executors as soon as they report them, before the leader answers.
// Tests use it to prove that Checker finds this.
func WithEarlyAcks() Option { return func(s *Cluster) { s.acknowledgesEarly = true } }

// WithGossip announces the leader to proxies, as the failure detector does. Without it, proxies call the stewards in turn until the leader
// answers.
func WithGossip() Option { return func(s *Cluster) { s.hasGossip = true } }

// WithLog sets the logger of the simulated processes. Without it, they log nothing.
func WithLog(log logging.Logger) Option { return func(s *Cluster) { s.log = log } }

// DefaultTiming is the timing of a deployment whose longest hold is 6 s.
var DefaultTiming = scheduler.Timing{Grant: 4800 * time.Millisecond, MaxHold: 6 * time.Second, Resend: 200 * time.Millisecond,
	MaxResend: time.Second, HoldStale: 2500 * time.Millisecond, SilentAfter: 900 * time.Millisecond,
	StopTimeout: 400 * time.Millisecond, StuckAfter: 2 * time.Second, KeepEnded: 150 * time.Second, ReservedCapacity: scheduler.DefaultReservedCapacity}

func uniformWork(string, int64, *Executor) (time.Duration, string) {
	return 200 * time.Millisecond, "done"
}

// New creates and starts a cluster of stewards and of executors of equal capacity. Its wall clock starts at wallMs. The arguments executors
// and capacity are not used if WithSites is given.
func New(seed uint64, stewards, executors int, capacity wire.Capacity, wallMs int64, options ...Option) *Cluster {
	s := &Cluster{timing: DefaultTiming, log: logging.Silent(), cut: map[string]bool{}, Work: uniformWork, grantFactor: 1}
	s.serve("board")
	for _, option := range options {
		option(s)
	}
	if s.Events == nil {
		s.Events = NewEventQueue(wallMs, seed)
		s.Checker = newChecker(s.Events)
	}
	for number := range stewards {
		name := fmt.Sprintf("steward-%d", number+1)
		s.Nodes = append(s.Nodes, &Node{cluster: s, Name: name, disk: NewDisk(s.Events, "disk-"+name, syncTime)})
	}
	if s.sites == nil {
		s.sites = uniformSites(executors, capacity)
	}
	for _, site := range s.sites {
		executor := &Executor{cluster: s, Machine: site.Machine, Domain: "d", Labels: site.Labels, Capacity: site.Capacity, Speed: 1}
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

// gossipDelay is how long the announcement of a new leader takes to reach all proxies.
const gossipDelay = 200 * time.Millisecond

// announceLeader simulates the failure detector: it announces the current leader to the proxies every gossipDelay/2.
func (s *Cluster) announceLeader() {
	if leader := s.Leader(); leader != nil {
		s.Events.After(gossipDelay, func() { s.knownLeader = leader })
	}
	s.Events.After(gossipDelay/2, s.announceLeader)
}

func uniformSites(count int, capacity wire.Capacity) []Site {
	var sites []Site
	for number := range count {
		sites = append(sites, Site{Machine: fmt.Sprintf("side-%02d", number+1), Capacity: capacity, Labels: []string{"a", fmt.Sprintf("r%d", number/3+1)}})
	}
	return sites
}

func (s *Cluster) initialVoters() []string {
	var disks []string
	for number := range min(3, len(s.Nodes)) {
		disks = append(disks, fmt.Sprintf("disk-steward-%d", number+1))
	}
	return disks
}

// members lists the nodes as the failure detector would.
func (s *Cluster) members() []wire.Member {
	var all []wire.Member
	for _, node := range s.Nodes {
		state := wire.StateAlive
		if !node.isUp {
			state = wire.StateGone
		}
		all = append(all, wire.Member{Name: node.Name, Role: "steward", Disk: node.disk.name, State: state, FormerDisks: node.formerDisks})
	}
	return all
}

// drawTransitTime draws the time that a message is in transit, 1 to 4 ms.
func (s *Cluster) drawTransitTime() time.Duration {
	return time.Millisecond + time.Duration(s.Events.Draw.IntN(3000))*time.Microsecond
}

// drawCopies draws how many copies of a message arrive: 1, or with the chance Loss 0 to 2.
func (s *Cluster) drawCopies() int {
	if s.Loss > 0 && s.Events.Draw.Float64() < s.Loss {
		return s.Events.Draw.IntN(3)
	}
	return 1
}

func (s *Cluster) isCut(a, b string) bool { return a != b && (s.cut[a] || s.cut[b]) }

// Run continues the simulation for a duration of simulated time.
func (s *Cluster) Run(duration time.Duration) { s.Events.RunUntil(s.Events.Now() + duration) }

// Leader returns the first running steward that leads the pool by its own view, or nil. A frozen steward does not count.
func (s *Cluster) Leader() *Node {
	index := slices.IndexFunc(s.Nodes, func(node *Node) bool {
		return node.isUp && !node.isFrozen && node.runners[s.keys[0]].engine.IsLeader()
	})
	if index < 0 {
		return nil
	}
	return s.Nodes[index]
}

// HasLeaders reports whether each key has a running leader, by its own view.
func (s *Cluster) HasLeaders() bool {
	return !slices.ContainsFunc(s.keys, func(key string) bool {
		return !slices.ContainsFunc(s.Nodes, func(node *Node) bool { return node.isUp && node.runners[key].engine.IsLeader() })
	})
}

// Kill cuts the power of a steward. Writes that were not synced are lost.
func (s *Cluster) Kill(node *Node) { node.kill() }

// Start starts a steward on its existing disk.
func (s *Cluster) Start(node *Node) { node.start() }

// Freeze suspends the process of a steward, or resumes it. Simulated time passes meanwhile.
func (s *Cluster) Freeze(node *Node, isFrozen bool) { node.isFrozen = isFrozen }

// Stall makes the disk of a steward hang, or resumes it.
func (s *Cluster) Stall(node *Node, isStalled bool) { node.disk.Stall(isStalled) }

// Cut disconnects the named node or machine from the network, or connects it again. Messages from or to it that would arrive
// meanwhile are lost. A proxy and its executor are on one machine and stay connected.
func (s *Cluster) Cut(name string, isCut bool) { s.cut[name] = isCut }

// Wipe restarts a steward with a new, empty disk.
func (s *Cluster) Wipe(node *Node) {
	node.kill()
	node.formerDisks = append(node.formerDisks, node.disk.name)
	node.disk = NewDisk(s.Events, fmt.Sprintf("disk-%s-%d", node.Name, len(node.formerDisks)), syncTime)
	node.start()
}

// KillProxy ends the process of a local proxy. Its executor continues.
func (s *Cluster) KillProxy(proxy *Proxy) { proxy.isUp = false }

// StartProxy starts a local proxy again, with an empty table.
func (s *Cluster) StartProxy(proxy *Proxy) { proxy.start() }

// Crash ends the process of an executor. It restarts as a new incarnation after the time down.
func (s *Cluster) Crash(executor *Executor, down time.Duration) {
	executor.isUp = false
	s.Checker.handleCrash(executor)
	s.Events.After(down, executor.restart)
}

// Drain makes an executor report the state draining until it restarts.
func (s *Cluster) Drain(executor *Executor) { executor.isDraining = true }

// Slow sets the factor by which new runs on an executor take longer; 1 is the normal length.
func (s *Cluster) Slow(executor *Executor, factor float64) { executor.Speed = factor }

// RefuseConnections makes an executor refuse connections, or accept them again. Its runs continue.
func (s *Cluster) RefuseConnections(executor *Executor, isRefusing bool) {
	executor.isRefusing = isRefusing
}

// DelayCalls makes an executor carry out about half of its calls seconds late and without an answer.
func (s *Cluster) DelayCalls(executor *Executor, isDelaying bool) { executor.delaysCalls = isDelaying }

// LoseStartAnswers loses a fifth of the answers of an executor to starts. The starts are carried out all the same.
func (s *Cluster) LoseStartAnswers(executor *Executor, isLosing bool) {
	executor.losesStartAnswers = isLosing
}

// breakGang ends the other runs of a gang that have the same run number, with the outcome broken, 10 ms after the given one has ended.
func (s *Cluster) breakGang(task string, run int64) {
	_, position := s.Checker.step(task)
	s.Events.After(10*time.Millisecond, func() {
		for _, executor := range s.Executors {
			for _, active := range slices.Clone(executor.active) {
				_, other := s.Checker.step(active.task)
				if active.number == run && other.ID == position.ID && other.Occurrence == position.Occurrence && other.Step == position.Step {
					executor.endRun(active, "broken")
				}
			}
		}
	})
}

// CallLeader makes a client's call: it calls the stewards in turn, from a random one, until the leader of the call's key answers, by default
// of the pool. If no leader answers within maxCallRetries retries, answer is not called.
func (s *Cluster) CallLeader(request wire.ClientCall, answer func(wire.ClientAnswer)) {
	if request.Key == "" {
		request.Key = s.keys[0]
	}
	s.callNode(&request, s.Events.Draw.IntN(len(s.Nodes)), 0, answer)
}

// CallLeaderOnce makes a client's call to the present leader of the call's key, once. Without a leader or an answer, answer is not called.
func (s *Cluster) CallLeaderOnce(request wire.ClientCall, answer func(wire.ClientAnswer)) {
	index := slices.IndexFunc(s.Nodes, func(node *Node) bool { return node.isUp && node.runners[request.Key].engine.IsLeader() })
	if index >= 0 {
		s.callNode(&request, index, maxCallRetries, answer)
	}
}

// maxCallRetries is how often a client's call is tried again.
const maxCallRetries = 200

// callNode makes a client's call to the node at an index (modulo their number), and 50 ms after a failure to the next one. attempt is the
// number of earlier tries, at most maxCallRetries.
func (s *Cluster) callNode(request *wire.ClientCall, index, attempt int, answer func(wire.ClientAnswer)) {
	node := s.Nodes[index%len(s.Nodes)]
	client := &simEndpoint{"client", func(run func()) { run() }}
	call(s, client, node.endpoint(), 900*time.Millisecond, func(respond func(wire.ClientAnswer)) {
		runner := node.runners[request.Key]
		if runner == nil || !runner.machine.IsOpen() {
			respond(wire.ClientAnswer{NotLeader: true})
			return
		}
		runner.machine.execute(request, respond)
	}, func(response wire.ClientAnswer, err error) {
		if err == nil && !response.NotLeader {
			answer(response)
			return
		}
		if attempt < maxCallRetries {
			s.Events.After(50*time.Millisecond, func() { s.callNode(request, index+1, attempt+1, answer) })
		}
	})
}

// Submit submits a job as a client, and registers it with the checker. It returns an error if the body can't be read as a job.
func (s *Cluster) Submit(id, route string, body []byte, terms wire.RouteTerms, answer func(wire.ClientAnswer)) error {
	spec, err := jobs.Read(body)
	if err != nil {
		return err
	}
	s.Checker.expectJob(id, spec, terms.MaxAttempts)
	s.CallLeader(wire.ClientCall{Verb: wire.VerbSubmit, Route: route, ID: id, Body: body, Terms: &terms}, func(response wire.ClientAnswer) {
		if response.Status == http.StatusOK {
			s.Checker.jobs[id].isAccepted = true
		}
		answer(response)
	})
	return nil
}

// Heal ends all lasting faults except draining and the loss of messages (Loss), and starts the stewards and proxies that are down. Crashed
// executors restart by themselves.
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
		executor.delaysCalls, executor.isRefusing, executor.losesStartAnswers, executor.Speed = false, false, false, 1
	}
	for _, proxy := range s.Proxies {
		if !proxy.isUp {
			proxy.start()
		}
	}
}

// CountRetained returns how many jobs are in the leader's table and how many pairs on its disk, or zeros without a leader.
func (s *Cluster) CountRetained() (jobs, pairs int) {
	leader := s.Leader()
	if leader == nil {
		return 0, 0
	}
	allJobs, _ := leader.poolOf(s.keys[0]).Beliefs()
	return len(allJobs), len(leader.disk.pairs[s.keys[0]])
}

// JobState returns the state of a job in the leader's table, or an empty string if it isn't there.
func (s *Cluster) JobState(id string) string { return s.JobStates()[id] }

// JobStates returns the states of all jobs in the leader's table, by ID. It is empty without a leader.
func (s *Cluster) JobStates() map[string]string {
	states := map[string]string{}
	if leader := s.Leader(); leader != nil {
		jobs, _ := leader.poolOf(s.keys[0]).Beliefs()
		for _, belief := range jobs {
			states[belief.ID] = belief.State
		}
	}
	return states
}
