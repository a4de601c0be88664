// Package placement decides which executor runs which task. It knows neither clock nor network.
package placement

import (
	"cmp"
	"maps"
	"slices"
)

// Resources is an amount of resources: CPU units, memory in MB, and GPUs.
type Resources struct{ CPU, Memory, GPU int64 }

// Fits says whether the need is no more than this room in each resource.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.Memory <= r.Memory && need.GPU <= r.GPU
}

// Minus subtracts resource by resource; the result may be negative.
func (r Resources) Minus(need Resources) Resources {
	return Resources{r.CPU - need.CPU, r.Memory - need.Memory, r.GPU - need.GPU}
}

// Plus adds resource by resource.
func (r Resources) Plus(need Resources) Resources {
	return Resources{r.CPU + need.CPU, r.Memory + need.Memory, r.GPU + need.GPU}
}

// Times multiplies each resource, rounded towards zero.
func (r Resources) Times(factor float64) Resources {
	return Resources{int64(float64(r.CPU) * factor), int64(float64(r.Memory) * factor), int64(float64(r.GPU) * factor)}
}

// AtLeast is the larger of the two in each resource.
func (r Resources) AtLeast(other Resources) Resources {
	return Resources{max(r.CPU, other.CPU), max(r.Memory, other.Memory), max(r.GPU, other.GPU)}
}

// AtMost is the smaller of the two in each resource.
func (r Resources) AtMost(other Resources) Resources {
	return Resources{min(r.CPU, other.CPU), min(r.Memory, other.Memory), min(r.GPU, other.GPU)}
}

// Executor is what placement knows of an executor: its free and total room, its labels and rack. IsUnschedulable takes no
// new runs; a higher Doubt makes it a later choice.
type Executor struct {
	Free            Resources
	Total           Resources
	Labels          []string
	Rack            string
	IsUnschedulable bool
	Penalty         float64
	// RunLimit is how many runs may be added where trust is to be earned first; 0 sets no bound, NoRuns adds none.
	RunLimit int
}

// NoRuns is the Most of an executor that has as many runs as it is trusted with.
const NoRuns = -1

// isShut tells whether only first runs, if any, may be added.
func (e *Executor) isShut() bool { return e.IsUnschedulable || e.RunLimit == NoRuns }

// Group is the tasks of one step that may start now; they all ask for the same. Executors are named by their place;
// Held counts those that hold tasks of the step already, and matters only with Apart.
type Group struct {
	Need     Resources
	Count    int
	IsGang   bool
	SameRack bool
	Labels   []string
	Locality []string
	// IsLocalityRequired keeps the tasks waiting for room near their data.
	IsLocalityRequired bool
	AntiAffinity       int
	RunsByExecutor     map[int]int
	Avoided            []int
	ExcludedIndices    []int
	Excluded           []bool
	IsSpeculative      bool
	IsLong             bool
	// IsIdle tells that none of the step's tasks runs, so that its first run, or its gang, may go past soft limits.
	IsIdle   bool
	Priority int
	Deadline DeadlineClass
	Due      int64
}

// DeadlineClass is what a group's job can still earn. Within a priority what may be in time goes before what is late, and
// what comes too late for anything goes after all others.
type DeadlineClass int

const (
	// OnTime may still be in time.
	OnTime DeadlineClass = iota
	// Late is late already but still earns something.
	Late
	// Expired earns nothing any more.
	Expired
)

// Placement is one start: the number of the group and the place of the executor.
type Placement struct{ Group, Executor int }

// Queue is groups in the order of CompareGroups, the spares after them, and a room that none needs less than.
// Spares are numbered on from the groups.
type Queue struct {
	Groups      []*Group
	Speculative []*Group
	MinNeed     Resources
}

// Limits are the soft limits of a placement. Left is what long work of a priority may still take of all room
// together; a priority without an entry may take all there is. As long as less CPU than FirstRunCPU has been given out,
// Left, reservations and the Most of executors keep no step from its first run.
type Limits struct {
	Remaining   map[int]Resources
	FirstRunCPU int64
}

// Place gives the starts that fit, in the order of the line.
func Place(executors []Executor, line Queue, limits Limits) []Placement {
	if len(line.Groups)+len(line.Speculative) == 0 {
		return nil
	}
	turn := newTurn(executors, line.MinNeed, limits.FirstRunCPU)
	turn.placeAll(line.Groups, 0, limits.Remaining)
	turn.placeAll(line.Speculative, len(line.Groups), limits.Remaining)
	return turn.placed
}

func (t *turn) placeAll(groups []*Group, number int, left map[int]Resources) {
	for place, group := range groups {
		if t.isOver {
			return
		}
		allowance := allowanceOf(left, group)
		if group.IsGang {
			t.placeGang(group, number+place, allowance)
			continue
		}
		t.placeSingles(group, number+place, allowance)
	}
}

// CompareGroups orders the groups of a line: what is too late after all others, then by priority, by what can be in
// time, and by what is due.
func CompareGroups(one, two *Group) int {
	if one.isTooLate() != two.isTooLate() {
		if two.isTooLate() {
			return -1
		}
		return 1
	}
	if one.Priority != two.Priority {
		return cmp.Compare(one.Priority, two.Priority)
	}
	if one.Deadline != two.Deadline {
		return cmp.Compare(one.Deadline, two.Deadline)
	}
	return cmp.Compare(one.Due, two.Due)
}

func (g *Group) isTooLate() bool { return g.Deadline == Expired }

// allowance is what one priority may still take.
type allowance struct {
	left     map[int]Resources
	priority int
	isBound  bool
}

func allowanceOf(left map[int]Resources, group *Group) allowance {
	if !group.IsLong {
		return allowance{left: left, priority: group.Priority}
	}
	_, isBound := left[group.Priority]
	return allowance{left, group.Priority, isBound}
}

func (a allowance) covers(need Resources) bool {
	if !a.isBound {
		return true
	}
	room := a.left[a.priority]
	return need.CPU <= room.CPU && need.Memory <= room.Memory
}

// spend counts against this priority and all below it.
func (a allowance) spend(need Resources) {
	for priority, room := range a.left {
		if priority >= a.priority {
			a.left[priority] = room.Minus(need)
		}
	}
}

// turn is one placement under way. Room only shrinks while it lasts, so what found no room once finds none later,
// and only executors with room for the least need of all can be chosen. Gangs may use reserved executors, others not.
type turn struct {
	executors  []Executor
	least      Resources
	candidates []candidate
	sizes      []*size
	open       int
	most       Resources
	isMostOld  bool
	isOver     bool
	failed     misses
	failedAny  misses
	firstRuns  int64
	smallest   Resources
	placed     []Placement
}

// candidate is an executor that had room when the turn began, and what it has now.
type candidate struct {
	place      int
	free       Resources
	isReserved bool
	added      int
}

func newTurn(executors []Executor, least Resources, firstRuns int64) *turn {
	t := &turn{executors: executors, least: least, firstRuns: firstRuns}
	for place := range executors {
		executor := &executors[place]
		if executor.IsUnschedulable {
			continue
		}
		if !executor.isShut() {
			if t.open == 0 {
				t.smallest = executor.Total
			}
			t.smallest = t.smallest.AtMost(executor.Total)
			t.open++
		}
		if executor.Free.Fits(t.least) {
			t.candidates = append(t.candidates, candidate{place: place, free: executor.Free})
		}
	}
	t.measure()
	return t
}

// measure works out the most room that any executor has for single tasks; it is too much once something was placed.
// It also finds out when no executor, reserved or not, has room for anything.
func (t *turn) measure() {
	t.most, t.isMostOld, t.isOver = Resources{CPU: -1, Memory: -1, GPU: -1}, false, true
	for place := range t.candidates {
		one := &t.candidates[place]
		hasMost := t.hasMost(one)
		if hasMost && t.firstRuns <= 0 {
			continue
		}
		t.isOver = t.isOver && !one.free.Fits(t.least)
		if !one.isReserved && !hasMost {
			t.most = t.most.AtLeast(one.free)
		}
	}
}

// hasMost tells whether an executor was given all that it may have in this turn.
func (t *turn) hasMost(one *candidate) bool {
	most := t.executors[one.place].RunLimit
	return most != 0 && one.added >= max(0, most)
}

// mayGoPast tells whether soft limits give way to a group, as far as nothing of its step runs.
func (t *turn) mayGoPast(group *Group) bool {
	return group.IsIdle && !group.IsSpeculative && t.firstRuns > 0
}

// hasNoRoom rejects at once a single task that certainly fits nowhere.
func (t *turn) hasNoRoom(group *Group) bool {
	return t.open == 0 || !t.most.Fits(group.Need) || t.failed.covers(group)
}

// noteFailure remembers a need that fits nowhere.
func (t *turn) noteFailure(group *Group) {
	if t.isMostOld {
		t.measure()
	}
	if !t.hasNoRoom(group) {
		t.failed.note(group)
	}
}

func (t *turn) placeSingles(group *Group, number int, allowance allowance) {
	held := group.RunsByExecutor
	if group.AntiAffinity > 0 {
		held = heldBy(group)
	}
	for count := range group.Count {
		mayGoPast := count == 0 && t.mayGoPast(group)
		if !mayGoPast && !allowance.covers(group.Need) {
			return
		}
		var best *candidate
		if !t.hasNoRoom(group) {
			best = t.choose(group, held, "", softly)
		}
		if best == nil && mayGoPast {
			best = t.chooseAny(group, held)
		}
		if best == nil {
			t.fail(group)
			return
		}
		t.take(group, held, best)
		allowance.spend(group.Need)
		t.placed = append(t.placed, Placement{number, best.place})
	}
}

// chooseAny gives the best executor for a first run, past all soft limits.
func (t *turn) chooseAny(group *Group, held map[int]int) *candidate {
	if t.failedAny.covers(group) {
		return nil
	}
	best := t.choose(group, held, "", pastLimits)
	if best == nil {
		t.failedAny.note(group)
	}
	return best
}

func (t *turn) fail(group *Group) {
	if !t.hasNoRoom(group) {
		t.noteFailure(group)
	}
	if !group.IsSpeculative && !group.IsLocalityRequired && t.open > 0 && !t.isOver {
		t.reserve(group)
	}
}

func heldBy(group *Group) map[int]int {
	held := maps.Clone(group.RunsByExecutor)
	if held == nil {
		held = map[int]int{}
	}
	return held
}

func (t *turn) take(group *Group, held map[int]int, one *candidate) {
	one.free = one.free.Minus(group.Need)
	one.added++
	t.firstRuns -= group.Need.CPU
	t.isMostOld = true
	if group.AntiAffinity > 0 {
		held[one.place]++
	}
}

func (t *turn) allows(group *Group, held map[int]int, place int) bool {
	if len(group.Excluded) > place && group.Excluded[place] || slices.Contains(group.ExcludedIndices, place) {
		return false
	}
	if group.AntiAffinity > 0 && held[place] >= group.AntiAffinity || group.IsLocalityRequired && !isNear(&t.executors[place], group) {
		return false
	}
	for _, label := range group.Labels {
		if !slices.Contains(t.executors[place].Labels, label) {
			return false
		}
	}
	return true
}

// strictness says whether soft limits hold: reservations, which gangs may always use, and the Most of executors.
type strictness bool

const (
	softly     strictness = true
	pastLimits strictness = false
)

func (t *turn) isLimited(group *Group, one *candidate, limits strictness) bool {
	return limits == softly && (one.isReserved && !group.IsGang || t.hasMost(one))
}

// choose gives the best executor for one task, on one rack if that is named, or nil.
func (t *turn) choose(group *Group, held map[int]int, rack string, limits strictness) *candidate {
	var best *candidate
	bestScore := 0.0
	for number := range t.candidates {
		one := &t.candidates[number]
		executor := &t.executors[one.place]
		if !one.free.Fits(group.Need) || t.isLimited(group, one, limits) ||
			rack != "" && executor.Rack != rack || !t.allows(group, held, one.place) {
			continue
		}
		score := rate(executor, one.free, group)
		if slices.Contains(group.Avoided, one.place) {
			score += 20
		}
		if best == nil || score < bestScore {
			best, bestScore = one, score
		}
	}
	return best
}

// rate is lower for better executors: near the data first, then trusted, then tightly filled.
func rate(executor *Executor, free Resources, group *Group) float64 {
	score := executor.Penalty * 10
	if len(group.Locality) > 0 && !isNear(executor, group) {
		score += 5
	}
	left := free.Minus(group.Need)
	if executor.Total.CPU > 0 {
		score += float64(left.CPU) / float64(executor.Total.CPU)
	}
	if executor.Total.Memory > 0 {
		score += 0.5 * float64(left.Memory) / float64(executor.Total.Memory)
	}
	return score
}

func isNear(executor *Executor, group *Group) bool {
	return slices.ContainsFunc(group.Locality, func(label string) bool { return slices.Contains(executor.Labels, label) })
}

func (t *turn) placeGang(group *Group, number int, allowance allowance) {
	whole, mayGoPast := group.Need.Times(float64(group.Count)), t.mayGoPast(group)
	if !mayGoPast && !allowance.covers(whole) {
		return
	}
	taken := t.findGang(group, softly)
	if taken == nil && mayGoPast {
		taken = t.findGang(group, pastLimits)
	}
	for _, one := range taken {
		t.placed = append(t.placed, Placement{number, one.place})
	}
	allowance.spend(group.Need.Times(float64(len(taken))))
}

// findGang takes the room of a whole gang, or none.
func (t *turn) findGang(group *Group, limits strictness) []*candidate {
	if !t.hasSlots(group, "") {
		return nil
	}
	if group.SameRack {
		for _, rack := range t.racksByFree() {
			if taken := t.fillGang(group, rack, limits); taken != nil {
				return taken
			}
		}
	}
	return t.fillGang(group, "", limits)
}

func (t *turn) racksByFree() []string {
	total := map[string]int64{}
	for place := range t.executors {
		if executor := &t.executors[place]; !executor.IsUnschedulable && executor.Rack != "" {
			total[executor.Rack] += executor.Free.CPU
		}
	}
	for _, one := range t.candidates {
		if executor := &t.executors[one.place]; executor.Rack != "" {
			total[executor.Rack] += one.free.CPU - executor.Free.CPU
		}
	}
	racks := slices.Collect(maps.Keys(total))
	slices.SortFunc(racks, func(one, two string) int {
		return cmp.Or(cmp.Compare(total[two], total[one]), cmp.Compare(one, two))
	})
	return racks
}

func (t *turn) fillGang(group *Group, rack string, limits strictness) []*candidate {
	if !t.hasSlots(group, rack) {
		return nil
	}
	held := heldBy(group)
	var taken []*candidate
	for range group.Count {
		best := t.choose(group, held, rack, limits)
		if best == nil {
			for _, one := range taken {
				one.free = one.free.Plus(group.Need)
				one.added--
				t.firstRuns += group.Need.CPU
			}
			return nil
		}
		t.take(group, held, best)
		taken = append(taken, best)
	}
	return taken
}

// hasSlots tells whether a gang could fit if size were all that counts.
func (t *turn) hasSlots(group *Group, rack string) bool {
	count := int64(0)
	for _, one := range t.candidates {
		if rack == "" || t.executors[one.place].Rack == rack {
			count += one.free.slots(group.Need, int64(group.Count))
		}
		if count >= int64(group.Count) {
			return true
		}
	}
	return false
}

// slots is how often a need fits, counted no further than most.
func (r Resources) slots(need Resources, most int64) int64 {
	if !r.Fits(need) {
		return 0
	}
	if need.CPU > 0 {
		most = min(most, r.CPU/need.CPU)
	}
	if need.Memory > 0 {
		most = min(most, r.Memory/need.Memory)
	}
	if need.GPU > 0 {
		most = min(most, r.GPU/need.GPU)
	}
	return most
}
