package client

import (
	"context"
	"net/http"
)

// Evacuate starts the evacuation of a zone, after which nothing new is sent to the zone. It returns nil once the order is committed. All
// processes apply the order within moments. A *RefusedError gives the reason if the order is refused, for example for an unknown zone. A
// repeated order changes nothing. However, orders have no sequence number, so a delayed order can't be distinguished from a new one.
// Therefore two operators should not give opposite orders about a zone at the same time.
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
