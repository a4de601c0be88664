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
	// executorTimeout is the time after which a connection to an executor is closed if its machine acknowledges nothing, and the time limit
	// for establishing a connection.
	executorTimeout = 2 * time.Second
	// executorIdleTimeout is how long an idle connection to an executor is kept.
	executorIdleTimeout = 20 * time.Second
	// maxIdleExecutorConnections limits the idle connections to one executor.
	maxIdleExecutorConnections = 8
	// executorBufferSize is the size of a connection's read buffer and of its write buffer, in bytes.
	executorBufferSize = 4096
	// platformTimeout is the same time limit for connections to the platform.
	platformTimeout = time.Second
)

// newExecutorClient returns a client for requests to executors. It follows no redirects and has no overall timeout, since an answer may be
// streamed for a long time.
func newExecutorClient() *http.Client {
	dialer := peerapi.Dialer(executorTimeout)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return dialer.DialContext(ctx, network, address)
			},
			MaxIdleConnsPerHost: maxIdleExecutorConnections,
			IdleConnTimeout:     executorIdleTimeout,
			DisableCompression:  true,
			ReadBufferSize:      executorBufferSize,
			WriteBufferSize:     executorBufferSize,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// followExecutors adds the parts that keep a copy of the list of executors. source returns the address of the steward from which the list is
// fetched, and onChange receives each changed list.
func (b *base) followExecutors(source func(*membership.View) string, onChange func(*executorlist.List)) *executorlist.Holder {
	holder := executorlist.NewHolder(b.clock, onChange)
	b.tree.Add("executor-list", holder.Run)
	b.tree.Add("executor-follower", executorlist.NewFollower(holder, b.caller, b.clock, b.node.View, source).Run)
	return holder
}

// serveExecutors adds the parts by which a steward keeps the list of executors and serves it to other processes, unless the settings name no
// platform. The steward reads the list from the platform while it leads the configuration's key or knows of no leader of that key. Otherwise
// it copies the list of the leader.
func (b *base) serveExecutors() {
	if b.settings.Platform.Address == "" {
		return
	}
	holder := b.followExecutors(executorlist.LeaderOf(configleader.Key), func(*executorlist.List) {})
	holder.Handle(b.internalMux)
	client := peerapi.Client(platformTimeout, 1)
	poller := executorlist.NewPoller(client, b.settings.Platform.Address, holder, b.clock, b.log, func() executorlist.PollDecision {
		view := b.node.View()
		leader, isKnown := view.Leaders[configleader.Key]
		// Until a leader is known, for example after a power loss of the whole cluster, each steward reads the list itself, under epoch 0, which is
		// below that of any leader.
		return executorlist.PollDecision{IsDue: !isKnown || leader.Name == b.settings.NodeName, Epoch: leader.Epoch, Changed: view.LeaderMoved}
	})
	b.tree.Add("executor-poller", poller.Run)
}
