package controlmodel

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// coordinationFaults are the faults that can be injected into the model of locks, numbers and cells, by name.
var coordinationFaults = map[string]injectedFault{
	"lease-not-looked-at": {about: "A leader that may have been replaced answers reads, numbers and renewals all the same.",
		leadership: func(_ *simNode, inner keyLeadership) keyLeadership { return alwaysLeasedLeadership{inner} }},
	"commit-before-majority": {about: "A leader answers before a majority holds the change.",
		leadership: func(_ *simNode, inner keyLeadership) keyLeadership { return earlyCommitLeadership{inner} }},
	"locks-forgotten": {about: "A new leader begins without the locks that are held, as if their time were over with the leadership.",
		part: openingWithout(func(pair wire.Op) bool { return strings.HasPrefix(pair.Name, "l/") })},
	"fence-of-a-snapshot": {about: "A new leader counts fencing tokens from an earlier state.",
		part: openingWithout(func(pair wire.Op) bool { return pair.Name == "f" || strings.HasPrefix(pair.Name, "l/") })},
	"number-range-twice": {about: "A new leader gives the numbers of a range that the one before had reserved.",
		part: openingWithout(func(pair wire.Op) bool { return strings.HasPrefix(pair.Name, "n/") })},
	"repeat-forgotten": {about: "A put that comes again after a take-over is judged by its revision alone.",
		part: func(inner serviceMachine) serviceMachine { return &repeatForgettingPart{inner} }},
	"event-lost": {about: "A put that watchers may ask for is missing after a take-over.",
		part: openingWithout(func(pair wire.Op) bool {
			return strings.HasSuffix(pair.Name, "3") && strings.HasPrefix(pair.Name, "e/")
		})},
	"history-cut-short": {about: "Puts are kept for a count and not for a time, so that a take-over drops those of a storm.",
		part: openingWithout(func(pair wire.Op) bool { return strings.HasPrefix(pair.Name, "e/") })},
	"refused-after-proposal": {about: "A leader that loses its leadership says that a proposed call was not done.",
		answer: func(_ *simNode, _ *wire.ClientCall, answer wire.ClientAnswer) wire.ClientAnswer {
			if answer.OutcomeUnknown {
				return wire.ClientAnswer{Status: http.StatusServiceUnavailable, Reason: "injected"}
			}
			return answer
		}},
	"late-release": {about: "A release ends the hold of its holder, whichever fencing token it bears.",
		part: func(inner serviceMachine) serviceMachine { return &unfencedReleases{inner, map[string]uint64{}} }},
}

func (f injectedFault) wrapPart(inner serviceMachine) serviceMachine {
	if f.part == nil {
		return inner
	}
	return f.part(inner)
}

// openingWithout returns a function that wraps a partition so that it opens without the records for which isLost is true.
func openingWithout(isLost func(wire.Op) bool) func(serviceMachine) serviceMachine {
	return func(inner serviceMachine) serviceMachine { return &lossyPart{inner, isLost} }
}

// lossyPart is a partition that loses some of its records when it opens.
type lossyPart struct {
	serviceMachine
	isLost func(wire.Op) bool
}

// Open opens without the records for which isLost is true.
func (p *lossyPart) Open(leadership keyLeadership, pairs []wire.Op) error {
	return p.serviceMachine.Open(leadership, slices.DeleteFunc(slices.Clone(pairs), p.isLost))
}

// repeatForgettingPart is a partition that does not recognize repeated puts after a change of leader.
type repeatForgettingPart struct{ serviceMachine }

// Open opens with records of puts and cells whose expected revision is replaced by unknownRevision.
func (p *repeatForgettingPart) Open(leadership keyLeadership, pairs []wire.Op) error {
	changed := slices.Clone(pairs)
	for index, pair := range changed {
		if strings.HasPrefix(pair.Name, "e/") || strings.HasPrefix(pair.Name, "c/") {
			changed[index].Value = withExpected(pair.Value, unknownRevision)
		}
	}
	return p.serviceMachine.Open(leadership, changed)
}

// unknownRevision is a revision that no cell ever has.
const unknownRevision = "999999"

// withExpected sets the expected revision in the record of a put. A record that can't be decoded stays as it is.
func withExpected(record []byte, revision string) []byte {
	fields := map[string]json.RawMessage{}
	if json.Unmarshal(record, &fields) != nil {
		return record
	}
	fields["expected"] = json.RawMessage(revision)
	changed, err := json.Marshal(fields)
	if err != nil {
		return record
	}
	return changed
}

// unfencedReleases puts the holder's newest fencing token into each release. newest has these tokens by lock and holder.
type unfencedReleases struct {
	serviceMachine
	newest map[string]uint64
}

func (p *unfencedReleases) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	lockCall := &wire.LockCall{}
	if call.Verb != wire.VerbRelease && call.Verb != wire.VerbAcquire || easyjson.Unmarshal(call.Body, lockCall) != nil {
		p.serviceMachine.execute(call, answer)
		return
	}
	name := call.ID + " " + lockCall.Holder
	if call.Verb == wire.VerbAcquire {
		p.serviceMachine.execute(call, func(acquired wire.ClientAnswer) {
			var lock wire.LockAnswer
			if easyjson.Unmarshal(acquired.Body, &lock) == nil {
				p.newest[name] = max(p.newest[name], lock.Fence)
			}
			answer(acquired)
		})
		return
	}
	lockCall.Fence = max(lockCall.Fence, p.newest[name])
	changed := *call
	if text, err := easyjson.Marshal(lockCall); err == nil {
		changed.Body = text
	}
	p.serviceMachine.execute(&changed, answer)
}
