package lots

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// maxItems is how many items a lot has at most.
	maxItems = 200
	// maxListBytes is how many bytes of texts an answer to a reader has at most, unless one result alone is larger.
	maxListBytes = 900 << 10
	// retryAfterS is how long a client whose lot does not fit should wait.
	retryAfterS = 1
)

// answerClient takes the answer to a client's call, once.
type answerClient = func(wire.ClientAnswer)

// reader waits until a lot has a result at a position.
type reader struct {
	position int
	until    time.Duration
	answer   answerClient
}

func refusal(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason}
}

// Submit takes a lot, unless its tenant has too many tokens waiting. The same lot again is the same one.
func (p *Part) Submit(call *wire.ClientCall, answer answerClient) {
	if known := p.lots[call.ID]; known != nil {
		p.answerAccepted(answer)
		return
	}
	handedIn, err := readSubmission(call.Body)
	if err != nil {
		answer(refusal(http.StatusBadRequest, "the lot can't be read: "+err.Error()))
		return
	}
	route := p.Route(call.Route)
	if route == nil {
		answer(refusal(http.StatusServiceUnavailable, "the route is not known here yet"))
		return
	}
	lot := p.newLot(call, handedIn)
	if limit := route.TokenLimit(); limit > 0 && p.waitingTokens(call.Tenant, call.Route)+lot.waitingTokens() > limit {
		answer(wire.ClientAnswer{Status: http.StatusTooManyRequests, RetryAfterS: retryAfterS, Reason: "the tenant has too many tokens waiting"})
		return
	}
	p.lots[lot.id] = lot
	p.recordLot(lot)
	p.changes.afterCommit(func(err error) {
		if err == nil {
			lot.isCommitted = true
			p.enqueue(lot)
		}
	})
	p.answerAccepted(answer)
}

// answerAccepted acknowledges a lot once all that was recorded so far is committed.
func (p *Part) answerAccepted(answer answerClient) {
	p.changes.afterCommit(func(err error) {
		if err != nil {
			answer(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true})
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusAccepted})
	})
}

// readSubmission decodes a lot and checks it; an error says what is wrong with it.
func readSubmission(body []byte) (*submission, error) {
	handedIn := &submission{}
	if err := easyjson.Unmarshal(body, handedIn); err != nil {
		return nil, err
	}
	if count := len(handedIn.Items); count == 0 || count > maxItems {
		return nil, errors.Errorf("field item-list has %d items", count)
	}
	ids := map[string]bool{}
	for _, item := range handedIn.Items {
		if item.ID == "" || ids[item.ID] {
			return nil, errors.New("field executor-id of an item is empty or stands twice")
		}
		ids[item.ID] = true
	}
	return handedIn, nil
}

func (p *Part) newLot(call *wire.ClientCall, handedIn *submission) *lot {
	made := &lot{id: call.ID, record: lotRecord{Route: call.Route, Tenant: call.Tenant, AcceptedMs: p.leadership.WallMs()}}
	for index, given := range handedIn.Items {
		made.record.Items = append(made.record.Items, itemRecord{ID: given.ID, Path: given.Path, Headers: given.Headers, Tokens: given.Tokens})
		made.items = append(made.items, &item{lot: made, index: index, body: given.Body})
	}
	return made
}

// recordLot writes a lot and the bodies of its items.
func (p *Part) recordLot(lot *lot) {
	text, err := easyjson.Marshal(&lot.record)
	if err != nil {
		p.Log.Error(err, "record not written", "lot", lot.id)
		return
	}
	p.changes.put(prefixLot+lot.id, text)
	for _, item := range lot.items {
		if len(item.body) > 0 {
			p.changes.put(nameOf(prefixBody, lot.id, item.index), bodyText(item.body))
		}
	}
}

// bodyText is a body as JSON text, in base64: records are JSON, as they travel in messages.
func bodyText(body []byte) []byte { return []byte(`"` + base64.StdEncoding.EncodeToString(body) + `"`) }

// waitingTokens are those that a tenant has waiting on a route.
func (p *Part) waitingTokens(tenant, route string) int64 {
	var tokens int64
	for _, lot := range p.lots {
		if lot.record.Tenant == tenant && lot.record.Route == route {
			tokens += lot.waitingTokens()
		}
	}
	return tokens
}

// mayUse tells whether a call may be about a lot: those of one tenant are not there for another. Calls of routes without keys bear no tenant.
func (l *lot) mayUse(call *wire.ClientCall) bool {
	return call.Tenant == "" || l.record.Tenant == "" || call.Tenant == l.record.Tenant
}

// lotOf gives the lot of a call if it is durable; else it answers. That a lot does not exist is only said under a lease.
func (p *Part) lotOf(call *wire.ClientCall, answer answerClient) *lot {
	lot := p.lots[call.ID]
	isThere := lot != nil && lot.mayUse(call)
	if isThere && lot.isCommitted {
		return lot
	}
	if isThere {
		answer(refusal(http.StatusServiceUnavailable, "the lot is being taken"))
		return nil
	}
	p.answerUnderLease(answer, refusal(http.StatusNotFound, "there is no such lot"))
	return nil
}

// answerUnderLease gives an answer that is only true while no other process leads the key.
func (p *Part) answerUnderLease(answer answerClient, response wire.ClientAnswer) {
	if !p.leadership.HasLease() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	answer(response)
}

// Results gives the results from a position on; it waits for one as long as the call allows.
func (p *Part) Results(call *wire.ClientCall, answer answerClient) {
	lot := p.lotOf(call, answer)
	if lot == nil {
		return
	}
	position := int(max(0, call.Base))
	waiting := &reader{position: position, until: p.Clock.Monotonic() + clock.Milliseconds(call.RemainingMs), answer: answer}
	if position < lot.readable || call.RemainingMs <= 0 || lot.readable == len(lot.items) {
		p.show(lot, waiting)
		return
	}
	lot.readers = append(lot.readers, waiting)
}

// show answers a reader with what there is.
func (p *Part) show(lot *lot, reader *reader) {
	page := &resultList{Total: len(lot.items), Next: reader.position, Results: []shownResult{}}
	size := 0
	for position := reader.position; position < lot.readable; position++ {
		result := &lot.results[position]
		if size += len(result.Text); size > maxListBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, shownResult{ID: lot.record.Items[result.Index].ID, State: result.State, Text: result.Text})
		page.Next++
	}
	text, err := easyjson.Marshal(page)
	if err != nil {
		reader.answer(refusal(http.StatusInternalServerError, "the results can't be written"))
		return
	}
	p.answerUnderLease(reader.answer, wire.ClientAnswer{Status: http.StatusOK, Body: text})
}

// answerReaders answers those who wait for a position that is there by now.
func (p *Part) answerReaders(lot *lot) {
	lot.readers = slices.DeleteFunc(lot.readers, func(reader *reader) bool {
		if reader.position >= lot.readable {
			return false
		}
		p.show(lot, reader)
		return true
	})
}

// answerDueReaders answers those who have waited long enough.
func (p *Part) answerDueReaders(now time.Duration) {
	for _, lot := range p.lots {
		lot.readers = slices.DeleteFunc(lot.readers, func(reader *reader) bool {
			if now < reader.until {
				return false
			}
			p.show(lot, reader)
			return true
		})
	}
}

// Item gives the body of an item that has no result yet, as JSON text in base64.
func (p *Part) Item(call *wire.ClientCall, answer answerClient) {
	lot := p.lotOf(call, answer)
	if lot == nil {
		return
	}
	item := lot.itemByID(call.Item)
	if item == nil || item.isListed && lot.isReadable(item) || lot.isEnded {
		p.answerUnderLease(answer, refusal(http.StatusNotFound, "the lot has no such item that waits"))
		return
	}
	p.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: bodyText(item.body)})
}

// isReadable tells whether the result of an item is shown.
func (l *lot) isReadable(item *item) bool {
	return slices.ContainsFunc(l.results[:l.readable], func(result resultRecord) bool { return result.Index == item.index })
}

// End ends a lot: what has a position stays, and nothing more of it runs. Ending it again changes nothing.
func (p *Part) End(call *wire.ClientCall, answer answerClient) {
	lot := p.lotOf(call, answer)
	if lot == nil {
		return
	}
	if !lot.isEnded {
		lot.isEnded = true
		p.changes.put(prefixEnd+lot.id, []byte("1"))
	}
	p.changes.afterCommit(func(err error) {
		if err != nil {
			answer(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true})
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusOK})
	})
}

func (l *lot) loadBody(number string, value []byte) error {
	index, err := strconv.Atoi(number)
	if err != nil || index < 0 || index >= len(l.items) {
		return errors.Errorf("no item has the number %s", number)
	}
	return json.Unmarshal(value, &l.items[index].body)
}

func (l *lot) loadResult(number string, value []byte) error {
	var record resultRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	position, err := strconv.Atoi(number)
	if err != nil || position < 0 || record.Index < 0 || record.Index >= len(l.items) {
		return errors.Errorf("position %s, item %d", number, record.Index)
	}
	for len(l.results) <= position {
		l.results = append(l.results, resultRecord{Index: -1})
	}
	l.results[position] = record
	l.items[record.Index].isListed = true
	return nil
}
