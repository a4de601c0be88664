package client

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

// watchWait is how long a steward keeps the answer to a watch back.
const watchWait = 20 * time.Second

const (
	// ErrNoCell tells that there is no cell of the name.
	ErrNoCell = errors.ConstError("there is no such cell")
	// ErrHistoryGone tells that puts after a revision are no longer kept: read the cells again, and watch from their revision on.
	ErrHistoryGone = errors.ConstError("the puts after that revision are no longer kept")
)

// ConflictError refuses a put, as the cell is at another revision; 0 is no cell.
type ConflictError struct{ Revision uint64 }

// Error tells that the cell has moved on.
func (e *ConflictError) Error() string { return "the cell is at another revision" }

// Cell is what a name holds.
type Cell struct {
	Value    string
	Revision uint64
}

// Event is one put into a cell of a group.
type Event = wire.CellEvent

// Number draws a number that is above all that were drawn under the name.
func (c *Client) Number(ctx context.Context, name string) (uint64, error) {
	given, err := c.ask(ctx, call{method: http.MethodPost, path: pathOf(prefixNumbers, name, ""), body: emptyCall{}})
	if err != nil {
		return 0, err
	}
	var drawn wire.NumberAnswer
	err = given.read(&drawn)
	return drawn.Value, err
}

// Get reads a cell, or returns ErrNoCell.
func (c *Client) Get(ctx context.Context, name string) (Cell, error) {
	given, err := c.ask(ctx, call{method: http.MethodGet, path: pathOf(prefixCells, name, suffixRetrieve)})
	if err != nil {
		return Cell{}, err
	}
	if given.status == http.StatusNotFound {
		return Cell{}, errors.Annotatef(ErrNoCell, "cell %s", name)
	}
	var held wire.CellAnswer
	err = given.read(&held)
	return Cell{Value: held.Value, Revision: held.Revision}, err
}

// Put puts a value into a cell that is at the expected revision, 0 for one that does not exist yet, and gives the new revision. A
// *ConflictError says that the cell is at another one. Give ctx no more than some seconds: a put that comes again after more than
// history-s may be refused although it was taken.
func (c *Client) Put(ctx context.Context, name, value string, expected uint64) (uint64, error) {
	given, err := c.ask(ctx, call{method: http.MethodPost, path: pathOf(prefixCells, name, suffixReplace),
		body: &wire.PutCall{Value: value, Expected: expected}})
	if err != nil {
		return 0, err
	}
	var at wire.RevisionAnswer
	if given.status == http.StatusPreconditionFailed {
		given.status = http.StatusOK
		if err := given.read(&at); err != nil {
			return 0, err
		}
		return 0, errors.Annotatef(&ConflictError{Revision: at.Revision}, "cell %s", name)
	}
	err = given.read(&at)
	return at.Revision, err
}

// watchQuery is the query of a watch.
type watchQuery struct {
	Above  uint64 `url:"depends-on"`
	WaitMs int64  `url:"wait-time-ms"`
}

// Revision gives the present revision of a group of cells: what their names begin with, up to and with the first dot.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	_, revision, err := c.watch(ctx, group, 0, 0)
	return revision, err
}

// Watch waits until a group has puts above a revision, and gives all of them with the revision up to which they are complete. From
// revision 0 on it gives no puts, unless there were none before the call.
func (c *Client) Watch(ctx context.Context, group string, above uint64) ([]Event, uint64, error) {
	for {
		events, revision, err := c.watch(ctx, group, above, watchWait)
		if err != nil || revision > above {
			return events, revision, err
		}
	}
}

func (c *Client) watch(ctx context.Context, group string, above uint64, wait time.Duration) ([]Event, uint64, error) {
	given, err := c.ask(ctx, call{method: http.MethodGet, path: pathOf(prefixWatch, group, ""),
		query: &watchQuery{Above: above, WaitMs: wait.Milliseconds()}, wait: wait})
	if err != nil {
		return nil, 0, err
	}
	if given.status == http.StatusGone {
		return nil, 0, errors.Annotatef(ErrHistoryGone, "group %s", group)
	}
	var seen wire.WatchAnswer
	err = given.read(&seen)
	return seen.Events, seen.Revision, err
}

// Follow calls a function with the puts of a group, each once and in their order, until it returns an error or ctx is done.
func (c *Client) Follow(ctx context.Context, group string, above uint64, take func([]Event) error) error {
	for {
		events, revision, err := c.Watch(ctx, group, above)
		if err != nil {
			return err
		}
		if err := take(events); err != nil {
			return err
		}
		above = revision
	}
}
