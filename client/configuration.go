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

// ErrVersionConflict tells that another version of the configuration is in force than the one that a change builds on. Read the
// configuration again, and make the change on that.
const ErrVersionConflict = errors.ConstError("another version of the configuration is in force")

// Configuration gives the configuration in force as its operator wrote it, a JSON object.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.text(ctx, pathConfiguration)
}

// Rollouts tells how the rollouts of the configuration stand, as a JSON object with the version they were read from and a list. The list is
// empty for a moment after another steward has taken over.
func (c *Client) Rollouts(ctx context.Context) ([]byte, error) { return c.text(ctx, pathRollouts) }

// text gives the body of a success.
func (c *Client) text(ctx context.Context, path string) ([]byte, error) {
	given, err := c.ask(ctx, call{method: http.MethodGet, path: path})
	if err != nil {
		return nil, err
	}
	return given.body, given.refusal()
}

// ReplaceConfiguration puts a whole configuration in force that builds on the version base. It returns nil once that is kept. The error is
// ErrVersionConflict if another version is in force, and a *RefusedError that names the field if something is wrong with the configuration.
func (c *Client) ReplaceConfiguration(ctx context.Context, base int64, configuration []byte) error {
	given, err := c.ask(ctx, call{method: http.MethodPost, path: pathReplaceConfiguration, text: configuration,
		header: map[string]string{headers.BaseVersion: strconv.FormatInt(base, 10), "Content-Type": "application/json"}})
	switch {
	case err != nil:
		return err
	case given.status == http.StatusPreconditionFailed:
		return ErrVersionConflict
	}
	return given.refusal()
}
