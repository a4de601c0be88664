package roles

import (
	"context"
	"net"
	"net/http"
	"time"

	"gannetline/internal/cluster/executorlist"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/control/configleader"
)

const (
	// executorTimeout is how long an executor's machine may acknowledge nothing before a connection to it is given up, and how long a
	// connection may take to come up.
	executorTimeout = 2 * time.Second
	// executorIdle is how long a connection to an executor is kept without a request; idleExecutorConnections is how many.
	executorIdle            = 20 * time.Second
	idleExecutorConnections = 8
	// executorBuffer is the size of a connection's buffers in bytes.
	executorBuffer = 4096
	// platformTimeout is the same for the platform.
	platformTimeout = time.Second
)

// executorClient calls executors. It follows no redirects and has no time limit of its own, as answers may go on for long.
func executorClient() *http.Client {
	dialer := peerapi.Dialer(executorTimeout)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: idleExecutorConnections,
			IdleConnTimeout:     executorIdle,
			DisableCompression:  true,
			ReadBufferSize:      executorBuffer,
			WriteBufferSize:     executorBuffer,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// followExecutors keeps the list of executors, as a steward that source chooses knows it; onChange gets each list that differs.
func (b *base) followExecutors(source func(*membership.View) string, onChange func(*executorlist.List)) *executorlist.Holder {
	holder := executorlist.NewHolder(b.clock, onChange)
	b.tree.Add("executor-list", holder.Run)
	b.tree.Add("executor-follower", executorlist.NewFollower(holder, b.caller, b.clock, b.node.View, source).Run)
	return holder
}

// serveExecutors has a steward read the list of executors from the platform while it leads the configuration's key or knows of no leader,
// follow that leader's list else, and serve it to others.
func (b *base) serveExecutors() {
	if b.settings.Platform.Address == "" {
		return
	}
	holder := b.followExecutors(executorlist.LeaderOf(configleader.Key), func(*executorlist.List) {})
	holder.Handle(b.inner)
	client := peerapi.Client(platformTimeout, 1)
	poller := executorlist.NewPoller(client, b.settings.Platform.Address, holder, b.clock, b.log, func() executorlist.Turn {
		view := b.node.View()
		leader, isKnown := view.Leaders[configleader.Key]
		// Before any leader is known, as after a loss of all power, each steward reads the list for itself, below the epoch of any leader.
		return executorlist.Turn{IsDue: !isKnown || leader.Name == b.settings.NodeName, Epoch: leader.Epoch, Changed: view.LeaderMoved}
	})
	b.tree.Add("executor-poller", poller.Run)
}
