package controlkeys

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/poolhost"
	"gannetline/internal/control/replication"
	"gannetline/internal/control/storage"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/scheduling/scheduler"
)

const (
	poolPrefix = "pool/"
	tickEvery  = 50 * time.Millisecond
	// handOverTime is how long the peers have to hear of a release before the process ends.
	handOverTime = 400 * time.Millisecond
)

// holder is one key: its engine with its goroutine, and what lives on the key. The configuration lives on the engine's
// goroutine, a pool on one of its own.
type holder struct {
	// box is the mailbox of the engine's goroutine, calls that of what lives on the key.
	box    *mailbox.Mailbox
	calls  *mailbox.Mailbox
	engine *replication.Engine
	pool   *scheduler.Pool
	plan   *configleader.Leader
}

// Ring keeps a holder for each key that is wanted.
type Ring struct {
	ctx       context.Context
	box       *mailbox.Mailbox
	clock     clock.Clock
	log       logging.Logger
	store     *storage.Store
	disk      string
	name      string
	replicas  *replication.Replicas
	caller    *peerapi.Caller
	node      *membership.Node
	book      *configcache.Cache
	timing    scheduler.Timing
	holders   map[string]*holder
	pool      []scheduler.Option
	birth     []string
	hasPlan   bool
	isLeaving bool

	isMakeshift bool
	losses      int
}

// Config has neither Store nor Replicas on a machine without a disk: such a steward owns no key and is no voter.
type Config struct {
	Clock         clock.Clock
	Log           logging.Logger
	Store         *storage.Store
	IsMakeshift   bool
	MachineLosses int
	Name          string
	Caller        *peerapi.Caller
	Node          *membership.Node
	Book          *configcache.Cache
	Timing        scheduler.Timing
	Replicas      *replication.Replicas
	Pool          []scheduler.Option
}

// New makes a ring without holders; Run starts them.
func New(config Config) *Ring {
	ring := &Ring{box: mailbox.New(256), clock: config.Clock, log: config.Log, store: config.Store, isMakeshift: config.IsMakeshift,
		losses: config.MachineLosses, name: config.Name, replicas: config.Replicas, caller: config.Caller, node: config.Node,
		book: config.Book, timing: config.Timing, pool: config.Pool, holders: map[string]*holder{}}
	if config.Store != nil {
		ring.disk = config.Store.Disk()
	}
	return ring
}

// Run keeps the holders that the plan asks for.
func (r *Ring) Run(ctx context.Context) error {
	if r.disk == "" {
		<-ctx.Done()
		return nil
	}
	r.ctx = ctx
	r.box.Run(ctx, r.clock, mailbox.Owner{Every: 200 * time.Millisecond, Tick: r.want})
	return nil
}

// Found sets the first voters, once the seeds have named their disks.
func (r *Ring) Found(voters []string) {
	r.box.Post(func() {
		r.birth = voters
		r.want()
	})
}

// want works out the difference between the keys there should be and those there are.
func (r *Ring) want() {
	if r.isLeaving || r.disk == "" {
		return
	}
	r.lookForPlan()
	if r.isMakeshift && !r.hasPlan && !slices.Contains(r.birth, r.disk) {
		return
	}
	if r.hasPlan || len(r.birth) > 0 {
		r.ensure(configleader.Key, r.birth)
	}
	page := r.book.Page()
	if page == nil {
		return
	}
	for _, birth := range page.Fact.InitialVoters {
		r.ensure(poolPrefix+birth.Service, birth.Voters)
	}
}

// lookForPlan notes when this disk holds a replica of the plan.
func (r *Ring) lookForPlan() {
	if r.hasPlan {
		return
	}
	r.replicas.Mailbox().Post(func() {
		isThere := len(r.replicas.Status(configleader.Key).State.Set.Now) > 0
		r.box.Post(func() { r.hasPlan = r.hasPlan || isThere })
	})
}

func (r *Ring) ensure(key string, birth []string) {
	if r.holders[key] != nil {
		return
	}
	box := mailbox.New(1024)
	one := &holder{box: box, calls: box}
	road := &links{ring: r, box: one.box, ctx: r.ctx}
	options := []replication.Option{replication.WithInitialVoters(birth), replication.WithLog(r.log), replication.WithAnnounce(r.node.Announce),
		replication.WithMachineLosses(r.losses)}
	owner := mailbox.Owner{Every: tickEvery}
	if key == configleader.Key {
		one.plan = configleader.New(r.log, func(fact *wire.Configuration) { r.book.Hold(fact) })
		one.engine = replication.NewEngine(key, r.disk, r.name, r.clock, road, planMachine{one.plan}, r.stewards, options...)
		owner.Tick = one.engine.Tick
	} else {
		one.pool = scheduler.New(key, r.clock, r.timing, r.log, r.pool...)
		host := poolhost.New(one.pool, box)
		one.calls = host.Box()
		one.engine = replication.NewEngine(key, r.disk, r.name, r.clock, road, host, r.stewards, options...)
		owner.Tick, owner.Settle = one.engine.Tick, host.Flush
		go one.calls.Run(r.ctx, r.clock, mailbox.Owner{Every: tickEvery, Tick: one.pool.Tick, Settle: one.pool.Settle})
	}
	r.holders[key] = one
	go one.box.Run(r.ctx, r.clock, owner)
}

type planMachine struct{ *configleader.Leader }

// Open passes a leadership on as the narrower configleader.Tenure; it runs on the goroutine of the key's engine.
func (m planMachine) Open(tenure *replication.Leadership, pairs []wire.Op) error {
	return m.Leader.Open(tenure, pairs)
}

func (r *Ring) stewards() []wire.Member { return withDisks(r.node.View().Stewards) }

// withDisks lists the members that have a disk; makeshift ones count only if there is no other.
func withDisks(members []wire.Member) []wire.Member {
	var lasting, makeshift []wire.Member
	for _, member := range members {
		if member.Disk != "" {
			lasting = append(lasting, member)
		}
		if member.Makeshift != "" {
			member.Disk = member.Makeshift
			makeshift = append(makeshift, member)
		}
	}
	if len(lasting) == 0 {
		return makeshift
	}
	return lasting
}

func (r *Ring) addressOf(disk string) string {
	keeper, _ := r.node.View().StewardOf(disk)
	return keeper.Address
}

func (r *Ring) holder(ctx context.Context, key string) *holder {
	if r.disk == "" {
		return nil
	}
	one, err := mailbox.Ask(r.box, ctx, func(answer func(*holder)) { answer(r.holders[key]) })
	if err != nil {
		return nil
	}
	return one
}

func (r *Ring) elsewhere(key string) *wire.ClientAnswer {
	return &wire.ClientAnswer{Elsewhere: true, Owner: r.ownerName(key)}
}

func (r *Ring) ownerName(key string) string {
	if owner := r.node.View().Owners[key].Name; owner != r.name {
		return owner
	}
	return ""
}

// Client runs a client's or operator's command on the table that owns the key.
func (r *Ring) Client(ctx context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	one := r.holder(ctx, call.Key)
	if one == nil {
		return r.elsewhere(call.Key), nil
	}
	answer, err := mailbox.Ask(one.calls, ctx, func(answer func(wire.ClientAnswer)) { one.obey(call, answer) })
	if err != nil {
		return nil, err
	}
	if answer.Elsewhere {
		elsewhere := r.elsewhere(call.Key)
		elsewhere.Unclear = answer.Unclear
		return elsewhere, nil
	}
	return &answer, nil
}

func (h *holder) obey(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	commands := map[string]func(*wire.ClientCall, func(wire.ClientAnswer)){}
	switch {
	case h.pool != nil && h.pool.IsOpen():
		commands["hand-in"], commands["state"], commands["count"], commands["cancel"] = h.pool.HandIn, h.pool.State, h.pool.Count, h.pool.Cancel
		commands["renounce"] = h.pool.Renounce
	case h.plan != nil && h.plan.IsOpen():
		commands["replace"] = h.plan.Replace
		commands["retrieve"] = func(_ *wire.ClientCall, answer func(wire.ClientAnswer)) { h.plan.Retrieve(answer) }
	default:
		answer(wire.ClientAnswer{Elsewhere: true})
		return
	}
	command := commands[call.Verb]
	if command == nil {
		answer(wire.ClientAnswer{Status: http.StatusBadRequest, Why: "unknown verb " + call.Verb})
		return
	}
	command(call, answer)
}

// Exchange serves a local-proxy.
func (r *Ring) Exchange(ctx context.Context, call *wire.ExchangeCall) (*wire.ExchangeAnswer, error) {
	elsewhere := &wire.ExchangeAnswer{Elsewhere: true, Owner: r.ownerName(call.Key)}
	one := r.holder(ctx, call.Key)
	if one == nil || one.pool == nil {
		return elsewhere, nil
	}
	answer, err := mailbox.Ask(one.calls, ctx, func(answer func(wire.ExchangeAnswer)) {
		if !one.pool.IsOpen() {
			answer(wire.ExchangeAnswer{Elsewhere: true})
			return
		}
		one.pool.Exchange(call, answer)
	})
	if err != nil {
		return nil, err
	}
	if answer.Elsewhere {
		return elsewhere, nil
	}
	return &answer, nil
}

// Leave hands over the keys that are led here, and asks the leaders to replace this disk as a voter. It returns once all
// that can be replaced is, or after the limit; what could not be done is logged. It takes handOverTime at least.
func (r *Ring) Leave(limit time.Duration) {
	if r.disk == "" {
		<-r.clock.After(handOverTime)
		return
	}
	end := r.clock.Monotonic() + limit
	r.replicas.Mailbox().Post(r.replicas.Leave)
	r.box.Post(func() {
		r.isLeaving = true
		for _, one := range r.holders {
			one.box.Post(one.engine.Leave)
		}
	})
	<-r.clock.After(handOverTime)
	for {
		replaceable, rest := r.votingOn()
		if len(replaceable) == 0 || r.clock.Monotonic() >= end {
			r.logLeft(replaceable, rest)
			return
		}
		<-r.clock.After(tickEvery)
	}
}

// votingOn lists the keys in which this disk is still a voter: those for which another live disk could take its place, and
// the rest.
func (r *Ring) votingOn() (replaceable, rest []string) {
	ctx, end := context.WithTimeout(context.Background(), time.Second)
	defer end()
	sets, err := mailbox.Ask(r.replicas.Mailbox(), ctx, func(answer func(map[string]wire.VoterSet)) { answer(r.replicas.VotingKeys()) })
	if err != nil {
		return nil, nil
	}
	members := r.stewards()
	for key, set := range sets {
		if IsReplaceable(members, r.disk, set) {
			replaceable = append(replaceable, key)
		} else {
			rest = append(rest, key)
		}
	}
	slices.Sort(replaceable)
	slices.Sort(rest)
	return replaceable, rest
}

// IsReplaceable tells whether a voter that leaves should wait: a live disk could take its place, or one is about to and
// the change still needs the leaving voter's agreement.
func IsReplaceable(members []wire.Member, leaving string, set wire.VoterSet) bool {
	if slices.Contains(set.Old, leaving) && !slices.Contains(set.Now, leaving) {
		return true
	}
	return slices.ContainsFunc(members, func(member wire.Member) bool {
		isVoter := slices.Contains(set.Now, member.Disk) || slices.Contains(set.Old, member.Disk)
		return member.Disk != "" && member.Disk != leaving && member.State == wire.StateAlive && !isVoter
	})
}

func (r *Ring) logLeft(replaceable, rest []string) {
	if len(replaceable) > 0 {
		r.log.Info("leaving although this disk is still a voter", "keys", replaceable)
	}
	if len(rest) > 0 {
		r.log.Info("leaving as a voter without a replacement, as there is no other live disk", "keys", rest)
	}
}

// Handle serves what other processes ask of the keys on this machine.
func (r *Ring) Handle(mux *http.ServeMux) {
	if r.disk != "" {
		r.handleReplicas(mux)
	}
	peerapi.Serve(mux, peerapi.ProcedureIdentify, func(context.Context, *wire.IdentifyCall) (*wire.IdentifyAnswer, error) {
		return r.identity(), nil
	})
	peerapi.Serve(mux, peerapi.ProcedureClient, r.Client)
	peerapi.Serve(mux, peerapi.ProcedureExchange, r.Exchange)
}

func (r *Ring) identity() *wire.IdentifyAnswer {
	if r.disk == "" {
		return &wire.IdentifyAnswer{}
	}
	if r.isMakeshift {
		return &wire.IdentifyAnswer{Makeshift: r.disk, Fresh: true}
	}
	return &wire.IdentifyAnswer{Disk: r.disk, Fresh: r.store.IsNew()}
}

func (r *Ring) handleReplicas(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedurePromise, func(ctx context.Context, call *wire.PromiseCall) (*wire.PromiseAnswer, error) {
		answer, err := r.replicas.AskPromise(ctx, *call)
		return &answer, err
	})
	peerapi.Serve(mux, peerapi.ProcedureAppend, func(ctx context.Context, call *wire.AppendCall) (*wire.AppendAnswer, error) {
		answer, err := r.replicas.AskAppend(ctx, *call)
		return &answer, err
	})
	peerapi.Serve(mux, peerapi.ProcedureFetch, func(ctx context.Context, call *wire.FetchCall) (*wire.FetchAnswer, error) {
		answer, err := r.replicas.AskFetch(ctx, *call)
		return &answer, err
	})
}

// Beliefs gathers what this steward holds true.
func (r *Ring) Beliefs(ctx context.Context) ([]wire.KeyBelief, []wire.JobBelief, []wire.ExecutorBelief) {
	var keys []wire.KeyBelief
	var jobs []wire.JobBelief
	var executors []wire.ExecutorBelief
	if r.disk == "" {
		return nil, nil, nil
	}
	names, err := mailbox.Ask(r.replicas.Mailbox(), ctx, func(answer func([]wire.KeyBelief)) { answer(r.replicaBeliefs()) })
	if err != nil {
		return nil, nil, nil
	}
	keys = append(keys, names...)
	holders, err := mailbox.Ask(r.box, ctx, func(answer func(map[string]*holder)) {
		copied := map[string]*holder{}
		for key, one := range r.holders {
			copied[key] = one
		}
		answer(copied)
	})
	if err != nil {
		return keys, nil, nil
	}
	for key, one := range holders {
		if !strings.HasPrefix(key, poolPrefix) {
			continue
		}
		if whole, err := r.store.Read(key); err == nil {
			jobs = append(jobs, scheduler.JobsOf(key, whole.Pairs)...)
		}
		held, err := mailbox.Ask(one.calls, ctx, func(answer func([]wire.ExecutorBelief)) {
			if !one.pool.IsOpen() {
				answer(nil)
				return
			}
			_, executors := one.pool.Beliefs()
			answer(executors)
		})
		if err == nil {
			executors = append(executors, held...)
		}
	}
	return keys, jobs, executors
}

func (r *Ring) replicaBeliefs() []wire.KeyBelief {
	var keys []wire.KeyBelief
	for _, key := range r.replicas.Keys() {
		standing := r.replicas.Status(key)
		keys = append(keys, wire.KeyBelief{Key: key, Owner: standing.LeaseHolder, Epoch: standing.Promised,
			Last: standing.State.Last, Set: standing.State.Set})
	}
	return keys
}
