package client

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

// watchWait is the time for which a steward delays the answer to a watch while there are no new puts.
const watchWait = 20 * time.Second

const (
	// ErrNoCell is returned if there is no cell of the name.
	ErrNoCell = errors.ConstError("there is no such cell")
	// ErrHistoryGone is returned if the puts after the given revision are no longer stored. Get the group's Revision, read its cells
	// again, and watch from that revision on.
	ErrHistoryGone = errors.ConstError("the puts after that revision are no longer kept")
)

// ConflictError is returned by Put if the cell is at another revision than expected. Revision is the cell's current revision, or 0 if there
// is no cell.
type ConflictError struct{ Revision uint64 }

// Error returns a text without the revision.
func (e *ConflictError) Error() string { return "the cell is at another revision" }

// Cell holds the value of a cell and its revision, which each put raises.
type Cell struct {
	Value    string
	Revision uint64
}

// Event describes one put into a cell of a group.
type Event = wire.CellEvent

// Number draws a number that is higher than all numbers that were drawn under the same name before.
func (c *Client) Number(ctx context.Context, name string) (uint64, error) {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodPost, path: pathOf(prefixNumbers, name, ""), body: emptyCall{}})
	if err != nil {
		return 0, err
	}
	var decoded wire.NumberAnswer
	err = reply.read(&decoded)
	return decoded.Value, err
}

// Get reads a cell. It returns ErrNoCell if there is none.
func (c *Client) Get(ctx context.Context, name string) (Cell, error) {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodGet, path: pathOf(prefixCells, name, suffixRetrieve)})
	if err != nil {
		return Cell{}, err
	}
	if reply.status == http.StatusNotFound {
		return Cell{}, errors.Annotatef(ErrNoCell, "cell %s", name)
	}
	var decoded wire.CellAnswer
	err = reply.read(&decoded)
	return Cell{Value: decoded.Value, Revision: decoded.Revision}, err
}

// Put writes a value to a cell that is at the expected revision, and returns the new revision. The expected revision of a cell that doesn't
// exist yet is 0. If the cell is at another revision, the error is a *ConflictError. The timeout of ctx should be a few seconds at most: a
// retry that arrives more than history-s (a setting of the system) after a committed first attempt may get a *ConflictError.
func (c *Client) Put(ctx context.Context, name, value string, expected uint64) (uint64, error) {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodPost, path: pathOf(prefixCells, name, suffixReplace),
		body: &wire.PutCall{Value: value, Expected: expected}})
	if err != nil {
		return 0, err
	}
	var decoded wire.RevisionAnswer
	if reply.status == http.StatusPreconditionFailed {
		reply.status = http.StatusOK
		if err := reply.read(&decoded); err != nil {
			return 0, err
		}
		return 0, errors.Annotatef(&ConflictError{Revision: decoded.Revision}, "cell %s", name)
	}
	err = reply.read(&decoded)
	return decoded.Revision, err
}

// watchQuery holds the query parameters of a watch.
type watchQuery struct {
	Above  uint64 `url:"depends-on"`
	WaitMs int64  `url:"wait-time-ms"`
}

// Revision returns the current revision of a group of cells. A group consists of the cells whose names agree up to and including the first
// dot, and this part is its name. A cell without a dot in its name is a group of its own.
func (c *Client) Revision(ctx context.Context, group string) (uint64, error) {
	_, revision, err := c.watch(ctx, group, 0, 0)
	return revision, err
}

// Watch waits until a group has puts above a revision. It returns all of them, and the revision up to which they are complete. With
// revision 0 it waits only if the group has had no put yet. Otherwise it returns no puts and the current revision at once. It returns
// ErrHistoryGone if puts above the revision are no longer stored.
func (c *Client) Watch(ctx context.Context, group string, above uint64) ([]Event, uint64, error) {
	for {
		events, revision, err := c.watch(ctx, group, above, watchWait)
		if err != nil || revision > above {
			return events, revision, err
		}
	}
}

// watch makes one call that waits for puts above a revision, for at most the given time.
func (c *Client) watch(ctx context.Context, group string, above uint64, wait time.Duration) ([]Event, uint64, error) {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodGet, path: pathOf(prefixWatch, group, ""),
		query: &watchQuery{Above: above, WaitMs: wait.Milliseconds()}, wait: wait})
	if err != nil {
		return nil, 0, err
	}
	if reply.status == http.StatusGone {
		return nil, 0, errors.Annotatef(ErrHistoryGone, "group %s", group)
	}
	var decoded wire.WatchAnswer
	err = reply.read(&decoded)
	return decoded.Events, decoded.Revision, err
}

// Follow calls a function with the puts of a group above a revision, each once and in order, until the function returns an error or ctx is
// done. With revision 0 it skips the puts before the call, and the first call of the function may get no puts. It returns the first error
// of the function or of Watch.
func (c *Client) Follow(ctx context.Context, group string, above uint64, handle func([]Event) error) error {
	for {
		events, revision, err := c.Watch(ctx, group, above)
		if err != nil {
			return err
		}
		if err := handle(events); err != nil {
			return err
		}
		above = revision
	}
}
