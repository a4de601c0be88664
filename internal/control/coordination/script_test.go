package coordination

import (
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const (
	testHistory = 20 * time.Second
	testRelease = 1500 * time.Millisecond
	testHold    = 3 * time.Second
)

// scriptedLeadership is a leadership whose commits and whose lease the test ends.
type scriptedLeadership struct {
	epoch    uint64
	hasLease bool
	// disk is what is durable, by the names of records.
	disk    map[string]wire.Op
	waiting []scriptedCommit
}

type scriptedCommit struct {
	ops  []wire.Op
	done func(error)
}

func (s *scriptedLeadership) Epoch() uint64  { return s.epoch }
func (s *scriptedLeadership) HasLease() bool { return s.hasLease }
func (s *scriptedLeadership) Commit(ops []wire.Op, done func(error)) {
	s.waiting = append(s.waiting, scriptedCommit{ops, done})
}

// sync makes the oldest commits durable, so many of them.
func (s *scriptedLeadership) sync(count int) {
	ready := s.waiting[:count]
	s.waiting = s.waiting[count:]
	for _, commit := range ready {
		for _, op := range commit.ops {
			s.disk[op.Name] = op
			if op.Value == nil {
				delete(s.disk, op.Name)
			}
		}
		commit.done(nil)
	}
}

// scene is a part, its leadership, and the answers to its calls in their order.
type scene struct {
	clock      *clock.Fake
	leadership *scriptedLeadership
	part       *Part
	answers    []wire.ClientAnswer
}

func newScene() *scene {
	s := &scene{clock: clock.NewFake(0), leadership: &scriptedLeadership{epoch: 1, hasLease: true, disk: map[string]wire.Op{}}}
	s.part = New("coordination/0", Surroundings{Clock: s.clock, Log: logging.Silent(), HistoryTime: testHistory, ReleaseTime: testRelease})
	Expect(s.part.Open(s.leadership, nil)).To(Succeed())
	return s
}

// takeOver ends the leadership, with what waits lost, and has the next leader open what is durable.
func (s *scene) takeOver() {
	for _, commit := range s.leadership.waiting {
		commit.done(errors.New("lost"))
	}
	s.part.Close()
	s.leadership = &scriptedLeadership{epoch: s.leadership.epoch + 1, hasLease: true, disk: s.leadership.disk}
	var pairs []wire.Op
	for _, pair := range s.leadership.disk {
		pairs = append(pairs, pair)
	}
	Expect(s.part.Open(s.leadership, pairs)).To(Succeed())
}

// send makes a call; its answer may come later.
func (s *scene) send(call wire.ClientCall, body easyjson.Marshaler) {
	if body != nil {
		text, err := easyjson.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		call.Body = text
	}
	s.part.CommandFor(call.Verb)(&call, func(answer wire.ClientAnswer) { s.answers = append(s.answers, answer) })
}

// last syncs all that waits and gives the newest answer as text: the status, and the body if there is one.
func (s *scene) last() string {
	GinkgoHelper()
	s.leadership.sync(len(s.leadership.waiting))
	Expect(s.answers).NotTo(BeEmpty())
	return told(s.answers[len(s.answers)-1])
}

// told is an answer as text.
func told(answer wire.ClientAnswer) string {
	switch {
	case answer.OutcomeUnknown:
		return "unknown"
	case answer.NotLeader:
		return "not leader"
	}
	return strings.TrimSpace(errors.Errorf("%d %s", answer.Status, answer.Body).Error())
}

func (s *scene) acquire(name, holder string) string {
	s.send(wire.ClientCall{Verb: wire.VerbAcquire, ID: name}, &wire.LockCall{Holder: holder, HoldMs: testHold.Milliseconds()})
	return s.last()
}

func (s *scene) renew(name, holder string, fence uint64, hold time.Duration) {
	s.send(wire.ClientCall{Verb: wire.VerbRenew, ID: name}, &wire.LockCall{Holder: holder, Fence: fence, HoldMs: hold.Milliseconds()})
}

func (s *scene) release(name, holder string, fence uint64) string {
	s.send(wire.ClientCall{Verb: wire.VerbRelease, ID: name}, &wire.LockCall{Holder: holder, Fence: fence})
	return s.last()
}

func (s *scene) number(name string) string {
	s.send(wire.ClientCall{Verb: wire.VerbTakeNumber, ID: name}, nil)
	return s.last()
}

func (s *scene) sendPut(name, value string, expected uint64) {
	s.send(wire.ClientCall{Verb: wire.VerbPut, ID: name}, &wire.PutCall{Value: value, Expected: expected})
}

func (s *scene) put(name, value string, expected uint64) string {
	s.sendPut(name, value, expected)
	return s.last()
}

func (s *scene) get(name string) string {
	s.send(wire.ClientCall{Verb: wire.VerbGet, ID: name}, nil)
	return s.last()
}

func (s *scene) watch(group string, above int64, wait time.Duration) {
	s.send(wire.ClientCall{Verb: wire.VerbWatch, ID: group, Base: above, RemainingMs: wait.Milliseconds()}, nil)
}

// pass lets time go on in steps of a tick.
func (s *scene) pass(length time.Duration) {
	const step = 50 * time.Millisecond
	for ; length > 0; length -= step {
		s.clock.Advance(min(step, length))
		s.part.Tick()
	}
}
