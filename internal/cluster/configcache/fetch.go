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
	// A peer is given up after the patience without a byte. It starts short, grows while peers stall, and
	// follows the time that answers take.
	minPatience = 200 * time.Millisecond
	maxPatience = 3200 * time.Millisecond
	// patienceFactor is how many times as long as the last answer took the next one may be silent.
	patienceFactor = 3
	// failurePause lies before a peer that failed is asked again, times its failures.
	failurePause = 100 * time.Millisecond
	// pauseFactor times what applying a version took goes by before the next one is fetched, maxPause at most:
	// in a storm of versions most are passed over, and a slow processor keeps its time for calls.
	pauseFactor = 4
	maxPause    = 400 * time.Millisecond
)

// Actions are what a fetcher has its process do.
type Actions struct {
	// Ask calls a peer that may be silent for the patience; HandleAnswer gets the outcome.
	Ask func(address string, call *wire.ConfigurationCall, patience time.Duration)
	// ResumeAfter calls the fetcher's Resume after a while.
	ResumeAfter func(after time.Duration)
	// Use brings a version into force; an error says that it can't be read.
	Use func(*Version) error
}

// Fetcher decides whom to ask for what, one call at a time. It knows neither goroutines nor sockets.
type Fetcher struct {
	clock   clock.Clock
	log     logging.Logger
	actions Actions

	current   *Version
	peers     peers
	transfers imageTransfers
	images    imageCache

	patience   time.Duration
	askedAt    time.Duration
	isFetching bool
	isPausing  bool
}

// NewFetcher makes a fetcher that holds nothing yet.
func NewFetcher(clock clock.Clock, log logging.Logger, actions Actions) *Fetcher {
	return &Fetcher{clock: clock, log: log, actions: actions, patience: minPatience}
}

// Hold takes a committed configuration.
func (f *Fetcher) Hold(committed *wire.Configuration) {
	if err := f.adopt(f.current.Next(committed)); err != nil {
		f.log.Error(err, "the committed configuration can't be read", "version", committed.Version)
	}
}

// adopt brings a version into force; an error says that it can't be read, and changes nothing.
func (f *Fetcher) adopt(next *Version) error {
	if next == f.current {
		return nil
	}
	if err := f.actions.Use(next); err != nil {
		return err
	}
	f.current = next
	f.transfers.reached(next.version())
	return nil
}

// PeerHolds notes that a peer holds a version, and fetches it if it is newer.
func (f *Fetcher) PeerHolds(member wire.Member, version int64) {
	if version > f.current.version() {
		f.peers.note(member, version)
		f.fetchNext()
	}
}

// Chunk gives a peer a chunk of an image of the configuration.
func (f *Fetcher) Chunk(call *wire.ConfigurationCall) (*wire.ConfigurationChunk, error) {
	return f.images.chunk(f.current, call)
}

// Resume goes on after a pause.
func (f *Fetcher) Resume() {
	f.isPausing = false
	f.fetchNext()
}

func (f *Fetcher) pause(length time.Duration) {
	if length <= 0 {
		f.fetchNext()
		return
	}
	f.isPausing = true
	f.actions.ResumeAfter(length)
}

// fetchNext asks the best peer that is ahead, if there is one and no call is under way.
func (f *Fetcher) fetchNext() {
	if f.isFetching || f.isPausing {
		return
	}
	if next := f.peers.next(f.current.version()); next != nil {
		f.ask(next.address, true)
	}
}

func (f *Fetcher) ask(address string, takesChanges bool) {
	f.isFetching, f.askedAt = true, f.clock.Monotonic()
	call := &wire.ConfigurationCall{HeldVersion: f.current.version(), AcceptsChanges: takesChanges && f.current != nil, AcceptsChunks: true}
	if transfer := f.transfers.resumable(address); transfer != nil {
		call.Image, call.Offset = transfer.image.Name, len(transfer.image.data)
	}
	f.actions.Ask(address, call, f.patience)
}

// HandleAnswer handles the outcome of a call, and goes on with what is next.
func (f *Fetcher) HandleAnswer(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer, err error) {
	f.isFetching = false
	switch {
	case errors.Is(err, peerapi.ErrStalled):
		f.patience = min(2*f.patience, maxPatience)
		f.failed(address, err)
	case err != nil:
		f.failed(address, err)
	case answer.Busy:
		f.failed(address, ErrPeerBusy)
	default:
		f.patience = max(minPatience, min(patienceFactor*(f.clock.Monotonic()-f.askedAt), maxPatience))
		bodyBytesFetched.Add(bytesOf(answer))
		f.apply(address, call, answer)
	}
}

// apply uses an answer, and goes on with the rest of an image or with what is next.
func (f *Fetcher) apply(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer) {
	begunAt, before := f.clock.Monotonic(), f.current
	next, isComplete, err := f.read(address, answer)
	switch {
	case err != nil && call.AcceptsChanges && len(answer.Changes) > 0:
		f.log.Info("configuration changes don't fit, fetching it in full", "reason", err.Error())
		f.ask(address, false)
		return
	case err != nil:
		f.failed(address, err)
		return
	case !isComplete:
		f.peers.answered(address)
		f.ask(address, call.AcceptsChanges)
		return
	}
	if err := f.adopt(next); err != nil {
		f.peers.forget(address)
		f.failed(address, err)
		return
	}
	if f.current == before {
		if call.HeldVersion == f.current.version() {
			// The peer has nothing newer, whatever was said of it.
			f.peers.forget(address)
		}
		f.fetchNext()
		return
	}
	f.peers.answered(address)
	f.pause(min(pauseFactor*(f.clock.Monotonic()-begunAt), maxPause))
}

// read makes a version of an answer; it is not complete while chunks of its image are missing.
func (f *Fetcher) read(address string, answer *wire.ConfigurationAnswer) (next *Version, isComplete bool, err error) {
	if answer.Chunk == nil {
		next, err = f.current.Apply(answer)
		return next, true, err
	}
	if answer.Chunk.Version <= f.current.version() {
		return f.current, true, nil
	}
	image, err := f.transfers.take(address, answer.Chunk)
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

// failed turns to another peer, or after a pause to the same one.
func (f *Fetcher) failed(address string, reason error) {
	f.log.Info("configuration not fetched", "peer", address, "reason", reason.Error())
	f.peers.failed(address)
	if next := f.peers.next(f.current.version()); next != nil {
		f.pause(time.Duration(next.failures) * failurePause)
	}
}

// bytesOf counts what an answer holds of configurations: text, in full or in parts, and chunks.
func bytesOf(answer *wire.ConfigurationAnswer) int {
	count := 0
	if answer.Full != nil {
		count = len(answer.Full.Body)
	}
	if answer.Chunk != nil {
		count += len(answer.Chunk.Data)
	}
	for _, change := range answer.Changes {
		count += textBytes(change)
	}
	return count
}
