package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"gannetline/internal/platform/headers"
)

// The paths of calls about the configuration and its rollouts.
const (
	pathConfiguration        = "/v1/configuration" + suffixRetrieve
	pathReplaceConfiguration = "/v1/configuration" + suffixReplace
	pathRollouts             = "/v1/rollout" + suffixRetrieve
)

// ErrVersionConflict is returned if the configuration in force has another version than the one on which a change is based. Read the
// configuration again and apply the change to it.
const ErrVersionConflict = errors.ConstError("another version of the configuration is in force")

// Configuration returns the configuration in force, a JSON object, as its operator wrote it. If there is no configuration yet, it retries
// until there is one or ctx is done.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.retrieve(ctx, pathConfiguration)
}

// Rollouts returns the state of the rollouts, as a JSON object with the version of the configuration and the list of rollouts. The list is
// empty for a moment after another steward has taken over as leader.
func (c *Client) Rollouts(ctx context.Context) ([]byte, error) { return c.retrieve(ctx, pathRollouts) }

// retrieve returns the body of the answer to a call without parameters, and the error of a refusal.
func (c *Client) retrieve(ctx context.Context, path string) ([]byte, error) {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	return reply.body, reply.refusal()
}

// ReplaceConfiguration replaces the whole configuration if base is the version in force, or 0 if there is no configuration yet. The new
// configuration must have a higher version. The call returns nil once the change is committed. The error is ErrVersionConflict if another
// version is in force, and a *RefusedError that names the field if the configuration is invalid or its version isn't higher.
func (c *Client) ReplaceConfiguration(ctx context.Context, base int64, configuration []byte) error {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodPost, path: pathReplaceConfiguration, rawBody: configuration,
		header: map[string]string{headers.BaseVersion: strconv.FormatInt(base, 10), "Content-Type": "application/json"}})
	switch {
	case err != nil:
		return err
	case reply.status == http.StatusPreconditionFailed:
		return ErrVersionConflict
	}
	return reply.refusal()
}
