package controlmodel

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordinationapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/response"
	"gannetline/internal/simulation/coordinationcheck"
)

const (
	// resendTime is how long a put without a clear answer is sent again.
	resendTime  = 4 * time.Second
	resendPause = 60 * time.Millisecond
	// lateCopyTime is how long after its answer a copy of a put may still arrive.
	lateCopyTime = time.Second
	minHoldMs    = 200
	maxHoldMs    = 2500
	// sleepPercent of the holders sleep beyond their time, diePercent forget that they hold; both keep their names.
	sleepPercent, abandonPercent = 15, 15
	maxRenewals                  = 4
	maxWatchWait                 = 800 * time.Millisecond
)

// modelCaller is an application that makes one call after the other.
type modelCaller struct {
	service *coordinationService
	holder  string
	via     int
	pause   time.Duration
	// known are the revisions of cells as it last saw them.
	knownRevisions map[string]uint64
	// held is the lock that it counts itself the holder of, if any.
	held *coordinationcheck.Hold
}

// statusOf is the status of an answer, 0 if there is none.
func statusOf(answer *response.Reply) int {
	if answer == nil {
		return 0
	}
	return answer.Status
}

// isClear tells whether an answer says what became of a call.
func isClear(status int) bool {
	return status != 0 && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

// rest lets some time pass before the next call.
func (c *modelCaller) scheduleNextCall() {
	w := c.service.cluster
	w.after(time.Duration(w.random.Int64N(2*int64(c.pause)+1)), c.makeNextCall)
}

// next draws what to do.
func (c *modelCaller) makeNextCall() {
	w := c.service.cluster
	if w.now >= c.service.callersEnd {
		return
	}
	c.via = w.random.IntN(len(w.slots))
	again := func(int) { c.scheduleNextCall() }
	cell := fmt.Sprint(groupName(w.random.IntN(groupCount)), w.random.IntN(cellCount))
	switch roll := w.random.IntN(100); {
	case roll < 35:
		c.holdLock(lockName(w.random.IntN(lockCount)))
	case roll < 50:
		c.takeNumber(numberName(w.random.IntN(numberCount)), again)
	case roll < 80:
		c.put(cell)
	default:
		c.get(cell, again)
	}
}

func (c *modelCaller) call(verb wire.Verb, name string, body easyjson.Marshaler, isRead bool, done func(*response.Reply)) {
	command := &coordinationapi.Command{Call: wire.ClientCall{Verb: verb, ID: name}, IsRead: isRead}
	if body != nil {
		text, err := easyjson.Marshal(body)
		if err != nil {
			panic(err)
		}
		command.Call.Body = text
	}
	c.service.callThrough(c.via, command, done)
}

// hold takes a lock, renews it some times, and gives it back, sleeps beyond its time, or forgets it.
func (c *modelCaller) holdLock(name string) {
	w := c.service.cluster
	hold := clock.Milliseconds(int64(minHoldMs + w.random.IntN(maxHoldMs-minHoldMs)))
	c.acquire(name, hold, func(status int) {
		if status != http.StatusOK {
			c.scheduleNextCall()
			return
		}
		c.keepHold(hold, w.random.IntN(maxRenewals+1))
	})
}

// acquire asks for a lock.
func (c *modelCaller) acquire(name string, hold time.Duration, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbAcquire, name, &wire.LockCall{Holder: c.holder, HoldMs: hold.Milliseconds()}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		if status == http.StatusOK {
			var given wire.LockAnswer
			c.service.decodeAnswer(answer, &given)
			c.beginHold(name, given.Fence, sentAt, hold)
		}
		done(status)
	})
}

// begin counts the caller as the holder of a lock from now on, unless its time is over already.
func (c *modelCaller) beginHold(name string, fence uint64, sentAt, hold time.Duration) {
	w := c.service.cluster
	c.held = &coordinationcheck.Hold{Lock: name, Holder: c.holder, Fence: fence, SentAt: sentAt, From: w.now, To: sentAt + hold}
	w.fireTriggers()
}

// letGo ends the hold: the caller no longer counts itself the holder.
func (c *modelCaller) endHold() {
	if c.held == nil {
		return
	}
	c.held.To = min(c.held.To, c.service.cluster.now)
	c.service.history.Holds = append(c.service.history.Holds, *c.held)
	c.held = nil
}

// keep holds a lock for a part of its time, and then renews it or ends the hold in one way or another.
func (c *modelCaller) keepHold(hold time.Duration, renewals int) {
	w := c.service.cluster
	roll := w.random.IntN(100)
	wait := time.Duration(w.random.Int64N(int64(hold)))
	switch {
	case w.now >= c.service.callersEnd:
		c.release()
	case roll < sleepPercent:
		w.countCoverage("holder slept beyond its time")
		w.after(2*hold, func() { c.renew(hold, 0) })
	case roll < sleepPercent+abandonPercent:
		w.countCoverage("holder died")
		c.endHold()
		w.after(wait, c.scheduleNextCall)
	case renewals > 0:
		w.after(wait, func() { c.renew(hold, renewals-1) })
	default:
		w.after(wait, c.release)
	}
}

// renew asks for more time. An answer that comes once the caller's time is over has no effect.
func (c *modelCaller) renew(hold time.Duration, renewals int) {
	w := c.service.cluster
	sentAt := w.now
	body := &wire.LockCall{Holder: c.holder, Fence: c.held.Fence, HoldMs: hold.Milliseconds()}
	c.call(wire.VerbRenew, c.held.Lock, body, false, func(answer *response.Reply) {
		if statusOf(answer) == http.StatusOK && w.now < c.held.To {
			c.held.To = max(c.held.To, sentAt+hold)
			c.keepHold(hold, renewals)
			return
		}
		c.endHold()
		c.scheduleNextCall()
	})
}

// release gives a lock back; the caller is no longer its holder from the sending on. It is sent again until it is answered; at times the
// caller goes on meanwhile, and may have the lock again when a copy arrives.
func (c *modelCaller) release() {
	w := c.service.cluster
	name, fence := c.held.Lock, c.held.Fence
	c.endHold()
	continueCalls := c.scheduleNextCall
	if w.random.IntN(4) == 0 {
		w.countCoverage("caller goes on before its release is answered")
		continueCalls = func() {}
		w.after(0, func() { c.holdLock(name) })
	}
	var send func(attempts int)
	send = func(attempts int) {
		c.call(wire.VerbRelease, name, &wire.LockCall{Holder: c.holder, Fence: fence}, false, func(answer *response.Reply) {
			if statusOf(answer) != http.StatusOK && attempts > 0 {
				c.via++
				send(attempts - 1)
				return
			}
			continueCalls()
		})
	}
	send(w.random.IntN(3))
}

func (c *modelCaller) takeNumber(name string, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbTakeNumber, name, nil, false, func(answer *response.Reply) {
		if statusOf(answer) == http.StatusOK {
			var given wire.NumberAnswer
			c.service.decodeAnswer(answer, &given)
			c.service.history.Numbers = append(c.service.history.Numbers, coordinationcheck.Number{Name: name, Value: given.Value, SentAt: sentAt,
				At: c.service.cluster.now})
			c.service.cluster.fireTriggers()
		}
		done(statusOf(answer))
	})
}

// put draws a new value for a cell and sends it until there is a clear answer, or for resendTime.
func (c *modelCaller) put(name string) {
	s := c.service
	s.valueCount++
	put := &coordinationcheck.Put{Name: name, Value: fmt.Sprintf("v%d", s.valueCount), Expected: c.knownRevisions[name], SentAt: s.cluster.now}
	s.history.Puts = append(s.history.Puts, put)
	c.sendPut(put)
}

func (c *modelCaller) sendPut(put *coordinationcheck.Put) {
	w := c.service.cluster
	c.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		switch {
		case status == http.StatusOK || status == http.StatusPreconditionFailed:
			c.knownRevisions[put.Name] = c.service.recordPut(put, answer)
		case !isClear(status):
			put.IsOpen = true
		case !put.IsOpen && w.random.IntN(2) == 0:
			w.countCoverage("put given up after a refusal")
			put.IsGivenUp = true
			c.scheduleNextCall()
			return
		}
		if isClear(status) && status != http.StatusServiceUnavailable || w.now-put.SentAt > resendTime {
			c.maybeSendLateCopy(put, status)
			return
		}
		c.via++
		w.after(resendPause, func() { c.sendPut(put) })
	})
}

// maybeSendAgain has a copy of a put come late, now and then, as if it had been held up on its way.
func (c *modelCaller) maybeSendLateCopy(put *coordinationcheck.Put, status int) {
	w := c.service.cluster
	if status == http.StatusOK && w.random.IntN(4) == 0 {
		w.countCoverage("put came again")
		late := &modelCaller{service: c.service, via: w.random.IntN(len(w.slots)), knownRevisions: map[string]uint64{}}
		w.after(time.Duration(w.random.Int64N(int64(lateCopyTime))), func() {
			late.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
				if status := statusOf(answer); status == http.StatusOK || status == http.StatusPreconditionFailed {
					c.service.recordPut(put, answer)
				}
			})
		})
	}
	c.scheduleNextCall()
}

// notePut records the clear answer to a put and gives the revision of its cell.
func (s *coordinationService) recordPut(put *coordinationcheck.Put, answer *response.Reply) uint64 {
	var at wire.RevisionAnswer
	s.decodeAnswer(answer, &at)
	isApplied := answer.Status == http.StatusOK
	put.Answers = append(put.Answers, coordinationcheck.PutAnswer{At: s.cluster.now, IsTaken: isApplied, Revision: at.Revision})
	if isApplied {
		s.cluster.fireTriggers()
	}
	return at.Revision
}

func (c *modelCaller) get(name string, done func(status int)) {
	s := c.service
	sentAt := s.cluster.now
	c.call(wire.VerbGet, name, nil, true, func(answer *response.Reply) {
		status := statusOf(answer)
		var held wire.CellAnswer
		switch status {
		case http.StatusOK:
			s.decodeAnswer(answer, &held)
		case http.StatusNotFound:
		default:
			done(status)
			return
		}
		c.knownRevisions[name] = held.Revision
		s.history.Reads = append(s.history.Reads, coordinationcheck.Read{Name: name, Value: held.Value, Revision: held.Revision, SentAt: sentAt,
			At: s.cluster.now})
		done(status)
	})
}

// read decodes an answer that has been given with success.
func (s *coordinationService) decodeAnswer(answer *response.Reply, into easyjson.Unmarshaler) {
	if !json.Valid(answer.Body) || easyjson.Unmarshal(answer.Body, into) != nil {
		s.cluster.reportViolation("answers can be read", "%d %s", answer.Status, answer.Body)
	}
}

// modelWatcher follows a group.
type modelWatcher struct {
	service *coordinationService
	group   string
	via     int
	// above is the last revision that it was given, at a moment.
	above   uint64
	givenAt time.Duration
}

// watch asks again and again, at times after a sleep.
func (m *modelWatcher) watch() {
	w := m.service.cluster
	if w.now >= m.service.callersEnd {
		return
	}
	m.via = w.random.IntN(len(w.slots))
	m.watchOnce(time.Duration(w.random.Int64N(int64(maxWatchWait))), func(int) {
		sleep := resendPause
		if w.random.IntN(10) == 0 {
			sleep = time.Duration(w.random.Int64N(int64(2 * keptHistoryTime)))
		}
		w.after(sleep, m.watch)
	})
}

// ask makes one call, and notes what it brought.
func (m *modelWatcher) watchOnce(wait time.Duration, done func(status int)) {
	s := m.service
	command := &coordinationapi.Command{Call: wire.ClientCall{Verb: wire.VerbWatch, ID: m.group, Base: int64(m.above)}, Wait: wait, IsRead: true}
	above, sentAt := m.above, s.cluster.now
	s.callThrough(m.via, command, func(answer *response.Reply) {
		status := statusOf(answer)
		switch status {
		case http.StatusOK:
			var seen wire.WatchAnswer
			s.decodeAnswer(answer, &seen)
			s.history.Watches = append(s.history.Watches, coordinationcheck.Watch{Group: m.group, Above: above, Events: seen.Events,
				Revision: seen.Revision, SentAt: sentAt, At: s.cluster.now})
			m.above, m.givenAt = seen.Revision, s.cluster.now
		case http.StatusGone:
			s.history.Gone = append(s.history.Gone, coordinationcheck.Gone{Group: m.group, Above: above, GivenAt: m.givenAt, SentAt: sentAt})
			m.above = 0
		}
		done(status)
	})
}
