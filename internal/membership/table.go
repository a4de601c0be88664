// Package membership knows the system's processes: probes in turn, second opinions, suspicion before
// removal; the same datagrams carry news, and digests that show gaps. Local-proxies are leaves: nobody
// lists or probes them, and they attach to a few stewards.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
)

// Member is what is known of one process: where it is, what it does and whether it lives.
type Member = peerapi.Member

const (
	// RoleSteward is the role of the processes that may lead keys.
	RoleSteward = "steward"
	// RoleLocalProxy is the role of the process beside each executor.
	RoleLocalProxy = "local-proxy"
)

// Timing is how often members are probed and when they are given up. A probe goes out every Period and wants an
// answer within AnswerWait, else SecondOpinion others are asked to try; SuspectFor later the member is gone, and
// ForgetAfter that its record is dropped. Fanout and OwnerFanout are how many members hear of news, and of a key's
// new leader. A local-proxy that hears nobody for LonelyAfter says so in its view (IsLonely).
type Timing struct {
	Period        time.Duration
	AnswerWait    time.Duration
	SuspectFor    time.Duration
	ForgetAfter   time.Duration
	Fanout        int
	OwnerFanout   int
	SecondOpinion int
	// LeafPeriod lies between two pings of a local-proxy; a steward pushes to it for LeafKeep after one.
	LeafPeriod  time.Duration
	LeafKeep    time.Duration
	LonelyAfter time.Duration
}

// DefaultTiming finds a silent member in about three and a half seconds.
var DefaultTiming = Timing{Period: 700 * time.Millisecond, AnswerWait: 250 * time.Millisecond,
	SuspectFor: 2500 * time.Millisecond, ForgetAfter: 120 * time.Second, Fanout: 3, OwnerFanout: 6, SecondOpinion: 2,
	LeafPeriod: 1400 * time.Millisecond, LeafKeep: 13 * time.Second, LonelyAfter: 3 * time.Second}

const (
	kindPing  = "ping"
	kindAck   = "ack"
	kindAsk   = "ask"
	kindNews  = "news"
	mostNews  = 5
	mostFacts = 12
	mostPast  = 4
	newsTimes = 4

	planRounds = 4
	freshTicks = 4
	leafTicks  = 16
	youngFor   = 10 * time.Second
)

type entry struct {
	member Member
	bucket int
	// hash stands for the record among all, lifeHash among the stewards, where the state counts only once it is gone.
	hash     uint32
	lifeHash uint32
	since    time.Duration
	heardAt  time.Duration
}

type probe struct {
	name    string
	began   time.Duration
	isAsked bool
}

type relay struct {
	to     Member
	number uint64
}

// Events are what the table asks of its owner: to send a datagram, to publish a new view, to fetch a configuration
// that a peer holds already, and to compare lists with a peer whose list differs. They are called on the owner's
// goroutine.
type Events struct {
	Send      func(address string, datagram peerapi.Datagram)
	Show      func(*View)
	PlanAhead func(peer Member, version int64)
	Differ    func(peer Member)
}

// Table has no goroutine of its own; its owner calls it.
type Table struct {
	self   Member
	clock  pulse.Pulse
	timing Timing
	events Events
	draw   *rand.Rand

	me          *entry
	entries     map[string]*entry
	unwell      map[string]*entry
	everyone    roster
	stewards    roster
	sums        sums
	stewardSums sums

	owners        map[string]peerapi.LeaderFact
	isOwnersShown bool
	ownerSum      uint32
	fresh         map[string]int

	plan       int64
	planRounds int

	order  []string
	number uint64
	probes map[uint64]probe
	relays map[uint64]relay
	hot    map[string]int

	leaves   map[string]leaf
	attached []Member
	turn     int
	pause    time.Duration
	askedAt  time.Duration
	isHeard  bool
	isLonely bool
	// silentSince is when the first of the pings went out that nobody has answered yet.
	silentSince time.Duration

	born      time.Duration
	lastTick  time.Duration
	changedAt time.Duration
	differAt  time.Duration
	rounds    int
	isDirty   bool
	moved     chan struct{}
	hasMoved  bool
}

// NewTable makes a table that knows only its own process. The seed decides whom it probes when.
func NewTable(self Member, clock pulse.Pulse, timing Timing, seed uint64, events Events) *Table {
	table := &Table{clock: clock, timing: timing, events: events, draw: rand.New(rand.NewPCG(seed, 7)),
		entries: map[string]*entry{}, unwell: map[string]*entry{}, owners: map[string]peerapi.LeaderFact{},
		fresh: map[string]int{}, probes: map[uint64]probe{}, relays: map[uint64]relay{}, hot: map[string]int{},
		leaves: map[string]leaf{}, pause: timing.LeafPeriod, isHeard: true, isDirty: true, moved: make(chan struct{})}
	now := clock.Steady()
	table.born, table.lastTick = now, now
	table.differAt = now - 2*timing.Period - 1
	table.self = self
	table.me = &entry{bucket: bucketOf(Name(self))}
	table.write(table.me, self)
	return table
}

// Name tells the processes of one machine apart: the machine's name and the role.
func Name(member Member) string { return member.Name + "/" + member.Role }

// Self is the record of this process.
func (t *Table) Self() Member { return t.self }

func isNewer(one, two Member) bool {
	return one.Incarnation > two.Incarnation || one.Incarnation == two.Incarnation && one.State > two.State
}

// isKept tells whether this table lists a member: a local-proxy lists stewards, all others list no local-proxies.
func (t *Table) isKept(member Member) bool {
	if isLeaf(t.self) {
		return member.Role == RoleSteward
	}
	return !isLeaf(member)
}

// Merge takes one record; it tells whether it was news.
func (t *Table) Merge(member Member) bool {
	name := Name(member)
	if name == Name(t.self) {
		t.refute(member)
		return false
	}
	if !t.isKept(member) {
		return false
	}
	if isLeaf(t.self) && member.State == peerapi.StateSuspect {
		member.State = peerapi.StateAlive
	}
	now := t.clock.Steady()
	known := t.entries[name]
	if known == nil {
		if member.State == peerapi.StateGone && now-t.born > t.timing.ForgetAfter {
			return false
		}
		known = &entry{bucket: bucketOf(name), since: now, heardAt: now}
		t.entries[name] = known
		t.write(known, member)
		t.noteNews(name)
		return true
	}
	old := known.member
	if !isNewer(member, old) {
		return false
	}
	member.Past = joinPast(old, member)
	known.since = now
	t.write(known, member)
	t.noteNews(name)
	return true
}

// write puts a record in its place, and keeps all that is derived from it.
func (t *Table) write(known *entry, member Member) {
	t.count(known)
	known.member = member
	known.hash, known.lifeHash = 0, 0
	if member.State != peerapi.StateGone {
		known.hash = hashOf(Name(member), member.Incarnation, member.State)
		known.lifeHash = hashOf(Name(member), member.Incarnation, peerapi.StateAlive)
	}
	t.count(known)
	t.everyone.put(member)
	if member.Role == RoleSteward {
		t.stewards.put(member)
	}
	if name := Name(member); member.State == peerapi.StateAlive {
		delete(t.unwell, name)
	} else {
		t.unwell[name] = known
	}
	t.noteChange()
}

func (t *Table) count(known *entry) {
	if isLeaf(known.member) {
		return
	}
	t.sums.toggle(known.bucket, known.hash)
	if known.member.Role == RoleSteward {
		t.stewardSums.toggle(known.bucket, known.lifeHash)
	}
}

func (t *Table) forget(name string) {
	known := t.entries[name]
	if known == nil {
		return
	}
	t.count(known)
	delete(t.entries, name)
	delete(t.unwell, name)
	t.everyone.drop(known.member)
	t.stewards.drop(known.member)
	t.noteChange()
}

func (t *Table) noteChange() {
	t.isDirty = true
	t.changedAt = t.clock.Steady()
}

func joinPast(old, fresh Member) []string {
	past := slices.Clone(fresh.Past)
	for _, disk := range append(slices.Clone(old.Past), old.Disk) {
		if disk != "" && disk != fresh.Disk && !slices.Contains(past, disk) {
			past = append(past, disk)
		}
	}
	return past[max(0, len(past)-mostPast):]
}

func (t *Table) refute(belief Member) {
	if belief.Incarnation < t.self.Incarnation || belief.Incarnation == t.self.Incarnation && belief.State == peerapi.StateAlive {
		return
	}
	t.self.Past = joinPast(belief, t.self)
	t.self.Incarnation = belief.Incarnation + 1
	t.write(t.me, t.self)
	t.Spread()
}

func (t *Table) noteNews(name string) { t.hot[name] = newsTimes }

// MergeOwner takes word of a key's owner; the higher epoch counts.
func (t *Table) MergeOwner(fact peerapi.LeaderFact) bool {
	known, isThere := t.owners[fact.Key]
	if isThere && known.Epoch >= fact.Epoch {
		return false
	}
	if t.isOwnersShown {
		t.owners, t.isOwnersShown = maps.Clone(t.owners), false
	}
	if isThere {
		t.ownerSum ^= factHash(known)
	}
	t.ownerSum ^= factHash(fact)
	t.owners[fact.Key] = fact
	t.fresh[fact.Key] = freshTicks
	t.isDirty, t.hasMoved = true, true
	return true
}

// HoldsPlan takes note that this process holds a version of the configuration, and spreads it if it is news.
func (t *Table) HoldsPlan(version int64) {
	if version > t.plan {
		t.plan = version
		t.planRounds = planRounds
		t.spreadPlan()
	}
}

func (t *Table) spreadPlan() { t.tell(2 * t.timing.Fanout) }

func (t *Table) sumsFor(role string) *sums {
	if isLeaf(t.self) || role == RoleLocalProxy {
		return &t.stewardSums
	}
	return &t.sums
}

func (t *Table) shownOwnerSum() uint32 { return shown(t.ownerSum) }

func (t *Table) digestFor(role string) peerapi.Digest {
	return peerapi.Digest{Plan: t.plan, MemberSum: t.sumsFor(role).whole(), OwnerSum: t.shownOwnerSum()}
}

func (t *Table) facts() []peerapi.LeaderFact { return slices.Collect(maps.Values(t.owners)) }

func (t *Table) freshFacts() []peerapi.LeaderFact {
	var facts []peerapi.LeaderFact
	for key := range t.fresh {
		if len(facts) == mostFacts {
			break
		}
		facts = append(facts, t.owners[key])
	}
	return facts
}

// heedNews takes what a digest says outright.
func (t *Table) heedNews(from Member, digest peerapi.Digest) {
	isNews := false
	for _, fact := range digest.Owners {
		isNews = t.MergeOwner(fact) || isNews
	}
	if digest.Plan > t.plan {
		t.events.PlanAhead(from, digest.Plan)
	}
	if isNews && !isLeaf(t.self) {
		t.Spread()
	}
}

// heedSums looks for what a digest shows to be missing; a peer of the older form has no sums.
func (t *Table) heedSums(from Member, digest peerapi.Digest) {
	if isLeaf(from) {
		return
	}
	isOwnersBeyond := digest.OwnerSum != 0 && digest.OwnerSum != t.shownOwnerSum() && len(t.owners) > mostFacts
	isDiffering := digest.MemberSum != 0 && digest.MemberSum != t.sumsFor(from.Role).whole()
	if isDiffering {
		t.pause = t.timing.LeafPeriod
	}
	now := t.clock.Steady()
	if !isOwnersBeyond && !(isDiffering && t.isCalm(now)) || now-t.differAt <= 2*t.timing.Period {
		return
	}
	t.differAt = now
	t.events.Differ(from)
}

// isCalm gives news the time to arrive by itself, except in the first seconds and where changes never cease.
func (t *Table) isCalm(now time.Duration) bool {
	return now-t.born < youngFor || now-t.changedAt >= t.timing.Period || now-t.differAt >= 6*t.timing.Period
}

// All gives every record, this process's own first.
func (t *Table) All() []Member {
	all := []Member{t.self}
	t.each(func(known *entry) {
		if known != t.me {
			all = append(all, known.member)
		}
	})
	return all
}

// Hear takes one datagram.
func (t *Table) Hear(datagram peerapi.Datagram) {
	from := datagram.From
	if Name(from) == Name(t.self) {
		return
	}
	t.meet(from)
	for _, member := range datagram.News {
		t.Merge(member)
	}
	t.heedNews(from, datagram.Digest)
	reply := peerapi.Datagram{Digest: peerapi.Digest{Owners: t.mend(datagram.Digest)}}
	switch datagram.Kind {
	case kindPing:
		reply.Kind, reply.Number, reply.News = kindAck, datagram.Number, t.beliefAbout(Name(from))
	case kindAck:
		t.hearAck(datagram)
		t.heedPause(datagram.PauseMs)
	case kindAsk:
		t.relay(datagram)
	}
	if reply.Kind == "" && len(reply.Digest.Owners) > 0 {
		reply.Kind = kindNews
	}
	if reply.Kind != "" {
		t.send(from, reply)
	}
	t.heedSums(from, datagram.Digest)
	t.Settle()
}

// meet notes that a peer has spoken.
func (t *Table) meet(from Member) {
	if isLeaf(from) {
		t.hearLeaf(from)
		return
	}
	t.Merge(from)
	now := t.clock.Steady()
	if known := t.entries[Name(from)]; known != nil {
		known.heardAt = now
		t.isHeard = true
	}
}

// mend gives all facts to a peer whose sum of them differs; if it holds newer ones, it does the same in turn.
func (t *Table) mend(digest peerapi.Digest) []peerapi.LeaderFact {
	if digest.OwnerSum == 0 || digest.OwnerSum == t.shownOwnerSum() || len(t.owners) > mostFacts {
		return nil
	}
	return t.facts()
}

func (t *Table) beliefAbout(name string) []Member {
	if known := t.entries[name]; known != nil && known.member.State != peerapi.StateAlive {
		return []Member{known.member}
	}
	return nil
}

func (t *Table) hearAck(datagram peerapi.Datagram) {
	if pending, isThere := t.relays[datagram.Number]; isThere {
		delete(t.relays, datagram.Number)
		t.send(pending.to, peerapi.Datagram{Kind: kindAck, Number: pending.number})
		return
	}
	delete(t.probes, datagram.Number)
}

func (t *Table) relay(datagram peerapi.Datagram) {
	target := t.entries[datagram.Target]
	if target == nil || len(t.relays) > 64 {
		return
	}
	t.number++
	t.relays[t.number] = relay{datagram.From, datagram.Number}
	t.send(target.member, peerapi.Datagram{Kind: kindPing, Number: t.number})
}

// send adds this process's record, digest and news to a datagram.
func (t *Table) send(to Member, datagram peerapi.Datagram) {
	facts := datagram.Digest.Owners
	if len(facts) == 0 {
		facts = t.freshFacts()
	}
	if isLeaf(to) {
		datagram.PauseMs = t.pauseMs()
		datagram.News = append(datagram.News, t.recordsOf(facts)...)
	} else {
		datagram.News = t.withHot(datagram.News)
	}
	datagram.From, datagram.Digest = t.self, t.digestFor(to.Role)
	datagram.Digest.Owners = facts
	t.events.Send(to.Address, datagram)
}

func (t *Table) recordsOf(facts []peerapi.LeaderFact) []Member {
	var records []Member
	for _, fact := range facts {
		known := t.entries[Name(Member{Name: fact.Name, Role: RoleSteward})]
		isListed := known == nil || slices.ContainsFunc(records, func(one Member) bool { return one.Name == fact.Name })
		if !isListed && len(records) < mostNews {
			records = append(records, known.member)
		}
	}
	return records
}

func (t *Table) withHot(news []Member) []Member {
	for name, times := range t.hot {
		if len(news) >= mostNews {
			break
		}
		if known := t.entries[name]; known != nil {
			news = append(news, known.member)
		}
		if times <= 1 {
			delete(t.hot, name)
			continue
		}
		t.hot[name] = times - 1
	}
	return news
}

// Spread passes news on to a few others at once.
func (t *Table) Spread() {
	if len(t.fresh) == 0 {
		t.tell(t.timing.Fanout)
		return
	}
	t.tell(t.timing.OwnerFanout)
	t.pushToLeaves()
}

func (t *Table) tell(count int) {
	t.Settle()
	for _, one := range t.some(count, "") {
		t.send(one, peerapi.Datagram{Kind: kindNews})
	}
}

// some draws a few members that are alive, without walking the whole list unless most of it is not.
func (t *Table) some(count int, without string) []Member {
	all := t.everyone.members
	var chosen []Member
	take := func(one Member) {
		name := Name(one)
		isFit := one.State == peerapi.StateAlive && name != without && name != Name(t.self)
		if isFit && !slices.ContainsFunc(chosen, func(other Member) bool { return Name(other) == name }) {
			chosen = append(chosen, one)
		}
	}
	for try := 0; try < 8*count && len(chosen) < count; try++ {
		take(all[t.draw.IntN(len(all))])
	}
	if len(chosen) == count {
		return chosen
	}
	for _, place := range t.draw.Perm(len(all)) {
		if len(chosen) < count {
			take(all[place])
		}
	}
	return chosen
}

// Tick is called a few times a period.
func (t *Table) Tick() {
	now := t.clock.Steady()
	if now-t.lastTick > 2*t.timing.Period {
		t.wake(now)
	}
	t.lastTick = now
	t.rounds++
	if isLeaf(t.self) {
		t.tickLeaf(now)
		t.cool()
		t.Settle()
		return
	}
	t.followProbes(now)
	t.age(now)
	if t.planRounds > 0 {
		t.planRounds--
		t.spreadPlan()
	}
	if t.cool() {
		t.Spread()
	}
	if t.rounds%2 == 0 {
		t.probeNext(now)
	}
	if t.rounds%leafTicks == 0 {
		t.forgetLeaves(now)
	}
	t.Settle()
}

// wake follows a freeze of this process: nobody's silence counts.
func (t *Table) wake(now time.Duration) {
	clear(t.probes)
	for _, one := range t.entries {
		one.since = max(one.since, now)
		one.heardAt = now
	}
	for name, one := range t.leaves {
		one.heardAt = now
		t.leaves[name] = one
	}
	t.silentSince = now
}

// cool lets facts about owners cease to be news; it tells whether some are to be spread once more.
func (t *Table) cool() bool {
	isHot := false
	for key, left := range t.fresh {
		isHot = isHot || left == freshTicks
		if t.fresh[key] = left - 1; left <= 1 {
			delete(t.fresh, key)
		}
	}
	return isHot
}

func (t *Table) followProbes(now time.Duration) {
	for number, one := range t.probes {
		known := t.entries[one.name]
		switch {
		case known == nil:
			delete(t.probes, number)
		case known.heardAt > one.began:
			delete(t.probes, number)
		case now-one.began >= 2*t.timing.AnswerWait+t.timing.Period/2:
			delete(t.probes, number)
			t.suspect(one.name)
		case now-one.began >= t.timing.AnswerWait && !one.isAsked:
			one.isAsked = true
			t.probes[number] = one
			for _, helper := range t.some(t.timing.SecondOpinion, one.name) {
				t.send(helper, peerapi.Datagram{Kind: kindAsk, Number: number, Target: one.name})
			}
		}
	}
	if len(t.relays) > 32 {
		clear(t.relays)
	}
}

func (t *Table) suspect(name string) {
	if known := t.entries[name]; known.member.State == peerapi.StateAlive {
		t.demote(known, peerapi.StateSuspect)
	}
}

func (t *Table) demote(known *entry, state int) {
	member := known.member
	member.State = state
	known.since = t.clock.Steady()
	t.write(known, member)
	t.noteNews(Name(member))
}

func (t *Table) age(now time.Duration) {
	for name, known := range t.unwell {
		switch known.member.State {
		case peerapi.StateSuspect:
			if now-known.since > t.timing.SuspectFor {
				t.demote(known, peerapi.StateGone)
			}
		case peerapi.StateGone:
			if now-known.since > t.timing.ForgetAfter {
				t.forget(name)
			}
		}
	}
}

func (t *Table) probeNext(now time.Duration) {
	if len(t.order) == 0 {
		for _, member := range t.everyone.members {
			isDue := member.State != peerapi.StateGone || t.draw.IntN(3) == 0
			if name := Name(member); isDue && name != Name(t.self) {
				t.order = append(t.order, name)
			}
		}
		t.draw.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	for len(t.order) > 0 {
		name := t.order[0]
		t.order = t.order[1:]
		if known := t.entries[name]; known != nil {
			t.number++
			t.probes[t.number] = probe{name: name, began: now}
			t.send(known.member, peerapi.Datagram{Kind: kindPing, Number: t.number, News: t.beliefAbout(name)})
			return
		}
	}
}

// Settle shows what changed to the rest of the process.
func (t *Table) Settle() {
	if !t.isDirty {
		return
	}
	t.isDirty = false
	if isLeaf(t.self) && !t.stewards.isShown {
		t.attach()
	}
	old := t.moved
	if t.hasMoved {
		t.moved = make(chan struct{})
	}
	t.isOwnersShown = true
	t.events.Show(&View{Self: t.self, Members: t.everyone.show(), Stewards: t.stewards.show(), Owners: t.owners,
		IsLonely: t.isLonely, Moved: t.moved})
	if t.hasMoved {
		t.hasMoved = false
		close(old)
	}
}
