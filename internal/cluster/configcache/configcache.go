// Package configcache holds the newest committed configuration that a process knows. It fetches newer versions from peers and
// serves its own to them. The version in force never decreases.
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

// Snapshot is a version in force: the configuration as it was committed, and an index for look-ups in it.
type Snapshot struct {
	Committed *wire.Configuration
	Matcher   *configuration.Matcher
	version   *Version
}

// OtherServices lists the services other than the given one whose pools may hold jobs of a route: the services that the route led to
// before, and both services of a rollout in progress.
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

// FormerNames lists the names under which a pool may hold further jobs of a route.
func (s *Snapshot) FormerNames(route string) []string {
	for _, moved := range s.Committed.Moved {
		if moved.Route == route {
			return moved.Names
		}
	}
	return nil
}

// mailboxSize is how many calls may wait for the goroutine that owns the cache.
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
	// answerSlots holds an element for each answer in progress; its capacity is maxConcurrentAnswers.
	answerSlots chan struct{}
}

// New makes an empty cache. onChange is called with each version that comes into force, on the goroutine that owns the cache.
func New(caller *peerapi.Caller, clock clock.Clock, log logging.Logger, onChange func(*Snapshot)) *Cache {
	cache := &Cache{mailbox: mailbox.New(mailboxSize), caller: caller, clock: clock, log: log, onChange: onChange,
		answerSlots: make(chan struct{}, maxConcurrentAnswers)}
	cache.fetcher = NewFetcher(clock, log, Actions{Ask: cache.ask, ResumeAfter: cache.resumeAfter, Use: cache.use})
	return cache
}

// Current returns the version in force, nil before the first. Any goroutine may call it.
func (c *Cache) Current() *Snapshot { return c.current.Load() }

// Version returns the number of the version in force, 0 before the first. Any goroutine may call it.
func (c *Cache) Version() int64 { return c.currentVersion().number() }

// Run makes the calling goroutine the owner of the cache until ctx is done.
func (c *Cache) Run(ctx context.Context) error {
	c.mailbox.Run(ctx, c.clock, mailbox.Owner{Every: time.Minute})
	return nil
}

// AdoptIfNewer brings a committed configuration into force if it is newer than the current one. It blocks while the mailbox is full, so the
// goroutine that owns the cache must not call it.
func (c *Cache) AdoptIfNewer(committed *wire.Configuration) {
	c.mailbox.Post(func() { c.fetcher.AdoptIfNewer(committed) })
}

// FetchFrom reports that a peer holds a version, which is fetched if it is newer than the one in force. It never blocks: while the
// mailbox is full the report is dropped.
func (c *Cache) FetchFrom(member wire.Member, version int64) {
	c.mailbox.TryPost(func() { c.fetcher.PeerHolds(member, version) })
}

// currentVersion returns the version in force with its deltas, nil before the first. Any goroutine may call it.
func (c *Cache) currentVersion() *Version {
	if current := c.current.Load(); current != nil {
		return current.version
	}
	return nil
}

// use brings a version into force. An error means that the version can't be read; the version in force then stays.
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

// ask calls a peer on a goroutine of its own and posts the outcome to the fetcher. The call fails after stallTimeout without a byte.
func (c *Cache) ask(address string, call *wire.ConfigurationCall, stallTimeout time.Duration) {
	go func() {
		answer, err := peerapi.CallWithStallTimeout[wire.ConfigurationCall, wire.ConfigurationAnswer](context.Background(), c.caller, c.clock, address,
			peerapi.ProcedurePlan, stallTimeout, call)
		c.mailbox.Post(func() { c.fetcher.HandleAnswer(address, call, answer, err) })
	}()
}

// resumeAfter lets the goroutine that owns the cache call the fetcher's Resume once the delay is over.
func (c *Cache) resumeAfter(delay time.Duration) {
	due := c.clock.After(delay)
	go func() {
		<-due
		c.mailbox.Post(c.fetcher.Resume)
	}()
}
