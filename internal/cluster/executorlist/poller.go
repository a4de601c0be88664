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
	// pollInterval is the pause after a poll of the platform, or after a decision not to poll.
	pollInterval = 500 * time.Millisecond
	// pageTimeout is the timeout of the request for one page.
	pageTimeout = time.Second
	// maxPages bounds the pages of one poll, in case the platform returns next tokens without end.
	maxPages = 1000
)

// ErrPlatformRefused is the cause of the error if the platform answers with a status other than 200.
const ErrPlatformRefused = errors.ConstError("the platform refused to list the executors")

// PollDecision says whether this process should poll the platform.
type PollDecision struct {
	// IsDue is set if this process should poll.
	IsDue bool
	// Epoch is the epoch of the leadership of the configuration's key, or 0 if no leader is known. It becomes part of the list's version.
	Epoch uint64
	// Changed is closed once the decision may have changed.
	Changed <-chan struct{}
}

// Poller reads the list of executors from the platform while its PollDecision is due.
type Poller struct {
	client  *http.Client
	address string
	holder  *Holder
	clock   clock.Clock
	log     logging.Logger
	decide  func() PollDecision
	// lastList is the newest list that was read. Its version is lastEpoch and lastNumber.
	lastList   []wire.ExecutorRecord
	lastEpoch  uint64
	lastNumber uint64
}

// NewPoller creates a poller of the platform at an address. It calls decide before each poll.
func NewPoller(client *http.Client, address string, holder *Holder, clock clock.Clock, log logging.Logger, decide func() PollDecision) *Poller {
	return &Poller{client: client, address: address, holder: holder, clock: clock, log: log, decide: decide}
}

// Run polls the platform while that is due, with a pause of pollInterval, until ctx is done. A change of the decision ends the pause.
func (p *Poller) Run(ctx context.Context) error {
	for {
		decision := p.decide()
		if decision.IsDue {
			p.poll(ctx, decision.Epoch)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-decision.Changed:
		case <-p.clock.After(pollInterval):
		}
	}
}

// poll reads the list once, and updates the holder with a new version if the list or the epoch has changed.
func (p *Poller) poll(ctx context.Context, epoch uint64) {
	executors, err := p.read(ctx)
	if err != nil {
		p.log.Error(err, "executors not listed")
		return
	}
	if epoch == p.lastEpoch && slices.Equal(executors, p.lastList) {
		return
	}
	if epoch != p.lastEpoch {
		p.lastEpoch, p.lastNumber = epoch, 0
	}
	p.lastNumber++
	p.lastList = executors
	p.holder.Update(wire.ExecutorListVersion{Epoch: epoch, Number: p.lastNumber}, executors)
}

// read reads the pages, at most maxPages, and returns the executors sorted by ID without duplicates.
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

// pageQuery is the query string of the request for a page. The first page has no token.
type pageQuery struct {
	Token string `url:"page-token,omitempty"`
}

// readPage requests one page.
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
