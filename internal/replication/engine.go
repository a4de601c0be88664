package replication

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"gannetline/internal/logs"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/storage"
)

// Links carries an engine's calls; each answer comes back on the engine's own goroutine.
type Links interface {
	Promise(disk string, call peerapi.PromiseCall, done func(peerapi.PromiseAnswer, error))
	Append(disk string, call peerapi.AppendCall, done func(peerapi.AppendAnswer, error))
	Fetch(disk string, call peerapi.FetchCall, done func(peerapi.FetchAnswer, error))
	Standing(key string, done func(Standing))
	History(key string, done func(History))
	ReadLocal(key string) (peerapi.Snapshot, error)
	InstallLocal(call peerapi.AppendCall, done func(peerapi.AppendAnswer, error))
}

// Machine is what lives on a key while this steward owns it.
type Machine interface {
	Open(tenure *Tenure, pairs []peerapi.Op) error
	Close()
}

// Stewards tells where disks are now: their members, alive or not.
type Stewards func() []peerapi.Member

type Timing struct {
	Lease     time.Duration
	Heartbeat time.Duration
	Stagger   time.Duration
	LostAfter time.Duration
}

var DefaultTiming = Timing{Lease: 700 * time.Millisecond, Heartbeat: 175 * time.Millisecond,
	Stagger: 100 * time.Millisecond, LostAfter: 1500 * time.Millisecond}

const (
	leaseMargin  = 30 * time.Millisecond
	mostTail     = 20000
	mostTailSize = 6 << 20
	mostPerCall  = 2000

	mostPerCallSize = 256 << 10
)

type phase int

const (
	phaseIdle phase = iota
	phaseAsking
	phaseOpening
	phaseOwner
)

type follower struct {
	disk       string
	acked      peerapi.Stamp
	isKnown    bool
	isBusy     bool
	needsWhole bool
	sentAt     time.Duration
	heardAt    time.Duration
	leaseUntil time.Duration
	wallOffset int64
	hasWall    bool
	delay      time.Duration
	hasDelay   bool
	parcel     *parcel
	piece      int
	isOld      bool
}

type waiter struct {
	step uint64
	done func(error)
}

// Engine owns one key's election, replication, lease and voter set. It has no goroutine of its own.
type Engine struct {
	key      string
	disk     string
	name     string
	birth    []string
	clock    pulse.Pulse
	links    Links
	machine  Machine
	members  Stewards
	timing   Timing
	log      logs.Logger
	announce func(fact peerapi.OwnerFact)

	phase      phase
	isAsking   bool
	head       storage.Head
	attempt    uint64
	epoch      uint64
	highest    uint64
	nextTry    time.Duration
	tailBase   peerapi.Stamp
	last       peerapi.Stamp
	committed  uint64
	set        peerapi.VoterSet
	setStep    uint64
	followers  map[string]*follower
	tail       []peerapi.Change
	tailSize   int
	waiting    []waiter
	tenure     *Tenure
	isLeaving  bool
	staleSince time.Duration

	size         int
	shortSince   time.Duration
	isShortNoted bool

	openedAt   time.Duration
	worseSince time.Duration
	wellSince  time.Duration
	wasWell    bool
}

type Option func(*Engine)

func WithBirth(voters []string) Option { return func(e *Engine) { e.birth = voters } }

// WithMachineLosses sets how many disks a key must be able to lose at once; its voters grow to twice that and one.
func WithMachineLosses(losses int) Option {
	return func(e *Engine) { e.size = 2*max(1, losses) + 1 }
}

func WithLog(log logs.Logger) Option { return func(e *Engine) { e.log = log } }

func WithAnnounce(announce func(peerapi.OwnerFact)) Option {
	return func(e *Engine) { e.announce = announce }
}

func NewEngine(key, disk, name string, clock pulse.Pulse, links Links, machine Machine, members Stewards, options ...Option) *Engine {
	engine := &Engine{key: key, disk: disk, name: name, clock: clock, links: links, machine: machine, members: members,
		timing: DefaultTiming, size: 3, log: logs.Silent(), announce: func(peerapi.OwnerFact) {}}
	for _, option := range options {
		option(engine)
	}
	return engine
}

func (e *Engine) IsOwner() bool { return e.phase == phaseOwner }

func (e *Engine) Epoch() uint64 { return e.epoch }

func (e *Engine) Belief() peerapi.KeyBelief {
	return peerapi.KeyBelief{Key: e.key, Epoch: e.epoch, Last: e.last, Set: e.set}
}

// Tick does all that falls due; it is called often.
func (e *Engine) Tick() {
	switch e.phase {
	case phaseIdle:
		e.considerAsking()
	case phaseOwner, phaseOpening:
		e.beat()
	}
}

func (e *Engine) considerAsking() {
	if e.isAsking || e.isLeaving || e.clock.Steady() < e.nextTry {
		return
	}
	e.isAsking = true
	e.links.Standing(e.key, func(standing Standing) {
		e.isAsking = false
		e.highest = max(e.highest, standing.Promised)
		voters := disksOf(standing.Head.Set)
		if len(voters) == 0 {
			voters = e.birth
		}
		rank := slices.Index(e.ranked(voters), e.disk)
		if rank < 0 {
			e.nextTry = e.clock.Steady() + e.timing.Lease/4
		}
		if rank < 0 || e.phase != phaseIdle || e.isLeaving {
			return
		}
		wait := standing.LeaseEnd + e.stagger(rank, len(voters))
		switch {
		case standing.Disk == e.disk:
			wait = 0
		case standing.Released:
			wait = standing.ReleasedAt + e.afterRelease(rank, len(voters), standing.Heir)
		}
		if now := e.clock.Steady(); now < wait {
			e.nextTry = min(wait, now+e.timing.Lease/4)
			return
		}
		e.head = standing.Head
		e.ask(voters)
	})
}

// stagger is how long a candidate lets those before it try; the last of any set waits as long as the last of three.
func (e *Engine) stagger(rank, voters int) time.Duration {
	return time.Duration(rank) * e.timing.Stagger * 2 / time.Duration(max(2, voters-1))
}

// ranked orders the voters by rendezvous hash, so that keys spread over stewards.
func (e *Engine) ranked(voters []string) []string {
	weigh := func(disk string) uint64 {
		sum := fnv.New64a()
		sum.Write([]byte(e.key + "/" + disk))
		return sum.Sum64()
	}
	order := slices.Clone(voters)
	slices.SortFunc(order, func(one, two string) int {
		if weigh(one) > weigh(two) {
			return -1
		}
		return 1
	})
	return order
}

// afterRelease lets the heir go first, if the owner has named one; it may look for a release as late as a quarter lease after.
func (e *Engine) afterRelease(rank, voters int, heir string) time.Duration {
	wait := e.stagger(rank, voters) / 4
	switch heir {
	case "":
		return wait
	case e.disk:
		return 0
	}
	return e.timing.Lease/4 + e.timing.Stagger + wait
}

// ask first tries whether a majority would promise, so that a steward that was cut off disturbs nobody.
func (e *Engine) ask(voters []string) {
	e.phase = phaseAsking
	e.attempt++
	epoch := e.highest + 1
	e.canvass(voters, epoch, true, func(granted map[string]peerapi.PromiseAnswer) bool {
		if _, isAgreed := e.best(granted); !isAgreed {
			return false
		}
		e.attempt++
		e.canvass(voters, epoch, false, func(granted map[string]peerapi.PromiseAnswer) bool {
			return e.tryOpen(epoch, granted)
		})
		return true
	})
}

// canvass asks all voters at once; enough is tried at each grant until it is satisfied.
func (e *Engine) canvass(voters []string, epoch uint64, isTrial bool, enough func(map[string]peerapi.PromiseAnswer) bool) {
	attempt, heard := e.attempt, 0
	granted := map[string]peerapi.PromiseAnswer{}
	for _, disk := range voters {
		call := peerapi.PromiseCall{Key: e.key, Epoch: epoch, Disk: e.disk, Trial: isTrial}
		e.links.Promise(disk, call, func(answer peerapi.PromiseAnswer, err error) {
			heard++
			if e.attempt != attempt || e.phase != phaseAsking {
				return
			}
			if err == nil {
				e.highest = max(e.highest, answer.Promised)
				if e.isOutvoted(answer) {
					e.backOff()
					e.nextTry = e.clock.Steady() + e.timing.LostAfter
					return
				}
				if answer.Granted {
					granted[answer.Disk] = answer
					if enough(granted) {
						return
					}
				}
			}
			if heard == len(voters) {
				e.backOff()
			}
		})
	}
}

// isOutvoted tells whether a sibling has a later state whose voters are others, so that this steward need not ask.
func (e *Engine) isOutvoted(answer peerapi.PromiseAnswer) bool {
	return e.head.Last.Below(answer.Last) && !slices.Contains(disksOf(answer.Set), e.disk)
}

func (e *Engine) backOff() {
	e.phase = phaseIdle
	spread := fnv.New32a()
	spread.Write([]byte{byte(e.attempt), byte(e.highest)})
	spread.Write([]byte(e.disk))
	e.nextTry = e.clock.Steady() + e.timing.Stagger + time.Duration(spread.Sum32()%200)*time.Millisecond
}

// best is the furthest state among those who grant; isAgreed tells whether they are a majority of its voters.
func (e *Engine) best(granted map[string]peerapi.PromiseAnswer) (best peerapi.PromiseAnswer, isAgreed bool) {
	for _, answer := range granted {
		if best.Disk == "" || best.Last.Below(answer.Last) || best.Last == answer.Last && answer.Disk == e.disk {
			best = answer
		}
	}
	if len(best.Set.Now) == 0 {
		best.Set = peerapi.VoterSet{Now: e.birth}
	}
	has := func(disk string) bool { _, isThere := granted[disk]; return isThere }
	return best, has(e.disk) && Agreed(best.Set, has)
}

func (e *Engine) tryOpen(epoch uint64, granted map[string]peerapi.PromiseAnswer) bool {
	best, isAgreed := e.best(granted)
	if !isAgreed {
		return false
	}
	set := best.Set
	e.phase, e.epoch, e.set = phaseOpening, epoch, set
	e.followers, e.staleSince = map[string]*follower{}, e.clock.Steady()
	attempt := e.attempt
	if best.Disk == e.disk {
		e.openWithHistory(best.Last)
		return true
	}
	from := granted[e.disk].Last
	e.links.Fetch(best.Disk, peerapi.FetchCall{Key: e.key, From: &from}, func(answer peerapi.FetchAnswer, err error) {
		if e.attempt != attempt || e.phase != phaseOpening {
			return
		}
		call, isWhole := e.takeOver(answer, from, best)
		if err != nil || !isWhole {
			e.backOff()
			return
		}
		e.links.InstallLocal(call, func(answer peerapi.AppendAnswer, err error) {
			if e.attempt != attempt || e.phase != phaseOpening {
				return
			}
			if err != nil || !answer.Taken {
				e.backOff()
				return
			}
			e.openWithHistory(best.Last)
		})
	})
	return true
}

func (e *Engine) openWithHistory(base peerapi.Stamp) {
	attempt := e.attempt
	e.links.History(e.key, func(held History) {
		if e.attempt == attempt && e.phase == phaseOpening {
			e.open(base, held)
		}
	})
}

// takeOver is what brings the local disk to the best state; isWhole tells whether the answer leads there.
func (e *Engine) takeOver(answer peerapi.FetchAnswer, from peerapi.Stamp, best peerapi.PromiseAnswer) (call peerapi.AppendCall, isWhole bool) {
	call = peerapi.AppendCall{Key: e.key, Epoch: e.epoch, Owner: e.name, Disk: e.disk}
	if count := len(answer.Changes); count > 0 {
		call.Prev, call.Changes = from, answer.Changes
		return call, answer.Changes[count-1].Stamp == best.Last
	}
	whole := answer.Snapshot
	whole.Set = best.Set
	call.Snapshot = &whole
	return call, whole.Last == best.Last
}

func (e *Engine) open(base peerapi.Stamp, held History) {
	whole, err := e.links.ReadLocal(e.key)
	if err != nil || whole.Last != base {
		e.backOff()
		return
	}
	e.last, e.committed, e.waiting = base, base.Step, nil
	e.inherit(base, held)
	e.setStep = 0
	for _, disk := range disksOf(e.set) {
		e.follow(disk)
	}
	opening := e.set
	e.staleSince, e.shortSince, e.isShortNoted = e.clock.Steady(), e.clock.Steady(), false
	e.openedAt, e.worseSince, e.wellSince, e.wasWell = e.clock.Steady(), e.clock.Steady(), e.clock.Steady(), false
	attempt := e.attempt
	e.submit(nil, &opening, func(err error) {
		if err != nil || e.attempt != attempt || e.phase != phaseOpening {
			return
		}
		e.phase = phaseOwner
		e.tenure = &Tenure{engine: e, epoch: e.epoch, isOpen: true}
		e.log.Info("owner of key", "key", e.key, "epoch", e.epoch, "step", base.Step)
		if err := e.machine.Open(e.tenure, whole.Pairs); err != nil {
			e.log.Error(err, "the state of the key could not be taken over", "key", e.key)
			e.stepDown("unreadable state")
			return
		}
		e.announce(peerapi.OwnerFact{Key: e.key, Epoch: e.epoch, Name: e.name})
	})
}

// inherit keeps what was taken before, so that a follower that is a little behind is sent no whole state.
func (e *Engine) inherit(base peerapi.Stamp, held History) {
	if held.last() != base {
		held = History{Base: base}
	}
	e.tailBase, e.tail, e.tailSize = held.Base, held.Changes, 0
	for _, change := range e.tail {
		e.tailSize += sizeOf(change)
	}
}

func (e *Engine) follow(disk string) *follower {
	one := e.followers[disk]
	if one == nil {
		one = &follower{disk: disk, heardAt: e.clock.Steady()}
		e.followers[disk] = one
	}
	return one
}

func (e *Engine) submit(ops []peerapi.Op, set *peerapi.VoterSet, done func(error)) {
	e.last = peerapi.Stamp{Epoch: e.epoch, Step: e.last.Step + 1}
	change := peerapi.Change{Stamp: e.last, Ops: ops, Set: set}
	e.tail = append(e.tail, change)
	e.tailSize += sizeOf(change)
	if set != nil {
		e.set, e.setStep = *set, e.last.Step
	}
	e.waiting = append(e.waiting, waiter{e.last.Step, done})
	e.trimTail()
	e.push()
}

func sizeOf(change peerapi.Change) int {
	size := 64
	for _, op := range change.Ops {
		size += len(op.Name) + len(op.Value) + 16
	}
	return size
}

func (e *Engine) trimTail() {
	needed := e.last.Step
	for _, one := range e.followers {
		switch {
		case e.clock.Steady()-one.heardAt >= e.timing.LostAfter:
		case one.parcel != nil:
			needed = min(needed, one.parcel.whole.Last.Step)
		case !one.needsWhole:
			needed = min(needed, one.acked.Step)
		}
	}
	drop := 0
	for drop < len(e.tail) && (e.tail[drop].Stamp.Step <= needed && e.tail[drop].Stamp.Step <= e.committed ||
		len(e.tail)-drop > mostTail || e.tailSize > mostTailSize) {
		e.tailSize -= sizeOf(e.tail[drop])
		drop++
	}
	if drop > 0 {
		e.tailBase = e.tailStamp(drop)
		e.tail = slices.Clone(e.tail[drop:])
	}
}

func (e *Engine) inOrder() []*follower {
	all := make([]*follower, 0, len(e.followers))
	for _, disk := range slices.Sorted(maps.Keys(e.followers)) {
		all = append(all, e.followers[disk])
	}
	return all
}

func (e *Engine) push() {
	for _, one := range e.inOrder() {
		e.send(one, false)
	}
}

func (e *Engine) send(one *follower, isBeat bool) {
	if one.isBusy {
		return
	}
	call := peerapi.AppendCall{Key: e.key, Epoch: e.epoch, Owner: e.name, Disk: e.disk, Prev: one.acked}
	getsWhole := one.needsWhole && e.clock.Steady()-one.heardAt < e.timing.LostAfter
	if getsWhole {
		packed := e.parcelFor(one)
		if packed == nil {
			return
		}
		call.Prev = packed.whole.Last
		if packed.count() > 1 && !one.isOld {
			call.Piece = packed.piece(one.piece)
			e.launch(one, call)
			return
		}
		call.Snapshot = &packed.whole
	}
	if one.isKnown || getsWhole {
		changes, isThere := e.after(call.Prev)
		if !isThere {
			one.isKnown, one.needsWhole = false, true
			return
		}
		call.Changes = changes
	} else {
		isBeat = true
	}
	if len(call.Changes) == 0 && call.Snapshot == nil && !isBeat {
		return
	}
	e.launch(one, call)
}

// after gives the changes that follow on a stamp, as far as one call may carry them, if the tail still has them all.
func (e *Engine) after(prev peerapi.Stamp) ([]peerapi.Change, bool) {
	if prev.Step < e.tailBase.Step || prev.Step > e.last.Step {
		return nil, false
	}
	start := int(prev.Step - e.tailBase.Step)
	if prev != e.tailStamp(start) {
		return nil, false
	}
	end, size := start, 0
	for end < len(e.tail) && end-start < mostPerCall && (end == start || size+sizeOf(e.tail[end]) <= mostPerCallSize) {
		size += sizeOf(e.tail[end])
		end++
	}
	return e.tail[start:end], true
}

// tailStamp is the stamp of the state that so many changes of the tail lead to.
func (e *Engine) tailStamp(count int) peerapi.Stamp {
	if count == 0 {
		return e.tailBase
	}
	return e.tail[count-1].Stamp
}

func (e *Engine) launch(one *follower, call peerapi.AppendCall) {
	one.isBusy, one.sentAt = true, e.clock.Steady()
	attempt, sentAt := e.attempt, one.sentAt
	e.links.Append(one.disk, call, func(answer peerapi.AppendAnswer, err error) {
		if e.attempt != attempt {
			return
		}
		one.isBusy = false
		if err != nil {
			return
		}
		e.hear(one, call, answer, sentAt)
	})
}

func (e *Engine) hear(one *follower, call peerapi.AppendCall, answer peerapi.AppendAnswer, sentAt time.Duration) {
	now := e.clock.Steady()
	if answer.Disk != one.disk {
		return
	}
	if answer.Promised > e.epoch {
		e.highest = max(e.highest, answer.Promised)
		e.stepDown("a higher epoch was promised")
		return
	}
	if e.followers[one.disk] != one {
		return
	}
	one.heardAt = now
	one.leaseUntil = max(one.leaseUntil, sentAt+e.timing.Lease-leaseMargin)
	if len(call.Changes) > 0 {
		e.noteDelay(one, answer, now-sentAt)
	}
	one.wallOffset, one.hasWall = answer.WallMs-pulse.InMs(sentAt+(now-sentAt)/2), true
	_, isNear := e.after(answer.Last)
	switch {
	case answer.Taken || isNear:
		one.isKnown, one.needsWhole, one.acked, one.parcel = true, false, answer.Last, nil
	case call.Piece != nil:
		e.hearPiece(one, call, answer)
	default:
		one.isKnown, one.needsWhole, one.acked = false, true, answer.Last
	}
	e.advance()
	if e.phase == phaseOwner || e.phase == phaseOpening {
		e.send(one, false)
	}
}

func (e *Engine) advance() {
	step := e.last.Step
	for ; step > e.committed; step-- {
		has := func(disk string) bool {
			one := e.followers[disk]
			return one != nil && one.isKnown && one.acked.Epoch == e.epoch && one.acked.Step >= step
		}
		if Agreed(e.set, has) {
			break
		}
	}
	if step <= e.committed {
		return
	}
	e.committed = step
	ready := 0
	for ready < len(e.waiting) && e.waiting[ready].step <= step {
		ready++
	}
	done := slices.Clone(e.waiting[:ready])
	e.waiting = slices.Clone(e.waiting[ready:])
	attempt := e.attempt
	for _, one := range done {
		if e.attempt != attempt {
			one.done(errLost)
			continue
		}
		one.done(nil)
	}
	if e.attempt == attempt {
		e.finishSwap()
		e.trimTail()
	}
}

func (e *Engine) hasLease() bool {
	now := e.clock.Steady()
	return Agreed(e.set, func(disk string) bool {
		one := e.followers[disk]
		return one != nil && now < one.leaseUntil
	})
}

func (e *Engine) beat() {
	now := e.clock.Steady()
	for _, one := range e.inOrder() {
		if one.needsWhole || now-one.sentAt >= e.timing.Heartbeat {
			e.send(one, now-one.sentAt >= e.timing.Heartbeat)
		}
	}
	if e.hasLease() {
		e.staleSince = now
	} else if now-e.staleSince > 4*e.timing.Lease {
		e.stepDown("no majority answers")
		return
	}
	if e.phase == phaseOwner {
		e.considerVoters()
		e.considerHandingOn()
	}
}

func (e *Engine) stepDown(why string) {
	if e.phase == phaseIdle {
		return
	}
	e.log.Info("no longer owner of key", "key", e.key, "epoch", e.epoch, "why", why)
	wasOwner := e.phase == phaseOwner
	e.phase = phaseIdle
	e.attempt++
	waiting := e.waiting
	e.waiting, e.tail, e.tailSize = nil, nil, 0
	if e.tenure != nil {
		e.tenure.isOpen = false
		e.tenure = nil
	}
	e.backOff()
	for _, one := range waiting {
		one.done(errLost)
	}
	if wasOwner {
		e.machine.Close()
	}
}

// Leave hands the key over: the lease is given back, and a sibling may ask at once.
func (e *Engine) Leave() {
	e.isLeaving = true
	if e.phase != phaseOwner && e.phase != phaseOpening {
		return
	}
	e.release("leaving in order", "")
}
