// Package configcache holds the newest committed plan a process has heard of; it never goes back.
package configcache

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/configuration"
	"gannetline/internal/logs"
	"gannetline/internal/mailbox"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

// A second sibling is asked only if the first one has not answered for a while.
const fetchPatience = 200 * time.Millisecond

type Page struct {
	Fact    *peerapi.PlanFact
	Matcher *configuration.Matcher
	edition *Edition
}

// Moved gives the services that an entry was sent to before.
func (p *Page) Moved(entry string) []string {
	for _, moved := range p.Fact.Moved {
		if moved.Entry == entry {
			return moved.Services
		}
	}
	return nil
}

type Book struct {
	box      *mailbox.Mailbox
	page     atomic.Pointer[Page]
	caller   *peerapi.Caller
	clock    pulse.Pulse
	log      logs.Logger
	fetching map[string]bool
	askedAt  time.Duration
	// next was heard to hold nextHolds during a fetch.
	next      peerapi.Member
	nextHolds int64
	heed      func(*Page)
}

func New(caller *peerapi.Caller, clock pulse.Pulse, log logs.Logger, heed func(*Page)) *Book {
	return &Book{box: mailbox.New(64), caller: caller, clock: clock, log: log, heed: heed, fetching: map[string]bool{}}
}

func (b *Book) Page() *Page { return b.page.Load() }

func (b *Book) Run(life span.Span) error {
	b.box.Run(life, b.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Hold takes a committed plan.
func (b *Book) Hold(fact *peerapi.PlanFact) { b.box.Post(func() { b.hold(fact) }) }

func (b *Book) edition() *Edition {
	if page := b.page.Load(); page != nil {
		return page.edition
	}
	return nil
}

func (b *Book) hold(fact *peerapi.PlanFact) { b.turnTo(b.edition().Follow(fact)) }

func (b *Book) turnTo(edition *Edition) {
	if edition == b.edition() {
		return
	}
	fact := edition.Fact
	plan, err := configuration.Read(fact.Body)
	if err != nil {
		b.log.Error(errors.Annotate(err, "a plan from a sibling"), "the plan was refused", "version", fact.Version)
		return
	}
	page := &Page{Fact: fact, Matcher: configuration.NewMatcher(plan), edition: edition}
	b.page.Store(page)
	versionsTaken.Inc()
	versionHeld.Set(float64(fact.Version))
	b.log.Info("plan in force", "version", fact.Version, "routes", len(plan.Entries))
	b.heed(page)
}

// Ahead fetches a plan that a sibling holds and this process does not.
func (b *Book) Ahead(sibling peerapi.Member, version int64) {
	b.box.TryPost(func() {
		isWaiting := len(b.fetching) > 0 && b.clock.Steady()-b.askedAt < fetchPatience
		switch {
		case version <= b.edition().version():
		case b.fetching[sibling.Address] || isWaiting:
			b.next, b.nextHolds = sibling, version
		default:
			b.ask(sibling.Address, true)
		}
	})
}

// askNext turns to who was heard of during a fetch, if that fetch left this process behind.
func (b *Book) askNext() {
	if b.nextHolds > b.edition().version() && !b.fetching[b.next.Address] {
		b.nextHolds = 0
		b.ask(b.next.Address, true)
	}
}

func (b *Book) ask(address string, takesChanges bool) {
	b.fetching[address] = true
	b.askedAt = b.clock.Steady()
	call := &peerapi.PlanCall{Held: b.edition().version(), TakesChanges: takesChanges && b.edition() != nil}
	go func() {
		answer, err := peerapi.Call[peerapi.PlanCall, peerapi.PlanAnswer](b.caller, span.Root(), address,
			peerapi.ProcedurePlan, time.Second, call)
		b.box.Post(func() { b.take(address, answer, err) })
	}()
}

func (b *Book) take(address string, answer *peerapi.PlanAnswer, err error) {
	delete(b.fetching, address)
	if err != nil {
		b.log.Info("a plan could not be fetched", "why", err.Error())
		b.askNext()
		return
	}
	bodyBytesFetched.Add(bytesOf(answer))
	edition, err := b.edition().Take(answer)
	if err != nil {
		b.log.Info("changes of the plan do not fit; the whole is fetched", "why", err.Error())
		b.ask(address, false)
		return
	}
	b.turnTo(edition)
	b.askNext()
}

// bytesOf counts the text of plans in an answer, whole or in parts.
func bytesOf(answer *peerapi.PlanAnswer) int {
	count := 0
	if answer.Fact != nil {
		count = len(answer.Fact.Body)
	}
	for _, change := range answer.Changes {
		count += textIn(change)
	}
	return count
}

// Handle lets siblings fetch the plan.
func (b *Book) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedurePlan, func(_ span.Span, call *peerapi.PlanCall) (*peerapi.PlanAnswer, error) {
		return b.edition().Answer(call), nil
	})
}
