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
	sleepPercent, diePercent = 15, 15
	maxRenewals              = 4
	maxWatchWait             = 800 * time.Millisecond
)

// modelCaller is an application that makes one call after the other.
type modelCaller struct {
	service *coordinationService
	holder  string
	via     int
	pause   time.Duration
	// known are the revisions of cells as it last saw them.
	known map[string]uint64
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
func (c *modelCaller) rest() {
	w := c.service.cluster
	w.after(time.Duration(w.draw.Int64N(2*int64(c.pause)+1)), c.next)
}

// next draws what to do.
func (c *modelCaller) next() {
	w := c.service.cluster
	if w.now >= c.service.callersEnd {
		return
	}
	c.via = w.draw.IntN(len(w.slots))
	again := func(int) { c.rest() }
	cell := fmt.Sprint(groupName(w.draw.IntN(groupCount)), w.draw.IntN(cellCount))
	switch luck := w.draw.IntN(100); {
	case luck < 35:
		c.hold(lockName(w.draw.IntN(lockCount)))
	case luck < 50:
		c.takeNumber(numberName(w.draw.IntN(numberCount)), again)
	case luck < 80:
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
	c.service.operate(c.via, command, done)
}

// hold takes a lock, renews it some times, and gives it back, sleeps beyond its time, or forgets it.
func (c *modelCaller) hold(name string) {
	w := c.service.cluster
	hold := clock.Milliseconds(int64(minHoldMs + w.draw.IntN(maxHoldMs-minHoldMs)))
	c.acquire(name, hold, func(status int) {
		if status != http.StatusOK {
			c.rest()
			return
		}
		c.keep(hold, w.draw.IntN(maxRenewals+1))
	})
}

// acquire asks for a lock.
func (c *modelCaller) acquire(name string, hold time.Duration, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbAcquire, name, &wire.LockCall{Holder: c.holder, HoldMs: hold.Milliseconds()}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		if status == http.StatusOK {
			var given wire.LockAnswer
			c.service.read(answer, &given)
			c.begin(name, given.Fence, sentAt, hold)
		}
		done(status)
	})
}

// begin counts the caller as the holder of a lock from now on, unless its time is over already.
func (c *modelCaller) begin(name string, fence uint64, sentAt, hold time.Duration) {
	w := c.service.cluster
	c.held = &coordinationcheck.Hold{Lock: name, Holder: c.holder, Fence: fence, SentAt: sentAt, From: w.now, To: sentAt + hold}
	w.fireTriggers()
}

// letGo ends the hold: the caller no longer counts itself the holder.
func (c *modelCaller) letGo() {
	if c.held == nil {
		return
	}
	c.held.To = min(c.held.To, c.service.cluster.now)
	c.service.history.Holds = append(c.service.history.Holds, *c.held)
	c.held = nil
}

// keep holds a lock for a part of its time, and then renews it or ends the hold in one way or another.
func (c *modelCaller) keep(hold time.Duration, renewals int) {
	w := c.service.cluster
	luck := w.draw.IntN(100)
	wait := time.Duration(w.draw.Int64N(int64(hold)))
	switch {
	case w.now >= c.service.callersEnd:
		c.release()
	case luck < sleepPercent:
		w.cover("holder slept beyond its time")
		w.after(2*hold, func() { c.renew(hold, 0) })
	case luck < sleepPercent+diePercent:
		w.cover("holder died")
		c.letGo()
		w.after(wait, c.rest)
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
			c.keep(hold, renewals)
			return
		}
		c.letGo()
		c.rest()
	})
}

// release gives a lock back; the caller is no longer its holder from the sending on. It is sent again until it is answered; at times the
// caller goes on meanwhile, and may have the lock again when a copy arrives.
func (c *modelCaller) release() {
	w := c.service.cluster
	name, fence := c.held.Lock, c.held.Fence
	c.letGo()
	goOn := c.rest
	if w.draw.IntN(4) == 0 {
		w.cover("caller goes on before its release is answered")
		goOn = func() {}
		w.after(0, func() { c.hold(name) })
	}
	var send func(attempts int)
	send = func(attempts int) {
		c.call(wire.VerbRelease, name, &wire.LockCall{Holder: c.holder, Fence: fence}, false, func(answer *response.Reply) {
			if statusOf(answer) != http.StatusOK && attempts > 0 {
				c.via++
				send(attempts - 1)
				return
			}
			goOn()
		})
	}
	send(w.draw.IntN(3))
}

func (c *modelCaller) takeNumber(name string, done func(status int)) {
	sentAt := c.service.cluster.now
	c.call(wire.VerbTakeNumber, name, nil, false, func(answer *response.Reply) {
		if statusOf(answer) == http.StatusOK {
			var given wire.NumberAnswer
			c.service.read(answer, &given)
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
	s.drawnValue++
	put := &coordinationcheck.Put{Name: name, Value: fmt.Sprintf("v%d", s.drawnValue), Expected: c.known[name], SentAt: s.cluster.now}
	s.history.Puts = append(s.history.Puts, put)
	c.sendPut(put)
}

func (c *modelCaller) sendPut(put *coordinationcheck.Put) {
	w := c.service.cluster
	c.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
		status := statusOf(answer)
		switch {
		case status == http.StatusOK || status == http.StatusPreconditionFailed:
			c.known[put.Name] = c.service.notePut(put, answer)
		case !isClear(status):
			put.IsOpen = true
		case !put.IsOpen && w.draw.IntN(2) == 0:
			w.cover("put given up after a refusal")
			put.IsGivenUp = true
			c.rest()
			return
		}
		if isClear(status) && status != http.StatusServiceUnavailable || w.now-put.SentAt > resendTime {
			c.maybeSendAgain(put, status)
			return
		}
		c.via++
		w.after(resendPause, func() { c.sendPut(put) })
	})
}

// maybeSendAgain has a copy of a put come late, now and then, as if it had been held up on its way.
func (c *modelCaller) maybeSendAgain(put *coordinationcheck.Put, status int) {
	w := c.service.cluster
	if status == http.StatusOK && w.draw.IntN(4) == 0 {
		w.cover("put came again")
		late := &modelCaller{service: c.service, via: w.draw.IntN(len(w.slots)), known: map[string]uint64{}}
		w.after(time.Duration(w.draw.Int64N(int64(lateCopyTime))), func() {
			late.call(wire.VerbPut, put.Name, &wire.PutCall{Value: put.Value, Expected: put.Expected}, false, func(answer *response.Reply) {
				if status := statusOf(answer); status == http.StatusOK || status == http.StatusPreconditionFailed {
					c.service.notePut(put, answer)
				}
			})
		})
	}
	c.rest()
}

// notePut records the clear answer to a put and gives the revision of its cell.
func (s *coordinationService) notePut(put *coordinationcheck.Put, answer *response.Reply) uint64 {
	var at wire.RevisionAnswer
	s.read(answer, &at)
	isTaken := answer.Status == http.StatusOK
	put.Answers = append(put.Answers, coordinationcheck.PutAnswer{At: s.cluster.now, IsTaken: isTaken, Revision: at.Revision})
	if isTaken {
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
			s.read(answer, &held)
		case http.StatusNotFound:
		default:
			done(status)
			return
		}
		c.known[name] = held.Revision
		s.history.Reads = append(s.history.Reads, coordinationcheck.Read{Name: name, Value: held.Value, Revision: held.Revision, SentAt: sentAt,
			At: s.cluster.now})
		done(status)
	})
}

// read decodes an answer that has been given with success.
func (s *coordinationService) read(answer *response.Reply, into easyjson.Unmarshaler) {
	if !json.Valid(answer.Body) || easyjson.Unmarshal(answer.Body, into) != nil {
		s.cluster.violated("answers can be read", "%d %s", answer.Status, answer.Body)
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
	m.via = w.draw.IntN(len(w.slots))
	m.ask(time.Duration(w.draw.Int64N(int64(maxWatchWait))), func(int) {
		sleep := resendPause
		if w.draw.IntN(10) == 0 {
			sleep = time.Duration(w.draw.Int64N(int64(2 * keptHistory)))
		}
		w.after(sleep, m.watch)
	})
}

// ask makes one call, and notes what it brought.
func (m *modelWatcher) ask(wait time.Duration, done func(status int)) {
	s := m.service
	command := &coordinationapi.Command{Call: wire.ClientCall{Verb: wire.VerbWatch, ID: m.group, Base: int64(m.above)}, Wait: wait, IsRead: true}
	above, sentAt := m.above, s.cluster.now
	s.operate(m.via, command, func(answer *response.Reply) {
		status := statusOf(answer)
		switch status {
		case http.StatusOK:
			var seen wire.WatchAnswer
			s.read(answer, &seen)
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
