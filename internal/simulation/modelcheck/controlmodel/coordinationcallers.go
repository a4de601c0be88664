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
	// resendTime is how long a put without a clear answer is retried.
	resendTime  = 4 * time.Second
	resendPause = 60 * time.Millisecond
	// lateCopyTime is how long after the answer to a put a copy of it may still arrive.
	lateCopyTime = time.Second
	minHoldMs    = 200
	maxHoldMs    = 2500
	// sleepPercent of the holders sleep beyond the time of their lock, abandonPercent forget that they hold it. Both keep their holder names.
	sleepPercent, abandonPercent = 15, 15
	maxRenewals                  = 4
	maxWatchWait                 = 800 * time.Millisecond
)

// modelCaller is an application that makes one call after the other. via is the slot of the machine that it calls.
type modelCaller struct {
	service *coordinationService
	holder  string
	via     int
	pause   time.Duration
	// knownRevisions are the revisions of cells as it last received them.
	knownRevisions map[string]uint64
	// held is the lock that it believes to hold, or nil.
	held *coordinationcheck.Hold
}

// statusOf returns the status of an answer, or 0 if there is none.
func statusOf(answer *response.Reply) int {
	if answer == nil {
		return 0
	}
	return answer.Status
}

// isClear reports whether a status says if the call took effect.
func isClear(status int) bool {
	return status != 0 && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

// scheduleNextCall makes the next call after a random pause.
func (c *modelCaller) scheduleNextCall() {
	w := c.service.cluster
	w.after(time.Duration(w.random.Int64N(2*int64(c.pause)+1)), c.makeNextCall)
}

// makeNextCall draws and makes a call, unless the applications have stopped.
func (c *modelCaller) makeNextCall() {
	w := c.service.cluster
	if w.now >= c.service.callersEnd {
		return
	}
	c.via = w.random.IntN(len(w.slots))
	scheduleNext := func(int) { c.scheduleNextCall() }
	cell := fmt.Sprint(groupName(w.random.IntN(groupCount)), w.random.IntN(cellCount))
	switch roll := w.random.IntN(100); {
	case roll < 35:
		c.holdLock(lockName(w.random.IntN(lockCount)))
	case roll < 50:
		c.takeNumber(numberName(w.random.IntN(numberCount)), scheduleNext)
	case roll < 80:
		c.put(cell)
	default:
		c.get(cell, scheduleNext)
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

// holdLock acquires a lock, renews it up to maxRenewals times, and then releases it, sleeps beyond its time, or forgets it.
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

// acquire makes a call that acquires a lock. If it succeeds the caller is the holder.
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

// beginHold makes the caller the holder of a lock from now until the hold time after the call was sent.
func (c *modelCaller) beginHold(name string, fence uint64, sentAt, hold time.Duration) {
	w := c.service.cluster
	c.held = &coordinationcheck.Hold{Lock: name, Holder: c.holder, Fence: fence, SentAt: sentAt, From: w.now, To: sentAt + hold}
	w.fireTriggers()
}

// endHold records the hold for the oracles. The caller no longer believes to hold the lock.
func (c *modelCaller) endHold() {
	if c.held == nil {
		return
	}
	c.held.To = min(c.held.To, c.service.cluster.now)
	c.service.history.Holds = append(c.service.history.Holds, *c.held)
	c.held = nil
}

// keepHold holds a lock for a part of its time, and then renews it, releases it, forgets it, or renews it too late.
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

// renew extends the hold. An answer that arrives after the end of the hold has no effect.
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

// release releases a lock. The caller is no longer its holder once the call is sent. A call that fails is retried up to two times.
// In a quarter of the cases the caller continues meanwhile, and may hold the lock again when a retry arrives.
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

// put writes a new value to a cell. It retries until there is a clear answer, at most for resendTime.
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

// maybeSendLateCopy sends a copy of a quarter of the successful puts again, as if the network had delayed it.
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

// recordPut records the clear answer to a put and returns the revision of its cell.
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

// decodeAnswer is an oracle: the body of a successful answer can be decoded.
func (s *coordinationService) decodeAnswer(answer *response.Reply, into easyjson.Unmarshaler) {
	if !json.Valid(answer.Body) || easyjson.Unmarshal(answer.Body, into) != nil {
		s.cluster.reportViolation("answers can be read", "%d %s", answer.Status, answer.Body)
	}
}

// modelWatcher watches a group of cells. via is the slot of the machine that it calls.
type modelWatcher struct {
	service *coordinationService
	group   string
	via     int
	// above is the last revision that it received, at the time givenAt. The next watch continues above it.
	above   uint64
	givenAt time.Duration
}

// watch calls watchOnce repeatedly until the applications stop, sometimes after a sleep of up to twice keptHistoryTime.
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

// watchOnce makes one watch call and records its answer.
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
