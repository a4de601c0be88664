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
	shortPatience = 200 * time.Millisecond
	longPatience  = 3200 * time.Millisecond
	// patienceFactor is how many times as long as the last answer took the next one may be silent.
	patienceFactor = 3
	// failurePause lies before a peer that failed is asked again, times its failures.
	failurePause = 100 * time.Millisecond
	// pauseFactor times what applying a version took goes by before the next one is fetched, longestPause at most:
	// in a storm of versions most are passed over, and a slow processor keeps its time for calls.
	pauseFactor  = 4
	longestPause = 400 * time.Millisecond
)

// Actions are what a fetcher has its process do.
type Actions struct {
	// Ask calls a peer that may be silent for the patience; Take is told of the outcome.
	Ask func(address string, call *wire.ConfigurationCall, patience time.Duration)
	// Wake calls the fetcher's Wake after a while.
	Wake func(after time.Duration)
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
	transfers transfers
	images    imageCache

	patience   time.Duration
	askedAt    time.Duration
	isFetching bool
	isPausing  bool
}

// NewFetcher makes a fetcher that holds nothing yet.
func NewFetcher(clock clock.Clock, log logging.Logger, actions Actions) *Fetcher {
	return &Fetcher{clock: clock, log: log, actions: actions, patience: shortPatience}
}

// Hold takes a committed configuration.
func (f *Fetcher) Hold(fact *wire.Configuration) {
	if err := f.adopt(f.current.Follow(fact)); err != nil {
		f.log.Error(err, "the committed plan was refused", "version", fact.Version)
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

// Hear notes that a peer holds a version, and fetches it if it is newer.
func (f *Fetcher) Hear(member wire.Member, version int64) {
	if version > f.current.version() {
		f.peers.note(member, version)
		f.fetchNext()
	}
}

// Chunk gives a peer a chunk of an image of the whole.
func (f *Fetcher) Chunk(call *wire.ConfigurationCall) (*wire.ConfigurationChunk, error) {
	return f.images.chunk(f.current, call)
}

// Wake goes on after a pause.
func (f *Fetcher) Wake() {
	f.isPausing = false
	f.fetchNext()
}

func (f *Fetcher) pause(length time.Duration) {
	if length <= 0 {
		f.fetchNext()
		return
	}
	f.isPausing = true
	f.actions.Wake(length)
}

// fetchNext asks the best peer that is ahead, if there is one and no call is under way.
func (f *Fetcher) fetchNext() {
	if f.isFetching || f.isPausing {
		return
	}
	if next := f.peers.best(f.current.version()); next != nil {
		f.ask(next.address, true)
	}
}

func (f *Fetcher) ask(address string, takesChanges bool) {
	f.isFetching, f.askedAt = true, f.clock.Monotonic()
	call := &wire.ConfigurationCall{HeldVersion: f.current.version(), AcceptsChanges: takesChanges && f.current != nil, AcceptsChunks: true}
	if begun := f.transfers.next(address); begun != nil {
		call.Image, call.Offset = begun.image.Name, len(begun.image.data)
	}
	f.actions.Ask(address, call, f.patience)
}

// Take handles the outcome of a call, and goes on with what is next.
func (f *Fetcher) Take(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer, err error) {
	f.isFetching = false
	switch {
	case errors.Is(err, peerapi.ErrStalled):
		f.patience = min(2*f.patience, longPatience)
		f.failed(address, err)
	case err != nil:
		f.failed(address, err)
	case answer.Busy:
		f.failed(address, errors.New("the peer answers too many others"))
	default:
		f.patience = max(shortPatience, min(patienceFactor*(f.clock.Monotonic()-f.askedAt), longPatience))
		bodyBytesFetched.Add(bytesOf(answer))
		f.apply(address, call, answer)
	}
}

// apply uses an answer, and goes on with the rest of an image or with what is next.
func (f *Fetcher) apply(address string, call *wire.ConfigurationCall, answer *wire.ConfigurationAnswer) {
	begun, before := f.clock.Monotonic(), f.current
	next, isWhole, err := f.read(address, answer)
	switch {
	case err != nil && call.AcceptsChanges && len(answer.Changes) > 0:
		f.log.Info("changes of the plan do not fit; the whole is fetched", "why", err.Error())
		f.ask(address, false)
		return
	case err != nil:
		f.failed(address, err)
		return
	case !isWhole:
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
	f.pause(min(pauseFactor*(f.clock.Monotonic()-begun), longestPause))
}

// read makes a version of an answer; it is not whole while chunks of its image are missing.
func (f *Fetcher) read(address string, answer *wire.ConfigurationAnswer) (next *Version, isWhole bool, err error) {
	if answer.Chunk == nil {
		next, err = f.current.Take(answer)
		return next, true, err
	}
	if answer.Chunk.Version <= f.current.version() {
		return f.current, true, nil
	}
	image, err := f.transfers.take(address, answer.Chunk)
	if err != nil || image == nil {
		return nil, false, err
	}
	fact, err := image.Unpack()
	if err != nil {
		return nil, false, err
	}
	f.images.put(image)
	return f.current.Follow(fact), true, nil
}

// failed turns to another peer, or after a pause to the same one.
func (f *Fetcher) failed(address string, why error) {
	f.log.Info("a plan could not be fetched", "peer", address, "why", why.Error())
	f.peers.failed(address)
	if next := f.peers.best(f.current.version()); next != nil {
		f.pause(time.Duration(next.failures) * failurePause)
	}
}

// bytesOf counts what an answer holds of configurations: text, whole or in parts, and chunks.
func bytesOf(answer *wire.ConfigurationAnswer) int {
	count := 0
	if answer.Full != nil {
		count = len(answer.Full.Body)
	}
	if answer.Chunk != nil {
		count += len(answer.Chunk.Data)
	}
	for _, change := range answer.Changes {
		count += textIn(change)
	}
	return count
}
