// Package planbook holds the newest committed plan a process has heard of; it never goes back.
package planbook

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/logs"
	"gannetline/internal/mailbox"
	"gannetline/internal/plancheck"
	"gannetline/internal/pulse"
	"gannetline/internal/siblingwire"
	"gannetline/internal/span"
)

const mostFetches = 3

type Page struct {
	Fact    *siblingwire.PlanFact
	Matcher *plancheck.Matcher
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
	caller   *siblingwire.Caller
	clock    pulse.Pulse
	log      logs.Logger
	fetching map[string]bool
	heed     func(*Page)
}

func New(caller *siblingwire.Caller, clock pulse.Pulse, log logs.Logger, heed func(*Page)) *Book {
	return &Book{box: mailbox.New(64), caller: caller, clock: clock, log: log, heed: heed, fetching: map[string]bool{}}
}

func (b *Book) Page() *Page { return b.page.Load() }

func (b *Book) Run(life span.Span) error {
	b.box.Run(life, b.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Hold takes a committed plan.
func (b *Book) Hold(fact *siblingwire.PlanFact) { b.box.Post(func() { b.hold(fact) }) }

func (b *Book) hold(fact *siblingwire.PlanFact) {
	if held := b.page.Load(); held != nil && held.Fact.Version >= fact.Version {
		return
	}
	plan, err := plancheck.Read(fact.Body)
	if err != nil {
		b.log.Error(errors.Annotate(err, "a plan from a sibling"), "the plan was refused", "version", fact.Version)
		return
	}
	page := &Page{Fact: fact, Matcher: plancheck.NewMatcher(plan)}
	b.page.Store(page)
	versionsTaken.Inc()
	versionHeld.Set(float64(fact.Version))
	b.log.Info("plan in force", "version", fact.Version, "routes", len(plan.Entries))
	b.heed(page)
}

// Ahead fetches a plan that a sibling holds and this process does not.
func (b *Book) Ahead(sibling siblingwire.Member, version int64) {
	b.box.TryPost(func() {
		held := b.held()
		if version <= held || b.fetching[sibling.Address] || len(b.fetching) >= mostFetches {
			return
		}
		b.fetching[sibling.Address] = true
		go b.fetch(sibling.Address, held)
	})
}

func (b *Book) held() int64 {
	if page := b.page.Load(); page != nil {
		return page.Fact.Version
	}
	return 0
}

func (b *Book) fetch(address string, held int64) {
	answer, err := siblingwire.Call[siblingwire.PlanCall, siblingwire.PlanAnswer](b.caller, span.Root(), address,
		siblingwire.ProcedurePlan, time.Second, &siblingwire.PlanCall{Held: held})
	b.box.Post(func() {
		delete(b.fetching, address)
		if err != nil {
			b.log.Info("a plan could not be fetched", "why", err.Error())
			return
		}
		if answer.Fact != nil {
			bodyBytesFetched.Add(len(answer.Fact.Body))
			b.hold(answer.Fact)
		}
	})
}

// Handle lets siblings fetch the plan.
func (b *Book) Handle(mux *http.ServeMux) {
	siblingwire.Serve(mux, siblingwire.ProcedurePlan, func(_ span.Span, call *siblingwire.PlanCall) (*siblingwire.PlanAnswer, error) {
		page := b.Page()
		if page == nil || page.Fact.Version <= call.Held {
			return &siblingwire.PlanAnswer{}, nil
		}
		return &siblingwire.PlanAnswer{Fact: page.Fact}, nil
	})
}
