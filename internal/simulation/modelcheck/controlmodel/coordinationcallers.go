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
	// resendTime is how long a put is retried after unclear answers and answers with 503.
	resendTime = 4 * time.Second
	// resendPause is the pause before a put is retried, and mostly that between two watch calls.
	resendPause = 60 * time.Millisecond
	// lateCopyTime is how long after the answer to a put a copy of it may still arrive.
	lateCopyTime = time.Second
	minHoldMs    = 200
	maxHoldMs    = 2500
	// sleepPercent of the holders sleep beyond the time of their lock, abandonPercent forget that they hold it. Both make their next calls
	// under the same holder name.
	sleepPercent, abandonPercent = 15, 15
	maxRenewals                  = 4
	maxWatchWait                 = 800 * time.Millisecond
)

// modelCaller is an application that makes one call after the other. via is the slot of the machine through which it makes them.
type modelCaller struct {
	service *coordinationService
	holder  string
	via     int
	// pause is the mean time between two calls.
	pause time.Duration
	// knownRevisions are the revisions of cells as the caller last received them.
	knownRevisions map[string]uint64
	// currentHold is the lock that the caller believes to hold, or nil.
	currentHold *coordinationcheck.Hold
}

// statusOf returns the status of an answer, or 0 if there is none.
func statusOf(answer *response.Reply) int {
	if answer == nil {
		return 0
	}
	return answer.Status
}

// isClear reports whether a status says if the call took effect. 503 says that it did not.
func isClear(status int) bool {
	return status != 0 && (status < http.StatusInternalServerError || status == http.StatusServiceUnavailable)
}

// scheduleNextCall makes the next call after a random pause.
func (c *modelCaller) scheduleNextCall() {
	sim := c.service.cluster
	sim.after(time.Duration(sim.random.Int64N(2*int64(c.pause)+1)), c.makeNextCall)
}

// makeNextCall draws and makes a call, unless the applications have stopped.
func (c *modelCaller) makeNextCall() {
	sim := c.service.cluster
	if sim.now >= c.service.callersEnd {
		return
	}
	c.via = sim.random.IntN(len(sim.slots))
	scheduleNext := func(int) { c.scheduleNextCall() }
	cell := fmt.Sprint(groupName(sim.random.IntN(groupCount)), sim.random.IntN(cellCount))
	switch roll := sim.random.IntN(100); {
	case roll < 35:
		c.holdLock(lockName(sim.random.IntN(lockCount)))
	case roll < 50:
		c.takeNumber(numberName(sim.random.IntN(numberCount)), scheduleNext)
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
	sim := c.service.cluster
	hold := clock.Milliseconds(int64(minHoldMs + sim.random.IntN(maxHoldMs-minHoldMs)))
	c.acquire(name, hold, func(status int) {
		if status != http.StatusOK {
			c.scheduleNextCall()
			return
		}
		c.keepHold(hold, sim.random.IntN(maxRenewals+1))
	})
}

// acquire makes a call that acquires a lock. If it succeeds, the caller becomes the holder.
func (c *modelCaller) acquire(name string, hold time.Duration, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbAcquire, name, &wire.LockCall{Holder: c.holder, HoldMs: hold.Milliseconds()}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		if status == http.StatusOK {
			var lock wire.LockAnswer
			c.service.decodeAnswer(answer, &lock)
			c.beginHold(name, lock.Fence, sentAt, hold)
		}
		done(status)
	})
}

// beginHold makes the caller the holder of a lock, from now until hold after the call was sent.
func (c *modelCaller) beginHold(name string, fence uint64, sentAt, hold time.Duration) {
	sim := c.service.cluster
	c.currentHold = &coordinationcheck.Hold{Lock: name, Holder: c.holder, Fence: fence, SentAt: sentAt, From: sim.now, To: sentAt + hold}
	sim.fireTriggers()
}

// endHold records the hold for the oracles. The caller then no longer believes to hold the lock.
func (c *modelCaller) endHold() {
	if c.currentHold == nil {
		return
	}
	c.currentHold.To = min(c.currentHold.To, c.service.cluster.now)
	c.service.history.Holds = append(c.service.history.Holds, *c.currentHold)
	c.currentHold = nil
}

// keepHold draws what the holder of a lock does next: renew the lock too late, forget it at once, or renew or release it after a part of its
// time. Once the applications have stopped, it releases the lock.
func (c *modelCaller) keepHold(hold time.Duration, renewals int) {
	sim := c.service.cluster
	roll := sim.random.IntN(100)
	wait := time.Duration(sim.random.Int64N(int64(hold)))
	switch {
	case sim.now >= c.service.callersEnd:
		c.release()
	case roll < sleepPercent:
		sim.countCoverage("holder slept beyond its time")
		sim.after(2*hold, func() { c.renew(hold, 0) })
	case roll < sleepPercent+abandonPercent:
		sim.countCoverage("holder died")
		c.endHold()
		sim.after(wait, c.scheduleNextCall)
	case renewals > 0:
		sim.after(wait, func() { c.renew(hold, renewals-1) })
	default:
		sim.after(wait, c.release)
	}
}

// renew extends the hold. If the call fails, or its answer arrives after the end of the hold, the hold is over for the caller.
func (c *modelCaller) renew(hold time.Duration, renewals int) {
	sim := c.service.cluster
	sentAt := sim.now
	body := &wire.LockCall{Holder: c.holder, Fence: c.currentHold.Fence, HoldMs: hold.Milliseconds()}
	c.call(wire.VerbRenew, c.currentHold.Lock, body, false, func(answer *response.Reply) {
		if statusOf(answer) == http.StatusOK && sim.now < c.currentHold.To {
			c.currentHold.To = max(c.currentHold.To, sentAt+hold)
			c.keepHold(hold, renewals)
			return
		}
		c.endHold()
		c.scheduleNextCall()
	})
}

// release releases a lock. The caller no longer believes to hold it once the call is sent. A call that fails is retried up to two times.
// In a quarter of the cases the caller acquires the same lock again without waiting for the answer, and may hold it when a retry arrives.
func (c *modelCaller) release() {
	sim := c.service.cluster
	name, fence := c.currentHold.Lock, c.currentHold.Fence
	c.endHold()
	continueCalls := c.scheduleNextCall
	if sim.random.IntN(4) == 0 {
		sim.countCoverage("caller goes on before its release is answered")
		continueCalls = func() {}
		sim.after(0, func() { c.holdLock(name) })
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
	send(sim.random.IntN(3))
}

// takeNumber takes the next number of a sequence and records it for the oracles.
func (c *modelCaller) takeNumber(name string, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbTakeNumber, name, nil, false, func(answer *response.Reply) {
		if statusOf(answer) == http.StatusOK {
			var number wire.NumberAnswer
			c.service.decodeAnswer(answer, &number)
			c.service.history.Numbers = append(c.service.history.Numbers, coordinationcheck.Number{Name: name, Value: number.Value, SentAt: sentAt,
				At: c.service.cluster.now})
			c.service.cluster.fireTriggers()
		}
		done(statusOf(answer))
	})
}

// put writes a new value to a cell. It retries for at most resendTime until there is a clear answer other than 503. After a 503, half of the
// puts are given up, unless an earlier attempt had no clear answer and may have taken effect.
func (c *modelCaller) put(name string) {
	s := c.service
	s.valueCount++
	put := &coordinationcheck.Put{Name: name, Value: fmt.Sprintf("v%d", s.valueCount), Expected: c.knownRevisions[name], SentAt: s.cluster.now}
	s.history.Puts = append(s.history.Puts, put)
	c.sendPut(put)
}

func (c *modelCaller) sendPut(put *coordinationcheck.Put) {
	sim := c.service.cluster
	c.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		switch {
		case status == http.StatusOK || status == http.StatusPreconditionFailed:
			c.knownRevisions[put.Name] = c.service.recordPut(put, answer)
		case !isClear(status):
			put.IsOpen = true
		case !put.IsOpen && sim.random.IntN(2) == 0:
			sim.countCoverage("put given up after a refusal")
			put.IsGivenUp = true
			c.scheduleNextCall()
			return
		}
		if isClear(status) && status != http.StatusServiceUnavailable || sim.now-put.SentAt > resendTime {
			c.maybeSendLateCopy(put, status)
			return
		}
		c.via++
		sim.after(resendPause, func() { c.sendPut(put) })
	})
}

// maybeSendLateCopy sends a copy of a quarter of the successful puts, as if the network had delayed it, and schedules the next call.
func (c *modelCaller) maybeSendLateCopy(put *coordinationcheck.Put, status int) {
	sim := c.service.cluster
	if status == http.StatusOK && sim.random.IntN(4) == 0 {
		sim.countCoverage("put came again")
		late := &modelCaller{service: c.service, via: sim.random.IntN(len(sim.slots)), knownRevisions: map[string]uint64{}}
		sim.after(time.Duration(sim.random.Int64N(int64(lateCopyTime))), func() {
			late.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
				if status := statusOf(answer); status == http.StatusOK || status == http.StatusPreconditionFailed {
					c.service.recordPut(put, answer)
				}
			})
		})
	}
	c.scheduleNextCall()
}

// recordPut records that a put was applied or rejected, and returns the revision of its cell.
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

// get reads a cell and records its value and revision for the oracles, also those of a cell that does not exist.
func (c *modelCaller) get(name string, done func(status int)) {
	s := c.service
	sentAt := s.cluster.now
	c.call(wire.VerbGet, name, nil, true, func(answer *response.Reply) {
		status := statusOf(answer)
		var cell wire.CellAnswer
		switch status {
		case http.StatusOK:
			s.decodeAnswer(answer, &cell)
		case http.StatusNotFound:
		default:
			done(status)
			return
		}
		c.knownRevisions[name] = cell.Revision
		s.history.Reads = append(s.history.Reads, coordinationcheck.Read{Name: name, Value: cell.Value, Revision: cell.Revision, SentAt: sentAt,
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

// modelWatcher watches a group of cells. via is the slot of the machine through which it makes its calls.
type modelWatcher struct {
	service *coordinationService
	group   string
	via     int
	// above is the last revision that the watcher received, at the time givenAt. The next watch continues above it. After the answer that
	// this revision is too old, the watch begins again at 0.
	above   uint64
	givenAt time.Duration
}

// watch calls watchOnce repeatedly until the applications stop, sometimes after a sleep of up to twice keptHistoryTime.
func (m *modelWatcher) watch() {
	sim := m.service.cluster
	if sim.now >= m.service.callersEnd {
		return
	}
	m.via = sim.random.IntN(len(sim.slots))
	m.watchOnce(time.Duration(sim.random.Int64N(int64(maxWatchWait))), func(int) {
		sleep := resendPause
		if sim.random.IntN(10) == 0 {
			sleep = time.Duration(sim.random.Int64N(int64(2 * keptHistoryTime)))
		}
		sim.after(sleep, m.watch)
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
