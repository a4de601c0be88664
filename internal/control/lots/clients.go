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

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
)

const (
	// maxItems limits the items of a lot.
	maxItems = 200
	// maxItemTokens is the largest token count of an item. Larger ones count as this, so that the sums over all lots stay within 64 bits.
	maxItemTokens = 1 << 40
	// maxListBytes limits the result texts in one answer to a reader, in bytes. An answer with a single result may be larger.
	maxListBytes = 900 << 10
	// retryAfterS is the number of seconds after which a client may retry a lot that exceeded the tenant's token limit.
	retryAfterS = 1
)

// answerClient receives the answer to a client's call. It is called exactly once.
type answerClient = func(wire.ClientAnswer)

// reader is a call that waits for a committed result at a position of a lot, until a deadline on the monotonic clock.
type reader struct {
	position int
	deadline time.Duration
	answer   answerClient
}

// refusal returns an answer that states why a call was refused.
func refusal(status int, reason string) wire.ClientAnswer {
	return wire.ClientAnswer{Status: status, Reason: reason}
}

// Submit accepts a lot unless its tenant would exceed the token limit of the route. A call with the ID of a known lot is taken for a retry
// and acknowledged without a new lot, unless the lot is hidden from the call.
func (p *Part) Submit(call *wire.ClientCall, answer answerClient) {
	if existing := p.lots[call.ID]; existing != nil {
		if !p.isVisibleTo(existing, call) {
			p.answerUnderLease(answer, refusal(http.StatusConflict, "the ID belongs to another lot"))
			return
		}
		p.answerAccepted(answer)
		return
	}
	submitted, err := readSubmission(call.Body)
	if err != nil {
		answer(refusal(http.StatusBadRequest, "the lot can't be read: "+err.Error()))
		return
	}
	route := p.routeNamed(call.Route)
	if route == nil {
		answer(refusal(http.StatusServiceUnavailable, "the route is not known here yet"))
		return
	}
	lot := p.newLot(call, submitted)
	lot.record.Address, lot.record.Version = route.Address(), p.Configuration().Configuration().Version
	if limit := route.TokenLimit(); limit > 0 && p.waitingTokens(call.Tenant, route)+lot.waitingTokens() > limit {
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

// answerAccepted acknowledges a lot once all changes made so far are committed.
func (p *Part) answerAccepted(answer answerClient) {
	p.changes.afterCommit(func(err error) {
		if err != nil {
			answer(wire.ClientAnswer{NotLeader: true, OutcomeUnknown: true})
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusAccepted})
	})
}

// readSubmission decodes and validates a submitted lot.
func readSubmission(body []byte) (*submission, error) {
	submitted := &submission{}
	if err := easyjson.Unmarshal(body, submitted); err != nil {
		return nil, err
	}
	if count := len(submitted.Items); count == 0 || count > maxItems {
		return nil, errors.Errorf("field item-list has %d items", count)
	}
	ids := map[string]bool{}
	for _, item := range submitted.Items {
		if item.ID == "" || ids[item.ID] {
			return nil, errors.New("field executor-id of an item is empty or stands twice")
		}
		ids[item.ID] = true
	}
	return submitted, nil
}

// newLot returns a lot that is not committed yet. Its acceptance time is the median of the clocks of the leader and its followers.
func (p *Part) newLot(call *wire.ClientCall, submitted *submission) *lot {
	created := &lot{id: call.ID, record: lotRecord{Route: call.Route, Tenant: call.Tenant, AcceptedMs: p.leadership.WallMs()}}
	for index, input := range submitted.Items {
		created.record.Items = append(created.record.Items, itemRecord{ID: input.ID, Path: input.Path, Headers: input.Headers,
			Tokens: max(0, min(input.Tokens, maxItemTokens))})
		created.items = append(created.items, &item{lot: created, index: index, body: input.Body})
	}
	return created
}

// recordLot adds the records of a lot and of the bodies of its items to the change set.
func (p *Part) recordLot(lot *lot) {
	encoded, err := easyjson.Marshal(&lot.record)
	if err != nil {
		p.Log.Error(err, "record not written", "lot", lot.id)
		return
	}
	p.changes.put(prefixLot+lot.id, encoded)
	for _, item := range lot.items {
		if len(item.body) > 0 {
			p.changes.put(recordName(prefixBody, lot.id, item.index), bodyText(item.body))
		}
	}
}

// bodyText returns a body as a base64 string in JSON. Records must be JSON, since they are embedded in messages.
func bodyText(body []byte) []byte { return []byte(`"` + base64.StdEncoding.EncodeToString(body) + `"`) }

// waitingTokens returns the number of tokens of a tenant's items on a route that have no result yet, apart from items of ended lots. Lots
// that were submitted when the route had another name count as well.
func (p *Part) waitingTokens(tenant string, route *configuration.Route) int64 {
	var tokens int64
	for _, lot := range p.lots {
		if lot.record.Tenant != tenant || lot.isFinished() {
			continue
		}
		if present := p.routeOf(lot); present != nil && present.Name == route.Name {
			tokens += lot.waitingTokens()
		}
	}
	return tokens
}

// isVisibleTo reports whether a call may access a lot. Any call may access a lot without a tenant. The lot of a tenant is hidden from other
// tenants, and from calls without a tenant unless its route needs no key any more.
func (p *Part) isVisibleTo(lot *lot, call *wire.ClientCall) bool {
	if lot.record.Tenant == "" || call.Tenant == lot.record.Tenant {
		return true
	}
	return call.Tenant == "" && !p.needsKey(lot)
}

// findLot returns the lot of a call if the lot is durable and visible to the call. Otherwise it answers the call and returns nil. It
// answers that a lot does not exist only under the lease, since another leader may have accepted the lot.
func (p *Part) findLot(call *wire.ClientCall, answer answerClient) *lot {
	lot := p.lots[call.ID]
	isVisible := lot != nil && p.isVisibleTo(lot, call)
	if isVisible && lot.isCommitted {
		return lot
	}
	if isVisible {
		answer(refusal(http.StatusServiceUnavailable, "the lot is being taken"))
		return nil
	}
	p.answerUnderLease(answer, refusal(http.StatusNotFound, "there is no such lot"))
	return nil
}

// answerUnderLease sends an answer that depends on every change made so far and is only true while no other process leads the key. It waits
// for the commits of these changes and then checks the lease. If a commit fails or the lease is lost, it refers the client to the leader.
func (p *Part) answerUnderLease(answer answerClient, response wire.ClientAnswer) {
	p.changes.afterCommit(func(err error) {
		if err != nil {
			answer(wire.ClientAnswer{NotLeader: true})
			return
		}
		p.answerIfLeased(answer, response)
	})
}

// answerIfLeased sends an answer that depends only on committed changes and is only true while no other process leads the key. Without the
// lease, it refers the client to the leader.
func (p *Part) answerIfLeased(answer answerClient, response wire.ClientAnswer) {
	if p.leadership == nil || !p.leadership.HasLease() {
		answer(wire.ClientAnswer{NotLeader: true})
		return
	}
	answer(response)
}

// Results answers with the committed results from position call.Base on. If there are none yet, it waits for one up to call.RemainingMs,
// unless all items have committed results.
func (p *Part) Results(call *wire.ClientCall, answer answerClient) {
	lot := p.findLot(call, answer)
	if lot == nil {
		return
	}
	position := int(max(0, call.Base))
	newReader := &reader{position: position, deadline: p.Clock.Monotonic() + clock.Milliseconds(call.RemainingMs), answer: answer}
	if position < lot.committedResults || call.RemainingMs <= 0 || lot.committedResults == len(lot.items) {
		p.answerReader(lot, newReader)
		return
	}
	lot.readers = append(lot.readers, newReader)
}

// answerReader answers a reader with the committed results from its position on, up to maxListBytes.
func (p *Part) answerReader(lot *lot, reader *reader) {
	page := &resultList{Total: len(lot.items), Next: reader.position, Results: []shownResult{}}
	size := 0
	for position := reader.position; position < lot.committedResults; position++ {
		result := &lot.results[position]
		if size += len(result.Text); size > maxListBytes && len(page.Results) > 0 {
			break
		}
		page.Results = append(page.Results, shownResult{ID: lot.record.Items[result.Index].ID, State: result.State, Text: result.Text})
		page.Next++
	}
	encoded, err := easyjson.Marshal(page)
	if err != nil {
		reader.answer(refusal(http.StatusInternalServerError, "the results can't be written"))
		return
	}
	p.answerIfLeased(reader.answer, wire.ClientAnswer{Status: http.StatusOK, Body: encoded})
}

// answerReaders answers the readers of a lot whose position has a committed result.
func (p *Part) answerReaders(lot *lot) {
	lot.readers = slices.DeleteFunc(lot.readers, func(reader *reader) bool {
		if reader.position >= lot.committedResults {
			return false
		}
		p.answerReader(lot, reader)
		return true
	})
}

// answerExpiredReaders answers the readers whose deadline has passed.
func (p *Part) answerExpiredReaders(now time.Duration) {
	for _, lot := range p.lots {
		lot.readers = slices.DeleteFunc(lot.readers, func(reader *reader) bool {
			if now < reader.deadline {
				return false
			}
			p.answerReader(lot, reader)
			return true
		})
	}
}

// Item answers with the body of an item that has no committed result and whose lot was not ended, as a base64 string in JSON.
func (p *Part) Item(call *wire.ClientCall, answer answerClient) {
	lot := p.findLot(call, answer)
	if lot == nil {
		return
	}
	item := lot.itemByID(call.Item)
	if item == nil || item.hasResult && lot.hasCommittedResult(item) || lot.isEnded {
		p.answerUnderLease(answer, refusal(http.StatusNotFound, "the lot has no such item that waits"))
		return
	}
	p.answerUnderLease(answer, wire.ClientAnswer{Status: http.StatusOK, Body: bodyText(item.body)})
}

// hasCommittedResult reports whether the result of an item is committed and visible to readers.
func (l *lot) hasCommittedResult(item *item) bool {
	return slices.ContainsFunc(l.results[:l.committedResults], func(result resultRecord) bool { return result.Index == item.index })
}

// End ends a lot: existing results are kept and no further run starts. Ending a lot again has no effect.
func (p *Part) End(call *wire.ClientCall, answer answerClient) {
	lot := p.findLot(call, answer)
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

// loadBody reads the body record of the item with the given index.
func (l *lot) loadBody(indexText string, value []byte) error {
	index, err := strconv.Atoi(indexText)
	if err != nil || index < 0 || index >= len(l.items) {
		return errors.Errorf("the lot has no item with index %s", indexText)
	}
	return json.Unmarshal(value, &l.items[index].body)
}

// loadResult reads the result record of the given position. Records may come in any order, so positions below it may still be unset.
func (l *lot) loadResult(positionText string, value []byte) error {
	var record resultRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	position, err := strconv.Atoi(positionText)
	if err != nil || position < 0 || record.Index < 0 || record.Index >= len(l.items) {
		return errors.Errorf("the result at position %s of item %d is out of range", positionText, record.Index)
	}
	for len(l.results) <= position {
		l.results = append(l.results, resultRecord{Index: -1})
	}
	l.results[position] = record
	l.items[record.Index].hasResult = true
	return nil
}
