package executorlist

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

const (
	// pollInterval is the pause between two readings of the list.
	pollInterval = 500 * time.Millisecond
	// pageTimeout is how long the platform may take for a page.
	pageTimeout = time.Second
	// maxPages bounds a reading, should the platform go on without end.
	maxPages = 1000
)

// ErrPlatformRefused tells that the platform answered with another status than 200.
const ErrPlatformRefused = errors.ConstError("the platform refused to list the executors")

// Turn tells whether this process should read the list now.
type Turn struct {
	IsDue bool
	// Epoch is that of the leadership by which it should.
	Epoch uint64
	// Changed is closed once that may be otherwise.
	Changed <-chan struct{}
}

// Poller reads the list from the platform while this process is the one that should.
type Poller struct {
	client  *http.Client
	address string
	holder  *Holder
	clock   clock.Clock
	log     logging.Logger
	turn    func() Turn
	// last is the newest list that was read, under lastEpoch, with its number.
	last      []wire.ExecutorRecord
	lastEpoch uint64
	number    uint64
}

// NewPoller makes a poller of the platform at an address.
func NewPoller(client *http.Client, address string, holder *Holder, clock clock.Clock, log logging.Logger, turn func() Turn) *Poller {
	return &Poller{client: client, address: address, holder: holder, clock: clock, log: log, turn: turn}
}

// Run reads the list again and again until ctx is done, and at once when it is this process's turn.
func (p *Poller) Run(ctx context.Context) error {
	for {
		turn := p.turn()
		if turn.IsDue {
			p.poll(ctx, turn.Epoch)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-turn.Changed:
		case <-p.clock.After(pollInterval):
		}
	}
}

// poll reads the list once; it gets a new version only if it is another than before.
func (p *Poller) poll(ctx context.Context, epoch uint64) {
	executors, err := p.read(ctx)
	if err != nil {
		p.log.Error(err, "executors not listed")
		return
	}
	if epoch == p.lastEpoch && slices.Equal(executors, p.last) {
		return
	}
	if epoch != p.lastEpoch {
		p.lastEpoch, p.number = epoch, 0
	}
	p.number++
	p.last = executors
	p.holder.Update(wire.ExecutorListVersion{Epoch: epoch, Number: p.number}, executors)
}

// read reads all pages.
func (p *Poller) read(ctx context.Context) ([]wire.ExecutorRecord, error) {
	var all []wire.ExecutorRecord
	token := ""
	for range maxPages {
		page, err := p.readPage(ctx, token)
		if err != nil {
			return nil, err
		}
		for _, instance := range page.Instances {
			all = append(all, instance.toRecord())
		}
		if token = page.Next; token == "" {
			break
		}
	}
	slices.SortFunc(all, compareRecords)
	return slices.CompactFunc(all, func(a, b wire.ExecutorRecord) bool { return a.ID == b.ID }), nil
}

// pageQuery is the query of a page.
type pageQuery struct {
	Token string `url:"page-token,omitempty"`
}

func (p *Poller) readPage(ctx context.Context, token string) (*page, error) {
	ctx, release := context.WithTimeout(ctx, pageTimeout)
	defer release()
	request, err := sling.New().Base("http://" + p.address).Get("/executors").QueryStruct(pageQuery{token}).Request()
	if err != nil {
		return nil, errors.Annotate(err, "listing executors")
	}
	response, err := p.client.Do(request.WithContext(ctx))
	if err != nil {
		return nil, errors.Annotatef(err, "listing executors at %s", p.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Annotatef(ErrPlatformRefused, "status %d", response.StatusCode)
	}
	return readPage(response.Body)
}
