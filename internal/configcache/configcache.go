// Package configcache holds the newest committed configuration that a process has heard of, fetches newer ones from peers and serves it to them; it never goes back.
package configcache

import (
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

// Snapshot is the version in force, as it was committed and as it is looked up.
type Snapshot struct {
	Fact    *peerapi.Configuration
	Matcher *configuration.Matcher
	version *Version
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

// Cache holds the newest committed configuration, fetches newer ones from peers and serves it to them.
type Cache struct {
	box     *mailbox.Mailbox
	page    atomic.Pointer[Snapshot]
	caller  *peerapi.Caller
	clock   pulse.Pulse
	log     logging.Logger
	heed    func(*Snapshot)
	fetcher *Fetcher
	// answering has room for the answers that may be under way at once.
	answering chan struct{}
}

// New makes a cache; heed is told of each version that comes into force.
func New(caller *peerapi.Caller, clock pulse.Pulse, log logging.Logger, heed func(*Snapshot)) *Cache {
	cache := &Cache{box: mailbox.New(64), caller: caller, clock: clock, log: log, heed: heed, answering: make(chan struct{}, mostAnswers)}
	cache.fetcher = NewFetcher(clock, log, Actions{Ask: cache.ask, Wake: cache.wake, Use: cache.use})
	return cache
}

// Page gives the version in force, nil before the first.
func (c *Cache) Page() *Snapshot { return c.page.Load() }

// Run owns the cache until the span ends.
func (c *Cache) Run(life span.Span) error {
	c.box.Run(life, c.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Hold takes a committed configuration.
func (c *Cache) Hold(fact *peerapi.Configuration) { c.box.Post(func() { c.fetcher.Hold(fact) }) }

// Ahead fetches a version that a peer holds and this process does not.
func (c *Cache) Ahead(member peerapi.Member, version int64) {
	c.box.TryPost(func() { c.fetcher.Hear(member, version) })
}

func (c *Cache) version() *Version {
	if page := c.page.Load(); page != nil {
		return page.version
	}
	return nil
}

// use brings a version into force; an error says that it can't be read, and changes nothing.
func (c *Cache) use(next *Version) error {
	fact := next.Fact
	plan, err := configuration.Read(fact.Body)
	if err != nil {
		return errors.Annotatef(err, "version %d of the plan", fact.Version)
	}
	page := &Snapshot{Fact: fact, Matcher: configuration.NewMatcher(plan), version: next}
	c.page.Store(page)
	versionsTaken.Inc()
	versionHeld.Set(float64(fact.Version))
	c.log.Info("plan in force", "version", fact.Version, "routes", len(plan.Entries))
	c.heed(page)
	return nil
}

func (c *Cache) ask(address string, call *peerapi.ConfigurationCall, patience time.Duration) {
	go func() {
		answer, err := peerapi.CallWhileMoving[peerapi.ConfigurationCall, peerapi.ConfigurationAnswer](c.caller, c.clock, span.Root(), address,
			peerapi.ProcedurePlan, patience, call)
		c.box.Post(func() { c.fetcher.Take(address, call, answer, err) })
	}()
}

func (c *Cache) wake(after time.Duration) {
	due := c.clock.After(after)
	go func() {
		<-due
		c.box.Post(c.fetcher.Wake)
	}()
}
