package client

import (
	"context"
	"net/http"
)

// Evacuate orders that nothing new is sent to a zone. It returns nil once the order is kept; every process then goes by it within
// moments. A *RefusedError names why the order can't be taken, as with an unknown zone. The order is the same however often it is
// given; but as it bears no number, two operators should not give opposite orders about one zone at the same time.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	return c.order(ctx, pathOf(prefixEvacuation, zone, suffixInitiate))
}

// EndEvacuation takes the order to empty a zone back. Errors are those of Evacuate.
func (c *Client) EndEvacuation(ctx context.Context, zone string) error {
	return c.order(ctx, pathOf(prefixEvacuation, zone, suffixTerminate))
}

func (c *Client) order(ctx context.Context, path string) error {
	given, err := c.ask(ctx, call{method: http.MethodPost, path: path})
	if err != nil {
		return err
	}
	return given.refusal()
}
