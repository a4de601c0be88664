package configcache

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const (
	// A call fails once the stall timeout passes without a byte from the peer. The timeout starts at its minimum, doubles with each
	// stalled call, and after an answer is stallTimeoutFactor times as long as that answer took, always within the two limits.
	minStallTimeout    = 200 * time.Millisecond
	maxStallTimeout    = 3200 * time.Millisecond
	stallTimeoutFactor = 3
	// failureBackoff is the delay before a peer that failed is asked again, per failure in a row.
	failureBackoff = 100 * time.Millisecond
	// After a version came into force, the next fetch waits applyPauseFactor times as long as applying it took, at most
	// maxApplyPause. In a burst of versions most are then skipped, and a slow processor keeps time for its other calls.
	applyPauseFactor = 4
	maxApplyPause    = 400 * time.Millisecond
)

// Actions are the side effects of a fetcher; its process carries them out.
type Actions struct {
	// Ask calls a peer. It must not block; the outcome goes to HandleAnswer. The call fails once stallTimeout passes without a byte.
	Ask func(address string, call *wire.ConfigurationCall, stallTimeout time.Duration)
	// ResumeAfter arranges a call of the fetcher's Resume once the delay is over.
	ResumeAfter func(delay time.Duration)
	// Use brings a version into force. An error means that the version can't be read; the version in force then stays.
	Use func(*Version) error
}

// Fetcher fetches newer versions of the configuration. It decides which peer to ask, and makes one call at a time. It starts no goroutine
// and opens no socket, and only one goroutine may call it.
type Fetcher struct {
	clock   clock.Clock
	log     logging.Logger
	actions Actions

	current   *Version
	peers     peers
	transfers imageTransfers
	images    imageCache

	stallTimeout time.Duration
	// askedAt is the monotonic time at which the last call began.
	askedAt    time.Duration
	isFetching bool
	isPausing  bool
}

// NewFetcher makes a fetcher without a version in force.
func NewFetcher(clock clock.Clock, log logging.Logger, actions Actions) *Fetcher {
	return &Fetcher{clock: clock, log: log, actions: actions, stallTimeout: minStallTimeout}
}

// AdoptIfNewer brings a committed configuration into force if it is newer than the current one.
func (f *Fetcher) AdoptIfNewer(committed *wire.Configuration) {
	if err := f.adopt(f.current.Next(committed)); err != nil {
		f.log.Error(err, "the committed configuration can't be read", "version", committed.Version)
	}
}

// adopt brings a version into force. An error means that the version can't be read; the version in force then stays.
func (f *Fetcher) adopt(next *Version) error {
	if next == f.current {
		return nil
	}
	if err := f.actions.Use(next); err != nil {
		return err
	}
	f.current = next
	f.transfers.dropUpTo(next.number())
	return nil
}

// PeerHolds reports that a peer holds a version, which is fetched if it is newer than the one in force.
func (f *Fetcher) PeerHolds(member wire.Member, version int64) {
	if version > f.current.number() {
		f.peers.recordVersion(member, version)
		f.fetchNext()
	}
}

// Chunk returns the chunk of an image that answers a peer's call.
func (f *Fetcher) Chunk(call *wire.ConfigurationCall) (*wire.ConfigurationChunk, error) {
	return f.images.chunk(f.current, call)
}

// Resume ends a pause, and fetches from the next peer if one is ahead.
func (f *Fetcher) Resume() {
	f.isPausing = false
	f.fetchNext()
}

// pause delays the next fetch. Without a delay it starts the fetch at once.
func (f *Fetcher) pause(delay time.Duration) {
	if delay <= 0 {
		f.fetchNext()
		return
	}
	f.isPausing = true
	f.actions.ResumeAfter(delay)
}

// fetchNext asks the best peer that holds a newer version, unless a call is in flight or the fetcher pauses.
func (f *Fetcher) fetchNext() {
	if f.isFetching || f.isPausing {
		return
	}
	if next := f.peers.next(f.current.number()); next != nil {
		f.ask(next.address, true)
	}
}

// ask calls a peer for a newer version. Without acceptsChanges it asks for the full configuration.
func (f *Fetcher) ask(address string, acceptsChanges bool) {
	f.isFetching, f.askedAt = true, f.clock.Monotonic()
	call := &wire.ConfigurationCall{HeldVersion: f.current.number(), AcceptsChanges: acceptsChanges && f.current != nil, AcceptsChunks: true}
	if transfer := f.transfers.resumable(address); transfer != nil {
		call.Image, call.Offset = transfer.image.Name, len(transfer.image.data)
	}
	f.actions.Ask(address, call, f.stallTimeout)
}

// HandleAnswer handles the outcome of a call, and starts the next call or a pause.
func (f *Fetcher) HandleAnswer(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer, err error) {
	f.isFetching = false
	switch {
	case errors.Is(err, peerapi.ErrStalled):
		f.stallTimeout = min(2*f.stallTimeout, maxStallTimeout)
		f.handleFailure(address, err)
	case err != nil:
		f.handleFailure(address, err)
	case answer.Busy:
		f.handleFailure(address, ErrPeerBusy)
	default:
		f.stallTimeout = max(minStallTimeout, min(stallTimeoutFactor*(f.clock.Monotonic()-f.askedAt), maxStallTimeout))
		bodyBytesFetched.Add(countBytes(answer))
		f.apply(address, call, answer)
	}
}

// apply handles the content of an answer. If the image is incomplete, it asks the same peer for the next chunk. If the deltas don't fit,
// it asks the same peer for the full configuration. Otherwise it brings the version into force if it is newer, and goes on with the next
// peer. Any other answer that can't be used counts as a failure of the peer.
func (f *Fetcher) apply(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer) {
	startedAt, previous := f.clock.Monotonic(), f.current
	next, isComplete, err := f.read(address, answer)
	switch {
	case err != nil && call.AcceptsChanges && len(answer.Changes) > 0:
		f.log.Info("configuration changes don't fit, fetching it in full", "reason", err.Error())
		f.ask(address, false)
		return
	case err != nil:
		f.handleFailure(address, err)
		return
	case !isComplete:
		f.peers.recordSuccess(address)
		f.ask(address, call.AcceptsChanges)
		return
	}
	if err := f.adopt(next); err != nil {
		f.peers.forget(address)
		f.handleFailure(address, err)
		return
	}
	if f.current == previous {
		if call.HeldVersion == f.current.number() {
			// The peer has nothing newer, although it was reported to hold a newer version.
			f.peers.forget(address)
		}
		f.fetchNext()
		return
	}
	f.peers.recordSuccess(address)
	f.pause(min(applyPauseFactor*(f.clock.Monotonic()-startedAt), maxApplyPause))
}

// read decodes the version in an answer. isComplete is false, and next nil, while chunks of its image are missing.
func (f *Fetcher) read(address string, answer *wire.ConfigurationAnswer) (next *Version, isComplete bool, err error) {
	if answer.Chunk == nil {
		next, err = f.current.Apply(answer)
		return next, true, err
	}
	if answer.Chunk.Version <= f.current.number() {
		return f.current, true, nil
	}
	image, err := f.transfers.addChunk(address, answer.Chunk)
	if err != nil || image == nil {
		return nil, false, err
	}
	committed, err := image.Unpack()
	if err != nil {
		return nil, false, err
	}
	f.images.put(image)
	return f.current.Next(committed), true, nil
}

// handleFailure counts a failure of a peer and goes on with the next peer, after a pause if that one has failed too.
func (f *Fetcher) handleFailure(address string, reason error) {
	f.log.Info("configuration not fetched", "peer", address, "reason", reason.Error())
	f.peers.recordFailure(address)
	if next := f.peers.next(f.current.number()); next != nil {
		f.pause(time.Duration(next.failures) * failureBackoff)
	}
}

// countBytes is how many bytes of configurations an answer carries: a full body, the text of deltas, and a chunk of an image.
func countBytes(answer *wire.ConfigurationAnswer) int {
	count := 0
	if answer.Full != nil {
		count = len(answer.Full.Body)
	}
	if answer.Chunk != nil {
		count += len(answer.Chunk.Data)
	}
	for _, delta := range answer.Changes {
		count += textBytes(delta)
	}
	return count
}
