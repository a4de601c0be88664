// Package configcache holds the newest committed plan a process has heard of; it never goes back.
package configcache

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/configuration"
	"gannetline/internal/logging"
	"gannetline/internal/mailbox"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

// A second sibling is asked only if the first one has not answered for a while.
const fetchPatience = 200 * time.Millisecond

type Snapshot struct {
	Fact    *peerapi.Configuration
	Matcher *configuration.Matcher
	edition *Version
}

// Moved gives the services that an entry was sent to before.
func (p *Snapshot) Moved(entry string) []string {
	for _, moved := range p.Fact.Moved {
		if moved.Entry == entry {
			return moved.Services
		}
	}
	return nil
}

type Cache struct {
	box      *mailbox.Mailbox
	page     atomic.Pointer[Snapshot]
	caller   *peerapi.Caller
	clock    pulse.Pulse
	log      logging.Logger
	fetching map[string]bool
	askedAt  time.Duration
	// next was heard to hold nextHolds during a fetch.
	next      peerapi.Member
	nextHolds int64
	heed      func(*Snapshot)
}

func New(caller *peerapi.Caller, clock pulse.Pulse, log logging.Logger, heed func(*Snapshot)) *Cache {
	return &Cache{box: mailbox.New(64), caller: caller, clock: clock, log: log, heed: heed, fetching: map[string]bool{}}
}

func (b *Cache) Page() *Snapshot { return b.page.Load() }

func (b *Cache) Run(life span.Span) error {
	b.box.Run(life, b.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Hold takes a committed plan.
func (b *Cache) Hold(fact *peerapi.Configuration) { b.box.Post(func() { b.hold(fact) }) }

func (b *Cache) edition() *Version {
	if page := b.page.Load(); page != nil {
		return page.edition
	}
	return nil
}

func (b *Cache) hold(fact *peerapi.Configuration) { b.turnTo(b.edition().Follow(fact)) }

func (b *Cache) turnTo(edition *Version) {
	if edition == b.edition() {
		return
	}
	fact := edition.Fact
	plan, err := configuration.Read(fact.Body)
	if err != nil {
		b.log.Error(errors.Annotate(err, "a plan from a sibling"), "the plan was refused", "version", fact.Version)
		return
	}
	page := &Snapshot{Fact: fact, Matcher: configuration.NewMatcher(plan), edition: edition}
	b.page.Store(page)
	versionsTaken.Inc()
	versionHeld.Set(float64(fact.Version))
	b.log.Info("plan in force", "version", fact.Version, "routes", len(plan.Entries))
	b.heed(page)
}

// Ahead fetches a plan that a sibling holds and this process does not.
func (b *Cache) Ahead(sibling peerapi.Member, version int64) {
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
func (b *Cache) askNext() {
	if b.nextHolds > b.edition().version() && !b.fetching[b.next.Address] {
		b.nextHolds = 0
		b.ask(b.next.Address, true)
	}
}

func (b *Cache) ask(address string, takesChanges bool) {
	b.fetching[address] = true
	b.askedAt = b.clock.Steady()
	call := &peerapi.ConfigurationCall{Held: b.edition().version(), TakesChanges: takesChanges && b.edition() != nil}
	go func() {
		answer, err := peerapi.Call[peerapi.ConfigurationCall, peerapi.ConfigurationAnswer](b.caller, span.Root(), address,
			peerapi.ProcedurePlan, time.Second, call)
		b.box.Post(func() { b.take(address, answer, err) })
	}()
}

func (b *Cache) take(address string, answer *peerapi.ConfigurationAnswer, err error) {
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
func bytesOf(answer *peerapi.ConfigurationAnswer) int {
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
func (b *Cache) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedurePlan, func(_ span.Span, call *peerapi.ConfigurationCall) (*peerapi.ConfigurationAnswer, error) {
		return b.edition().Answer(call), nil
	})
}
