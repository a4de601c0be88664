package roles

import (
	"context"
	"time"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/node/localproxy"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/settings"
)

// LocalProxy runs the local proxy of its machine's executor until SIGTERM or SIGINT.
func LocalProxy(path string, options ...Option) error {
	b, err := newBase(path, "local-proxy", options...)
	if err != nil {
		return err
	}
	if err := b.addProxyParts(); err != nil {
		return err
	}
	return b.run(func() { <-b.clock.After(200 * time.Millisecond) })
}

// HollowProxy runs the local proxy of a simulated executor until ctx is done. One process may run many of them. HollowProxy handles no signals
// and doesn't reload its settings.
func HollowProxy(ctx context.Context, nodeSettings *settings.Settings, log logging.Logger, options ...Option) error {
	if err := nodeSettings.Require("local-proxy"); err != nil {
		return err
	}
	b, err := assemble(nodeSettings, log, options...)
	if err != nil {
		return err
	}
	if err := b.addProxyParts(); err != nil {
		return err
	}
	return b.tree.Run(ctx)
}

// addProxyParts adds the parts of a local proxy.
func (b *base) addProxyParts() error {
	controlListener, err := b.listen("control-plane", b.settings.Listen.Control)
	if err != nil {
		return err
	}
	b.join(wire.Member{Role: "local-proxy"})
	comparenodes.Handle(b.internalMux, comparenodes.Sources{View: b.node.View})
	executor := executorapi.NewClient(b.meter.Client(peerapi.Client(peerTimeout, 8)), b.settings.App)
	isEvacuated := func() (time.Duration, bool) {
		since, isOrdered := b.node.View().EvacuatedAt[b.settings.Domain]
		return since, isOrdered
	}
	proxy := localproxy.New(b.settings.Service, b.settings.Domain, b.settings.NodeName, b.clock, b.log, executor, b.caller, b.node.View,
		localproxy.WithDrainTime(clock.Milliseconds(b.settings.Bounds.DrainTimeoutMs)), localproxy.WithEvacuation(clock.Milliseconds(b.settings.Bounds.EvacuationMs), isEvacuated))
	b.tree.Add("proxy", proxy.Run)
	b.tree.Add("executor-calls", b.newServerPart(controlListener, proxy, executorShutdownTimes))
	return nil
}
