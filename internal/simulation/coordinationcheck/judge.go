package coordinationcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gannetline/internal/control/coordination"
)

// checker collects the violations in a history.
type checker struct {
	history *History
	// retention is how long a watcher may use a revision after receiving it.
	retention  time.Duration
	groups     map[string]*group
	violations []Violation
}

// group holds what is known of the puts to a group of cells. puts maps values to puts.
type group struct {
	puts map[string]*Put
	// shown maps each known revision to its put: those in acknowledgements and other answers, and those that attributeRevisions finds.
	// revisions is the inverse map.
	shown     map[uint64]*Put
	revisions map[*Put]uint64
	// acknowledged lists the acknowledged revisions with the times of the acknowledgements.
	acknowledged []acknowledgement
}

// acknowledgement is the revision of an accepted put to a cell, and the time of the answer.
type acknowledgement struct {
	cell     string
	revision uint64
	at       time.Duration
}

// Judge returns the violations in a history, sorted by time. retention is how long puts must be kept for watchers. undecided counts the
// cells for which checkOrder could not decide whether the calls fit an order.
func Judge(history *History, retention time.Duration) (violations []Violation, undecided int) {
	c := &checker{history: history, retention: retention, groups: map[string]*group{}}
	c.checkHolds()
	c.checkNumbers()
	c.checkPuts()
	c.checkReads()
	c.checkWatches()
	undecided = c.checkOrder()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations, undecided
}

func (c *checker) addViolation(oracle string, at time.Duration, format string, values ...any) {
	c.violations = append(c.violations, Violation{Oracle: oracle, At: at, Text: fmt.Sprintf(format, values...)})
}

// checkHolds compares the holds that different holders have of each lock, pairwise.
func (c *checker) checkHolds() {
	byLock := map[string][]Hold{}
	for _, hold := range c.history.Holds {
		byLock[hold.Lock] = append(byLock[hold.Lock], hold)
	}
	for _, lock := range slices.Sorted(maps.Keys(byLock)) {
		holds := byLock[lock]
		for index, first := range holds {
			for _, second := range holds[index+1:] {
				if first.Holder != second.Holder {
					c.checkHoldPair(first, second)
				}
			}
		}
	}
}

// checkHoldPair checks that two holds of a lock don't overlap, and that their fencing tokens differ and rise. If the second call was sent
// before the first answer came, either token may be the higher one.
func (c *checker) checkHoldPair(first, second Hold) {
	if first.From > second.From {
		first, second = second, first
	}
	if second.From < first.To && second.From < second.To {
		c.addViolation(OracleOneHolder, second.From, "%s got %s with token %d while %s held it with %d until %v", second.Holder, second.Lock,
			second.Fence, first.Holder, first.Fence, first.To)
	}
	if first.Fence == second.Fence || first.From < second.SentAt && first.Fence > second.Fence {
		c.addViolation(OracleFences, second.From, "%s got token %d of %s after %s had %d", second.Holder, second.Fence, second.Lock, first.Holder, first.Fence)
	}
}

// checkNumbers checks the numbers of each name in the order of their answers.
func (c *checker) checkNumbers() {
	byName := map[string][]Number{}
	for _, number := range c.history.Numbers {
		byName[number.Name] = append(byName[number.Name], number)
	}
	for name, numbers := range byName {
		slices.SortFunc(numbers, func(a, b Number) int { return cmp.Compare(a.At, b.At) })
		isIssued := map[uint64]bool{}
		for index, number := range numbers {
			if isIssued[number.Value] {
				c.addViolation(OracleNumbers, number.At, "%d of %s was given twice", number.Value, name)
			}
			isIssued[number.Value] = true
			for _, earlier := range numbers[:index] {
				if earlier.At < number.SentAt && earlier.Value > number.Value {
					c.addViolation(OracleNumbers, number.At, "%d of %s was given after %d", number.Value, name, earlier.Value)
				}
			}
		}
	}
}

// group returns the group with the given name, or the group of the cell with that name.
func (c *checker) group(name string) *group {
	name = coordination.GroupOf(name)
	if c.groups[name] == nil {
		c.groups[name] = &group{puts: map[string]*Put{}, shown: map[uint64]*Put{}, revisions: map[*Put]uint64{}}
	}
	return c.groups[name]
}

// checkPuts records all puts, and then checks their answers.
func (c *checker) checkPuts() {
	for _, put := range c.history.Puts {
		c.group(put.Name).puts[put.Value] = put
	}
	for _, put := range c.history.Puts {
		group := c.group(put.Name)
		for _, answer := range put.Answers {
			if answer.IsTaken && c.recordShown(put.Name, put.Value, answer.Revision, answer.At) {
				group.acknowledged = append(group.acknowledged, acknowledgement{put.Name, answer.Revision, answer.At})
			}
		}
	}
	for _, put := range c.history.Puts {
		c.checkRevision(put)
	}
}

// checkRevision checks that the revision of a put is above all revisions acknowledged before the put was sent.
func (c *checker) checkRevision(put *Put) {
	group := c.group(put.Name)
	revision := group.revisions[put]
	if revision == 0 {
		return
	}
	for _, earlier := range group.acknowledged {
		if earlier.at < put.SentAt && earlier.revision >= revision {
			c.addViolation(OracleRevisions, put.SentAt, "%q got revision %d after %d was acknowledged", put.Value, revision, earlier.revision)
		}
	}
}

// recordShown records that an answer contained a value with a revision, and checks this against the puts. It returns false if nobody put
// the value into the cell.
func (c *checker) recordShown(name, value string, revision uint64, at time.Duration) bool {
	group := c.group(name)
	put := group.puts[value]
	if put == nil || put.Name != name {
		c.addViolation(OracleShown, at, "%s holds %q, which nobody put there", name, value)
		return false
	}
	if other := group.revisions[put]; other != 0 && other != revision {
		c.addViolation(OracleRevisions, at, "%q of %s has the revisions %d and %d", value, name, other, revision)
	}
	if other := group.shown[revision]; other != nil && other != put {
		c.addViolation(OracleRevisions, at, "revision %d belongs to %q and to %q", revision, value, other.Value)
	}
	group.revisions[put], group.shown[revision] = revision, put
	return true
}

// checkReads checks that reads return values that were put, and none older than the puts acknowledged before the read.
func (c *checker) checkReads() {
	for _, read := range c.history.Reads {
		if read.Revision > 0 {
			c.recordShown(read.Name, read.Value, read.Revision, read.At)
		}
		for _, earlier := range c.group(read.Name).acknowledged {
			if earlier.cell == read.Name && earlier.at < read.SentAt && earlier.revision > read.Revision {
				c.addViolation(OracleStale, read.At, "%s was read at revision %d, %d was acknowledged before", read.Name, read.Revision, earlier.revision)
			}
		}
	}
}

// checkWatches checks that watches return all puts in their range of revisions, and that no puts were dropped too soon. It ends with
// checkRefusals, as all shown revisions are recorded by then.
func (c *checker) checkWatches() {
	for _, watch := range c.history.Watches {
		c.checkWatch(watch)
	}
	for _, gone := range c.history.Gone {
		if age := gone.SentAt - gone.GivenAt; age < c.retention {
			c.addViolation(OracleHistory, gone.SentAt, "revision %d of %s is gone %v after it was given", gone.Above, gone.Group, age)
		}
	}
	c.checkRefusals()
}

// checkWatch checks that the events of a watch have consecutive revisions after Above up to Revision, and that a watch with Above 0 isn't
// older than the puts acknowledged before it.
func (c *checker) checkWatch(watch Watch) {
	for _, earlier := range c.group(watch.Group).acknowledged {
		if watch.Above == 0 && earlier.at < watch.SentAt && earlier.revision > watch.Revision {
			c.addViolation(OracleStale, watch.At, "a watch of %s got revision %d, %d was acknowledged before", watch.Group, watch.Revision, earlier.revision)
		}
	}
	if watch.Above == 0 && len(watch.Events) == 0 {
		return
	}
	next := watch.Above + 1
	for _, event := range watch.Events {
		if event.Revision != next {
			c.addViolation(OracleWatches, watch.At, "a watch of %s above %d got revision %d in place of %d", watch.Group, watch.Above, event.Revision, next)
			return
		}
		c.recordShown(event.Name, event.Value, event.Revision, watch.At)
		next++
	}
	if next != watch.Revision+1 {
		c.addViolation(OracleWatches, watch.At, "a watch of %s above %d ends with %d and says %d", watch.Group, watch.Above, next-1, watch.Revision)
	}
}

// checkRefusals checks that no refused put took effect, and that no refusal gives the revision of another cell. It runs after all shown
// revisions are recorded.
func (c *checker) checkRefusals() {
	for _, put := range c.history.Puts {
		group := c.group(put.Name)
		revision, isShown := group.revisions[put]
		if put.IsGivenUp && isShown {
			c.addViolation(OracleRefused, put.SentAt, "%q of %s was refused as not done and has revision %d", put.Value, put.Name, revision)
		}
		for _, answer := range put.Answers {
			if answer.IsTaken {
				continue
			}
			if isShown {
				c.addViolation(OracleRefused, answer.At, "%q of %s was refused at revision %d and has %d", put.Value, put.Name, answer.Revision, revision)
			}
			if other := group.shown[answer.Revision]; other != nil && other.Name != put.Name {
				c.addViolation(OracleShown, answer.At, "%s is said to have revision %d, which is that of %s", put.Name, answer.Revision, other.Name)
			}
		}
	}
}
