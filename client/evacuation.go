package client

import (
	"context"
	"net/http"
)

// Evacuate starts the evacuation of a zone, after which nothing new is sent to it. It returns nil once the order is committed. All processes
// follow it within moments. A *RefusedError names the reason for which the order is refused, such as an unknown zone. A repeated order
// changes nothing. However, orders have no sequence number, so two operators should not give opposite orders about a zone at the same time.
func (c *Client) Evacuate(ctx context.Context, zone string) error {
	return c.postOrder(ctx, pathOf(prefixEvacuation, zone, suffixInitiate))
}

// EndEvacuation ends the evacuation of a zone. Its errors are those of Evacuate.
func (c *Client) EndEvacuation(ctx context.Context, zone string) error {
	return c.postOrder(ctx, pathOf(prefixEvacuation, zone, suffixTerminate))
}

// postOrder sends an order without a body, and returns the error of a refusal.
func (c *Client) postOrder(ctx context.Context, path string) error {
	reply, err := c.askStewards(ctx, apiCall{method: http.MethodPost, path: path})
	if err != nil {
		return err
	}
	return reply.refusal()
}
