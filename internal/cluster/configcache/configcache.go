// Package configcache holds the newest committed configuration that a process knows, fetches newer ones from peers and
// serves it to them; it never goes back.
package configcache

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

// Snapshot is the version in force, as it was committed and as it is looked up.
type Snapshot struct {
	Committed *wire.Configuration
	Matcher   *configuration.Matcher
	version   *Version
}

// OtherServices gives all services but the given one whose pools may have jobs of a route: those that the route led to before, and those
// of the versions that a rollout under way divides its jobs between.
func (s *Snapshot) OtherServices(route, service string) []string {
	var others []string
	add := func(other string) {
		if other != service && !slices.Contains(others, other) {
			others = append(others, other)
		}
	}
	for _, moved := range s.Committed.Moved {
		if moved.Route == route {
			for _, former := range moved.Services {
				add(former)
			}
		}
	}
	if rollout := s.Matcher.Rollout(route); rollout != nil {
		add(rollout.From)
		add(rollout.To)
	}
	return others
}

const mailboxSize = 64

// Cache holds the newest committed configuration, fetches newer ones from peers and serves it to them.
type Cache struct {
	mailbox  *mailbox.Mailbox
	current  atomic.Pointer[Snapshot]
	caller   *peerapi.Caller
	clock    clock.Clock
	log      logging.Logger
	onChange func(*Snapshot)
	fetcher  *Fetcher
	// answerSlots has room for the answers that may be under way at once.
	answerSlots chan struct{}
}

// New makes a cache; onChange gets each version that comes into force, on the goroutine that owns the cache.
func New(caller *peerapi.Caller, clock clock.Clock, log logging.Logger, onChange func(*Snapshot)) *Cache {
	cache := &Cache{mailbox: mailbox.New(mailboxSize), caller: caller, clock: clock, log: log, onChange: onChange,
		answerSlots: make(chan struct{}, maxConcurrentAnswers)}
	cache.fetcher = NewFetcher(clock, log, Actions{Ask: cache.ask, ResumeAfter: cache.resumeAfter, Use: cache.use})
	return cache
}

// Current gives the version in force, nil before the first.
func (c *Cache) Current() *Snapshot { return c.current.Load() }

// Version is the number of the version in force, 0 before the first. Any goroutine may ask.
func (c *Cache) Version() int64 { return c.version().version() }

// Run owns the cache until ctx is done.
func (c *Cache) Run(ctx context.Context) error {
	c.mailbox.Run(ctx, c.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// Hold takes a committed configuration.
func (c *Cache) Hold(committed *wire.Configuration) {
	c.mailbox.Post(func() { c.fetcher.Hold(committed) })
}

// FetchFrom fetches a version that a peer holds and this process does not.
func (c *Cache) FetchFrom(member wire.Member, version int64) {
	c.mailbox.TryPost(func() { c.fetcher.PeerHolds(member, version) })
}

func (c *Cache) version() *Version {
	if current := c.current.Load(); current != nil {
		return current.version
	}
	return nil
}

// use brings a version into force; an error says that it can't be read, and changes nothing.
func (c *Cache) use(next *Version) error {
	committed := next.Committed
	decoded, err := configuration.Read(committed.Body)
	if err != nil {
		return errors.Annotatef(err, "version %d of the configuration", committed.Version)
	}
	current := &Snapshot{Committed: committed, Matcher: configuration.NewMatcher(decoded), version: next}
	c.current.Store(current)
	versionsApplied.Inc()
	versionInForce.Set(float64(committed.Version))
	c.log.Info("configuration in force", "version", committed.Version, "routes", len(decoded.Routes))
	c.onChange(current)
	return nil
}

// ask calls a peer and tells the fetcher of the outcome.
func (c *Cache) ask(address string, call *wire.ConfigurationCall, patience time.Duration) {
	go func() {
		answer, err := peerapi.CallWithStallTimeout[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), c.caller, c.clock, address,
			peerapi.ProcedurePlan, patience, call)
		c.mailbox.Post(func() { c.fetcher.HandleAnswer(address, call, answer, err) })
	}()
}

// resumeAfter calls the fetcher after a while.
func (c *Cache) resumeAfter(after time.Duration) {
	due := c.clock.After(after)
	go func() {
		<-due
		c.mailbox.Post(c.fetcher.Resume)
	}()
}
