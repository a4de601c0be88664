package coordinationcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gannetline/internal/control/coordination"
)

// judge gathers what is wrong with a history.
type judge struct {
	history *History
	// keptFor is how long a revision that a watcher was given stays good.
	keptFor    time.Duration
	groups     map[string]*group
	violations []Violation
}

// group is what is known of the puts of a group of cells.
type group struct {
	puts map[string]*Put
	// shown is the put of each revision that was acknowledged or shown, and revisions the reverse.
	shown     map[uint64]*Put
	revisions map[*Put]uint64
	// acknowledged are the revisions that were acknowledged, by when.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	name     string
	revision uint64
	at       time.Duration
}

// Judge gives what is wrong with a history in which puts are kept for watchers for so long, by time. Undecided counts the cells whose
// calls could not be put in order in time.
func Judge(history *History, keptFor time.Duration) (violations []Violation, undecided int) {
	j := &judge{history: history, keptFor: keptFor, groups: map[string]*group{}}
	j.judgeHolds()
	j.judgeNumbers()
	j.judgePuts()
	j.judgeReads()
	j.judgeWatches()
	undecided = j.judgeOrder()
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations, undecided
}

func (j *judge) violated(oracle string, at time.Duration, format string, values ...any) {
	j.violations = append(j.violations, Violation{Oracle: oracle, At: at, Text: fmt.Sprintf(format, values...)})
}

// judgeHolds compares the holds of each lock with one another.
func (j *judge) judgeHolds() {
	byLock := map[string][]Hold{}
	for _, hold := range j.history.Holds {
		byLock[hold.Lock] = append(byLock[hold.Lock], hold)
	}
	for _, lock := range slices.Sorted(maps.Keys(byLock)) {
		holds := byLock[lock]
		for index, first := range holds {
			for _, second := range holds[index+1:] {
				if first.Holder != second.Holder {
					j.judgeTwoHolds(first, second)
				}
			}
		}
	}
}

func (j *judge) judgeTwoHolds(first, second Hold) {
	if first.From > second.From {
		first, second = second, first
	}
	if second.From < first.To && second.From < second.To {
		j.violated(OracleOneHolder, second.From, "%s got %s with token %d while %s held it with %d until %v", second.Holder, second.Lock,
			second.Fence, first.Holder, first.Fence, first.To)
	}
	if first.Fence == second.Fence || first.From < second.SentAt && first.Fence > second.Fence {
		j.violated(OracleFences, second.From, "%s got token %d of %s after %s had %d", second.Holder, second.Fence, second.Lock, first.Holder, first.Fence)
	}
}

// judgeNumbers goes through the numbers of each name in the order of their answers.
func (j *judge) judgeNumbers() {
	byName := map[string][]Number{}
	for _, number := range j.history.Numbers {
		byName[number.Name] = append(byName[number.Name], number)
	}
	for name, numbers := range byName {
		slices.SortFunc(numbers, func(a, b Number) int { return cmp.Compare(a.At, b.At) })
		given := map[uint64]bool{}
		for index, number := range numbers {
			if given[number.Value] {
				j.violated(OracleNumbers, number.At, "%d of %s was given twice", number.Value, name)
			}
			given[number.Value] = true
			for _, before := range numbers[:index] {
				if before.At < number.SentAt && before.Value > number.Value {
					j.violated(OracleNumbers, number.At, "%d of %s was given after %d", number.Value, name, before.Value)
				}
			}
		}
	}
}

// group gives what is known of the group of a cell, or of a group itself.
func (j *judge) group(name string) *group {
	name = coordination.GroupOf(name)
	if j.groups[name] == nil {
		j.groups[name] = &group{puts: map[string]*Put{}, shown: map[uint64]*Put{}, revisions: map[*Put]uint64{}}
	}
	return j.groups[name]
}

// judgePuts notes all puts, and goes through their answers.
func (j *judge) judgePuts() {
	for _, put := range j.history.Puts {
		j.group(put.Name).puts[put.Value] = put
	}
	for _, put := range j.history.Puts {
		group := j.group(put.Name)
		for _, answer := range put.Answers {
			if answer.IsTaken && j.show(put.Name, put.Value, answer.Revision, answer.At) {
				group.acknowledged = append(group.acknowledged, acknowledgement{put.Name, answer.Revision, answer.At})
			}
		}
	}
	for _, put := range j.history.Puts {
		j.judgeRevision(put)
	}
}

// judgeRevision looks whether the revision of a put is above all that were acknowledged before it was sent.
func (j *judge) judgeRevision(put *Put) {
	group := j.group(put.Name)
	revision := group.revisions[put]
	if revision == 0 {
		return
	}
	for _, before := range group.acknowledged {
		if before.at < put.SentAt && before.revision >= revision {
			j.violated(OracleRevisions, put.SentAt, "%q got revision %d after %d was acknowledged", put.Value, revision, before.revision)
		}
	}
}

// show notes that a value was shown under a revision, and looks whether that may be; it is false for a value that nobody put there.
func (j *judge) show(name, value string, revision uint64, at time.Duration) bool {
	group := j.group(name)
	put := group.puts[value]
	if put == nil || put.Name != name {
		j.violated(OracleShown, at, "%s holds %q, which nobody put there", name, value)
		return false
	}
	if other := group.revisions[put]; other != 0 && other != revision {
		j.violated(OracleRevisions, at, "%q of %s has the revisions %d and %d", value, name, other, revision)
	}
	if other := group.shown[revision]; other != nil && other != put {
		j.violated(OracleRevisions, at, "revision %d belongs to %q and to %q", revision, value, other.Value)
	}
	group.revisions[put], group.shown[revision] = revision, put
	return true
}

// judgeReads looks whether reads show what was put, and nothing older than what was acknowledged before them.
func (j *judge) judgeReads() {
	for _, read := range j.history.Reads {
		if read.Revision > 0 {
			j.show(read.Name, read.Value, read.Revision, read.At)
		}
		for _, before := range j.group(read.Name).acknowledged {
			if before.name == read.Name && before.at < read.SentAt && before.revision > read.Revision {
				j.violated(OracleStale, read.At, "%s was read at revision %d, %d was acknowledged before", read.Name, read.Revision, before.revision)
			}
		}
	}
}

// judgeWatches looks whether watches show all puts of their span, and whether any was told too soon that puts are gone.
func (j *judge) judgeWatches() {
	for _, watch := range j.history.Watches {
		j.judgeWatch(watch)
	}
	for _, gone := range j.history.Gone {
		if age := gone.SentAt - gone.GivenAt; age < j.keptFor {
			j.violated(OracleHistory, gone.SentAt, "revision %d of %s is gone %v after it was given", gone.Above, gone.Group, age)
		}
	}
	j.judgeRefusals()
}

func (j *judge) judgeWatch(watch Watch) {
	for _, before := range j.group(watch.Group).acknowledged {
		if watch.Above == 0 && before.at < watch.SentAt && before.revision > watch.Revision {
			j.violated(OracleStale, watch.At, "a watch of %s got revision %d, %d was acknowledged before", watch.Group, watch.Revision, before.revision)
		}
	}
	if watch.Above == 0 && len(watch.Events) == 0 {
		return
	}
	next := watch.Above + 1
	for _, event := range watch.Events {
		if event.Revision != next {
			j.violated(OracleWatches, watch.At, "a watch of %s above %d got revision %d in place of %d", watch.Group, watch.Above, event.Revision, next)
			return
		}
		j.show(event.Name, event.Value, event.Revision, watch.At)
		next++
	}
	if next != watch.Revision+1 {
		j.violated(OracleWatches, watch.At, "a watch of %s above %d ends with %d and says %d", watch.Group, watch.Above, next-1, watch.Revision)
	}
}

// judgeRefusals looks for puts that were refused and took effect, once all that was shown is known.
func (j *judge) judgeRefusals() {
	for _, put := range j.history.Puts {
		group := j.group(put.Name)
		revision, isShown := group.revisions[put]
		if put.IsGivenUp && isShown {
			j.violated(OracleRefused, put.SentAt, "%q of %s was refused as not done and has revision %d", put.Value, put.Name, revision)
		}
		for _, answer := range put.Answers {
			if answer.IsTaken {
				continue
			}
			if isShown {
				j.violated(OracleRefused, answer.At, "%q of %s was refused at revision %d and has %d", put.Value, put.Name, answer.Revision, revision)
			}
			if other := group.shown[answer.Revision]; other != nil && other.Name != put.Name {
				j.violated(OracleShown, answer.At, "%s is said to have revision %d, which is that of %s", put.Name, answer.Revision, other.Name)
			}
		}
	}
}
