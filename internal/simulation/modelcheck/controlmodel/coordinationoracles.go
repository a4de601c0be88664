package controlmodel

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordination"
)

// belief is a caller's opinion that it holds a lock, until a moment of its own steady clock.
type belief struct {
	fence uint64
	until time.Duration
}

// givenFence is a fencing token that a holder received.
type givenFence struct {
	holder string
	fence  uint64
	at     time.Duration
}

// lockHistory is what callers know of a lock.
type lockHistory struct {
	beliefs map[string]*belief
	fences  []givenFence
}

// lock gives the history of a lock.
func (s *coordinationService) lock(name string) *lockHistory {
	if s.locks[name] == nil {
		s.locks[name] = &lockHistory{beliefs: map[string]*belief{}}
	}
	return s.locks[name]
}

// noteAcquired is the oracle of locks: nobody else takes itself for the holder now, and the token is above all that others received
// before the call was sent.
func (s *coordinationService) noteAcquired(name, holder string, fence uint64, sentAt, until time.Duration) {
	w, history := s.cluster, s.lock(name)
	for _, given := range history.fences {
		if given.holder != holder && (given.fence == fence || given.at < sentAt && given.fence > fence) {
			w.violated("fences rise", "%s got %d for %s, %s had %d", holder, fence, name, given.holder, given.fence)
		}
	}
	history.fences = append(history.fences, givenFence{holder, fence, w.now})
	w.springTraps()
	if w.now >= until {
		delete(history.beliefs, holder)
		return
	}
	for other, belief := range history.beliefs {
		if other != holder && w.now < belief.until {
			w.violated("one holder", "%s got %s with %d while %s holds it with %d for %v", holder, name, fence, other, belief.fence, belief.until-w.now)
		}
	}
	history.beliefs[holder] = &belief{fence, until}
}

// noteRenewed gives a holder more time, if its time is not over yet.
func (s *coordinationService) noteRenewed(name, holder string, until time.Duration) bool {
	held := s.lock(name).beliefs[holder]
	if held == nil || s.cluster.now >= held.until {
		return false
	}
	held.until = max(held.until, until)
	return true
}

// numberHistory is what callers got under a name.
type numberHistory struct {
	given   map[uint64]bool
	highest uint64
	// highestBy is the highest number that was given by a moment, in the order of the moments.
	highestBy []givenNumber
}

type givenNumber struct {
	value uint64
	at    time.Duration
}

// noteNumber is the oracle of numbers: none is given twice, and each is above all that were given before its call was sent.
func (s *coordinationService) noteNumber(name string, value uint64, sentAt time.Duration) {
	history := s.numbers[name]
	if history == nil {
		history = &numberHistory{given: map[uint64]bool{}}
		s.numbers[name] = history
	}
	if history.given[value] {
		s.cluster.violated("numbers rise", "%d of %s was given twice", value, name)
	}
	for _, before := range history.highestBy {
		if before.at < sentAt && before.value >= value {
			s.cluster.violated("numbers rise", "%d of %s was given after %d", value, name, before.value)
			return
		}
	}
	history.given[value] = true
	history.highest = max(history.highest, value)
	history.highestBy = append(history.highestBy, givenNumber{history.highest, s.cluster.now})
	s.cluster.springTraps()
}

// modelPut is one put, over all times that it was sent.
type modelPut struct {
	name, value string
	expected    uint64
	begun       time.Duration
	// ended is when it got its first clear answer, or 0.
	ended time.Duration
	// revision is the one under which it was acknowledged or shown; 0 is none.
	revision uint64
	// isOpen tells that an attempt had no clear answer; isGivenUp that it was given up after refusals alone.
	isOpen, isGivenUp bool
	// refusedFor is the revision that its cell had when it was refused, if isRefused.
	isRefused  bool
	refusedFor uint64
}

// modelRead is a read of a cell.
type modelRead struct {
	held         wire.CellAnswer
	begun, ended time.Duration
}

// groupHistory is what callers know of a group of cells.
type groupHistory struct {
	puts map[string]*modelPut
	// shown is the put of each revision that was acknowledged or shown.
	shown map[uint64]*modelPut
	// acknowledged is the highest revision of each cell that was acknowledged, and highest that of the group.
	acknowledged map[string]uint64
	highest      uint64
	reads        map[string][]modelRead
}

// group gives the history of the group to which a cell belongs, or of the group itself.
func (s *coordinationService) group(name string) *groupHistory {
	name = coordination.GroupOf(name)
	if s.groups[name] == nil {
		s.groups[name] = &groupHistory{puts: map[string]*modelPut{}, shown: map[uint64]*modelPut{}, acknowledged: map[string]uint64{},
			reads: map[string][]modelRead{}}
	}
	return s.groups[name]
}

// noteShown is the oracle of all that shows a value under a revision: somebody put it there, it has no other revision, the revision has
// no other put, and it was not refused.
func (s *coordinationService) noteShown(name, value string, revision uint64) *modelPut {
	w, group := s.cluster, s.group(name)
	put := group.puts[value]
	switch {
	case put == nil || put.name != name:
		w.violated("shown values were put", "%s holds %q, which nobody put there", name, value)
		return nil
	case put.revision != 0 && put.revision != revision:
		w.violated("one revision a put", "%q of %s has the revisions %d and %d", value, name, put.revision, revision)
	case group.shown[revision] != nil && group.shown[revision] != put:
		w.violated("revisions rise", "revision %d belongs to %q and to %q", revision, value, group.shown[revision].value)
	case put.isGivenUp:
		w.violated("refused is never shown", "%q of %s was refused as not done and has revision %d", value, name, revision)
	case put.isRefused:
		w.violated("refused is never shown", "%q of %s was refused at revision %d and has %d", value, name, put.refusedFor, revision)
	}
	put.revision = revision
	group.shown[revision] = put
	return put
}

// notePut takes the clear answer to a put: its revision, or with a refusal that of its cell.
func (s *coordinationService) notePut(put *modelPut, isTaken bool, revision uint64) {
	w, group := s.cluster, s.group(put.name)
	if put.ended == 0 {
		put.ended = w.now
	}
	if !isTaken {
		if put.revision != 0 {
			w.violated("refused is never shown", "%q of %s has revision %d and is refused", put.value, put.name, put.revision)
		}
		if other := group.shown[revision]; other != nil && other.name != put.name {
			w.violated("shown values were put", "%s is said to have revision %d, which is that of %s", put.name, revision, other.name)
		}
		put.isRefused, put.refusedFor = true, revision
		return
	}
	if put.revision == 0 {
		s.checkNewRevision(put, revision)
	}
	if s.noteShown(put.name, put.value, revision) == nil {
		return
	}
	group.acknowledged[put.name] = max(group.acknowledged[put.name], revision)
	group.highest = max(group.highest, revision)
	w.springTraps()
}

// checkNewRevision is the oracle of the count of revisions: one that is acknowledged is above all that were before the put was sent.
func (s *coordinationService) checkNewRevision(put *modelPut, revision uint64) {
	for other, before := range s.group(put.name).shown {
		if before.ended > 0 && before.ended < put.begun && other >= revision {
			s.cluster.violated("revisions rise", "%q got revision %d after %d was acknowledged", put.value, revision, other)
		}
	}
}

// noteRead is the oracle of reads: none is older than what was acknowledged before it.
func (s *coordinationService) noteRead(name string, held wire.CellAnswer, floor uint64, sentAt time.Duration) {
	if held.Revision < floor {
		s.cluster.violated("no stale read", "%s was read at revision %d, %d was acknowledged before", name, held.Revision, floor)
	}
	if held.Revision > 0 {
		s.noteShown(name, held.Value, held.Revision)
	}
	group := s.group(name)
	group.reads[name] = append(group.reads[name], modelRead{held, sentAt, s.cluster.now})
}

// noteWatched is the oracle of watches: the puts rise and are complete up to the answer's revision, which is no older than what was
// acknowledged before the call.
func (s *coordinationService) noteWatched(group string, above, floor uint64, seen *wire.WatchAnswer) {
	w := s.cluster
	if seen.Revision < above || above == 0 && seen.Revision < floor {
		w.violated("no stale read", "a watch of %s above %d got revision %d, %d was acknowledged before", group, above, seen.Revision, floor)
	}
	if above == 0 && len(seen.Events) == 0 {
		return
	}
	next := above + 1
	for _, event := range seen.Events {
		if event.Revision != next {
			w.violated("watches are complete", "a watch of %s above %d got revision %d in place of %d", group, above, event.Revision, next)
			return
		}
		s.noteShown(event.Name, event.Value, event.Revision)
		next++
	}
	if next != seen.Revision+1 {
		w.violated("watches are complete", "a watch of %s above %d ends with %d and says %d", group, above, next-1, seen.Revision)
	}
}

// noteGone is the oracle of the history: a revision stays good for a time.
func (s *coordinationService) noteGone(group string, above uint64, age time.Duration) {
	if age < modelHistory {
		s.cluster.violated("history is kept", "revision %d of %s is gone %v after it was given", above, group, age)
	}
}

// cellState is the state of the sequential model of one cell.
type cellState struct {
	value    string
	revision uint64
}

// sequentialCell is a register with compare-and-put. The outputs are a *modelPut or a modelRead.
var sequentialCell = porcupine.Model{
	Init: func() any { return cellState{} },
	Step: func(state, _, output any) (bool, any) {
		held := state.(cellState)
		switch seen := output.(type) {
		case modelRead:
			return held == cellState{seen.held.Value, seen.held.Revision}, held
		case *modelPut:
			if seen.isRefused {
				return held.revision == seen.refusedFor && held.revision != seen.expected, held
			}
			return held.revision == seen.expected, cellState{seen.value, seen.revision}
		}
		return false, held
	},
}

// judge checks that the calls about each cell are linearizable. A put without a clear answer may take effect at any later time, or
// never: one that nobody ever saw is left out.
func (s *coordinationService) judge() {
	for _, group := range s.groups {
		undecided := group.attributeRevisions()
		histories := map[string][]porcupine.Operation{}
		add := func(name string, output any, begun, ended time.Duration) {
			histories[name] = append(histories[name], porcupine.Operation{ClientId: len(histories[name]), Output: output, Call: int64(begun), Return: int64(ended)})
		}
		for _, put := range group.puts {
			switch {
			case put.ended > 0:
				add(put.name, put, put.begun, put.ended)
			case put.revision > 0:
				add(put.name, put, put.begun, math.MaxInt64)
			}
		}
		for name, reads := range group.reads {
			for _, read := range reads {
				add(name, read, read.begun, read.ended)
			}
		}
		for name, operations := range histories {
			if undecided[name] {
				s.cluster.cover("history left undecided")
				continue
			}
			s.judgeCell(name, operations)
		}
	}
}

// attributeRevisions finds the puts of revisions that are known from refusals alone: such a revision belongs to a put without a clear
// answer. Where several may have it, the cell is left undecided.
func (g *groupHistory) attributeRevisions() (undecided map[string]bool) {
	undecided = map[string]bool{}
	for _, refused := range g.puts {
		if !refused.isRefused || refused.refusedFor == 0 || g.shown[refused.refusedFor] != nil {
			continue
		}
		var candidates []*modelPut
		for _, put := range g.puts {
			if put.name == refused.name && put.isOpen && put.ended == 0 && put.revision == 0 {
				candidates = append(candidates, put)
			}
		}
		if len(candidates) != 1 {
			undecided[refused.name] = true
			continue
		}
		candidates[0].revision = refused.refusedFor
		g.shown[refused.refusedFor] = candidates[0]
	}
	return undecided
}

func (s *coordinationService) judgeCell(name string, operations []porcupine.Operation) {
	if len(operations) > maxOperations {
		s.cluster.cover("history too long for porcupine")
		return
	}
	switch porcupine.CheckOperationsTimeout(sequentialCell, operations, 2*time.Second) {
	case porcupine.Illegal:
		s.cluster.violated("linearizable", "%d calls about %s fit no order", len(operations), name)
	case porcupine.Unknown:
		s.cluster.cover("history left undecided")
	default:
		s.cluster.cover("history linearizable")
	}
}
