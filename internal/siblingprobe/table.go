// Package siblingprobe knows the system's processes: probes in turn, second opinions, suspicion before
// removal; the same datagrams carry news, and digests that show gaps.
package siblingprobe

import (
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gannetline/internal/pulse"
	"gannetline/internal/siblingwire"
)

type Member = siblingwire.Member

type Timing struct {
	Period        time.Duration
	AnswerWait    time.Duration
	SuspectFor    time.Duration
	ForgetAfter   time.Duration
	Fanout        int
	SecondOpinion int
}

var DefaultTiming = Timing{Period: 700 * time.Millisecond, AnswerWait: 250 * time.Millisecond,
	SuspectFor: 2500 * time.Millisecond, ForgetAfter: 120 * time.Second, Fanout: 3, SecondOpinion: 2}

const (
	kindPing  = "ping"
	kindAck   = "ack"
	kindAsk   = "ask"
	kindNews  = "news"
	mostNews  = 5
	mostPast  = 4
	newsTimes = 4

	planRounds = 4
)

type entry struct {
	member  Member
	since   time.Duration
	heardAt time.Duration
}

type probe struct {
	name    string
	began   time.Duration
	isAsked bool
}

type relay struct {
	to     string
	number uint64
}

// View is what the table shows to the rest of the process; it is never changed after it is made.
type View struct {
	Self    Member
	Members []Member
	Owners  map[string]siblingwire.OwnerFact
	// Moved is closed once any key has another owner than this view says.
	Moved chan struct{}
}

type Events struct {
	Send      func(address string, datagram siblingwire.Datagram)
	Show      func(*View)
	PlanAhead func(sibling Member, version int64)
	Differ    func(sibling Member)
}

// Table has no goroutine of its own; its owner calls it.
type Table struct {
	self     Member
	clock    pulse.Pulse
	timing   Timing
	events   Events
	draw     *rand.Rand
	entries  map[string]*entry
	owners   map[string]siblingwire.OwnerFact
	plan     int64
	order    []string
	number   uint64
	probes   map[uint64]probe
	relays   map[uint64]relay
	hot      map[string]int
	hash     uint32
	lastTick time.Duration
	differAt time.Duration
	isDirty  bool
	rounds   int

	planRounds int
	moved      chan struct{}
	hasMoved   bool
}

func NewTable(self Member, clock pulse.Pulse, timing Timing, seed uint64, events Events) *Table {
	table := &Table{self: self, clock: clock, timing: timing, events: events, draw: rand.New(rand.NewPCG(seed, 7)),
		entries: map[string]*entry{}, owners: map[string]siblingwire.OwnerFact{}, probes: map[uint64]probe{},
		relays: map[uint64]relay{}, hot: map[string]int{}, isDirty: true, moved: make(chan struct{})}
	table.lastTick = clock.Steady()
	return table
}

func Name(member Member) string { return member.Name + "/" + member.Role }

func (t *Table) Self() Member { return t.self }

// Merge takes one record; it tells whether it was news.
func (t *Table) Merge(member Member) bool {
	name := Name(member)
	if name == Name(t.self) {
		t.refute(member)
		return false
	}
	now := t.clock.Steady()
	known := t.entries[name]
	if known == nil {
		t.entries[name] = &entry{member: member, since: now, heardAt: now}
		t.noteNews(name)
		return true
	}
	old := known.member
	if member.Incarnation < old.Incarnation || member.Incarnation == old.Incarnation && member.State <= old.State {
		return false
	}
	member.Past = joinPast(old, member)
	known.member = member
	if old.State != member.State || old.Incarnation != member.Incarnation {
		known.since = now
	}
	t.noteNews(name)
	return true
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
	if belief.Incarnation < t.self.Incarnation || belief.Incarnation == t.self.Incarnation && belief.State == siblingwire.StateAlive {
		return
	}
	t.self.Past = joinPast(belief, t.self)
	t.self.Incarnation = belief.Incarnation + 1
	t.isDirty = true
	t.Spread()
}

func (t *Table) noteNews(name string) {
	t.hot[name] = newsTimes
	t.isDirty = true
}

// MergeOwner takes word of a key's owner; the higher epoch counts.
func (t *Table) MergeOwner(fact siblingwire.OwnerFact) bool {
	if known, isThere := t.owners[fact.Key]; isThere && known.Epoch >= fact.Epoch {
		return false
	}
	t.owners[fact.Key] = fact
	t.isDirty, t.hasMoved = true, true
	return true
}

func (t *Table) HoldsPlan(version int64) {
	if version > t.plan {
		t.plan = version
		t.planRounds = planRounds
		t.spreadPlan()
	}
}

// spreadPlan tells those who hold plans; proxies don't, and would not pass it on.
func (t *Table) spreadPlan() {
	t.Settle()
	for _, name := range t.some(2*t.timing.Fanout, func(one Member) bool { return one.Role != "local-proxy" }) {
		t.send(t.entries[name].member.Address, kindNews, 0, "", nil)
	}
}

func (t *Table) digest() siblingwire.Digest {
	owners := slices.Collect(maps.Values(t.owners))
	slices.SortFunc(owners, func(one, two siblingwire.OwnerFact) int {
		if one.Key < two.Key {
			return -1
		}
		return 1
	})
	return siblingwire.Digest{Plan: t.plan, Members: t.hash, Owners: owners}
}

func (t *Table) Digest() siblingwire.Digest { return t.digest() }

func (t *Table) heed(from Member, digest siblingwire.Digest) {
	isNews := false
	for _, fact := range digest.Owners {
		isNews = t.MergeOwner(fact) || isNews
	}
	if digest.Plan > t.plan {
		t.events.PlanAhead(from, digest.Plan)
	}
	if isNews {
		t.Spread()
	}
	now := t.clock.Steady()
	if digest.Members != t.hash && now-t.differAt > 2*t.timing.Period {
		t.differAt = now
		t.events.Differ(from)
	}
}

// TakeAll merges a sibling's whole list.
func (t *Table) TakeAll(from Member, members []Member, digest siblingwire.Digest) {
	for _, member := range members {
		t.Merge(member)
	}
	t.heed(from, digest)
	t.Settle()
}

func (t *Table) All() []Member {
	all := []Member{t.self}
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		all = append(all, t.entries[name].member)
	}
	return all
}

// Hear takes one datagram.
func (t *Table) Hear(datagram siblingwire.Datagram) {
	name := Name(datagram.From)
	if name == Name(t.self) {
		return
	}
	t.Merge(datagram.From)
	for _, member := range datagram.News {
		t.Merge(member)
	}
	known := t.entries[name]
	if known != nil {
		known.heardAt = t.clock.Steady()
	}
	switch datagram.Kind {
	case kindPing:
		t.send(datagram.From.Address, kindAck, datagram.Number, "", t.beliefAbout(name))
	case kindAck:
		t.hearAck(datagram)
	case kindAsk:
		t.relay(datagram)
	}
	t.heed(datagram.From, datagram.Digest)
	t.Settle()
}

func (t *Table) beliefAbout(name string) []Member {
	if known := t.entries[name]; known != nil && known.member.State != siblingwire.StateAlive {
		return []Member{known.member}
	}
	return nil
}

func (t *Table) hearAck(datagram siblingwire.Datagram) {
	if pending, isThere := t.relays[datagram.Number]; isThere {
		delete(t.relays, datagram.Number)
		t.send(pending.to, kindAck, pending.number, "", nil)
		return
	}
	delete(t.probes, datagram.Number)
}

func (t *Table) relay(datagram siblingwire.Datagram) {
	target := t.entries[datagram.Target]
	if target == nil || len(t.relays) > 64 {
		return
	}
	t.number++
	t.relays[t.number] = relay{datagram.From.Address, datagram.Number}
	t.send(target.member.Address, kindPing, t.number, "", nil)
}

func (t *Table) send(address, kind string, number uint64, target string, news []Member) {
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
	t.events.Send(address, siblingwire.Datagram{Kind: kind, Number: number, From: t.self, Target: target, News: news, Digest: t.digest()})
}

// Spread passes news on to a few others at once.
func (t *Table) Spread() {
	t.Settle()
	for _, name := range t.some(t.timing.Fanout, anyone) {
		t.send(t.entries[name].member.Address, kindNews, 0, "", nil)
	}
}

func anyone(Member) bool { return true }

func (t *Table) some(count int, isFit func(Member) bool) []string {
	var alive []string
	for _, name := range slices.Sorted(maps.Keys(t.entries)) {
		if t.entries[name].member.State == siblingwire.StateAlive && isFit(t.entries[name].member) {
			alive = append(alive, name)
		}
	}
	t.draw.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// Tick is called a few times a period.
func (t *Table) Tick() {
	now := t.clock.Steady()
	isLate := now-t.lastTick > 2*t.timing.Period
	t.lastTick = now
	if isLate {
		clear(t.probes)
		for _, one := range t.entries {
			one.since = max(one.since, now)
			one.heardAt = now
		}
	}
	t.followProbes(now)
	t.age(now)
	if t.planRounds > 0 {
		t.planRounds--
		t.spreadPlan()
	}
	t.rounds++
	if t.rounds%2 == 0 {
		t.probeNext(now)
	}
	t.Settle()
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
			for _, helper := range t.some(t.timing.SecondOpinion, func(other Member) bool { return Name(other) != one.name }) {
				t.send(t.entries[helper].member.Address, kindAsk, number, one.name, nil)
			}
		}
	}
	if len(t.relays) > 32 {
		clear(t.relays)
	}
}

func (t *Table) suspect(name string) {
	if known := t.entries[name]; known.member.State == siblingwire.StateAlive {
		known.member.State = siblingwire.StateSuspect
		known.since = t.clock.Steady()
		t.noteNews(name)
	}
}

func (t *Table) age(now time.Duration) {
	for name, known := range t.entries {
		switch known.member.State {
		case siblingwire.StateSuspect:
			if now-known.since > t.timing.SuspectFor {
				known.member.State, known.since = siblingwire.StateGone, now
				t.noteNews(name)
			}
		case siblingwire.StateGone:
			if now-known.since > t.timing.ForgetAfter {
				delete(t.entries, name)
				t.isDirty = true
			}
		}
	}
}

func (t *Table) probeNext(now time.Duration) {
	if len(t.order) == 0 {
		for name, known := range t.entries {
			if known.member.State != siblingwire.StateGone || t.draw.IntN(3) == 0 {
				t.order = append(t.order, name)
			}
		}
		slices.Sort(t.order)
		t.draw.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
	}
	for len(t.order) > 0 {
		name := t.order[0]
		t.order = t.order[1:]
		if known := t.entries[name]; known != nil {
			t.number++
			t.probes[t.number] = probe{name: name, began: now}
			t.send(known.member.Address, kindPing, t.number, "", t.beliefAbout(name))
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
	all := t.All()
	sum := crc32.NewIEEE()
	slices.SortFunc(all, func(one, two Member) int {
		if Name(one) < Name(two) {
			return -1
		}
		return 1
	})
	for _, member := range all {
		sum.Write([]byte(Name(member)))
		sum.Write(strconv.AppendUint(nil, member.Incarnation, 36))
		sum.Write([]byte{byte(member.State)})
	}
	t.hash = sum.Sum32()
	old := t.moved
	if t.hasMoved {
		t.moved = make(chan struct{})
	}
	t.events.Show(&View{Self: t.self, Members: all, Owners: maps.Clone(t.owners), Moved: t.moved})
	if t.hasMoved {
		t.hasMoved = false
		close(old)
	}
}
