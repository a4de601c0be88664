package roles

import (
	"context"
	"slices"
	"time"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/executorlist"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/controlkeys"
	"gannetline/internal/platform/gcpacing"
	"gannetline/internal/platform/mailbox"
)

// Storage runs a storage machine, which keeps lots and has executors run their items, until SIGTERM or SIGINT. It is a steward that serves no
// operators and keeps only the keys of lots.
func Storage(path string, options ...Option) error {
	b, err := newBase(path, "storage", options...)
	if err != nil {
		return err
	}
	state, err := openStorage(b)
	if err != nil {
		return err
	}
	defer state.close()
	configurations := configcache.New(b.caller, b.clock, b.log, func(snapshot *configcache.Snapshot) { b.node.AnnounceConfiguration(snapshot.Committed.Version) })
	configurations.Handle(b.internalMux)
	knownPeers := state.loadPeers(b.log)
	b.join(state.member(""), membership.OnConfigurationAhead(configurations.FetchFrom), membership.WithKnownPeers(knownPeers))
	executors := b.followExecutors(executorlist.NearSteward, func(*executorlist.List) {})
	availableExecutors := func(service string) []wire.ExecutorRecord {
		return slices.DeleteFunc(slices.Clone(executors.OfService(service)), func(executor wire.ExecutorRecord) bool { return b.node.IsEvacuated(executor.Zone) })
	}
	retention := time.Duration(b.settings.Bounds.StatusS * float64(time.Second))
	manager := controlkeys.New(controlkeys.Config{Clock: b.clock, Log: b.log, Store: state.store,
		MachineLosses: b.settings.FaultTolerance.MachineLosses, Name: b.settings.NodeName, Caller: b.caller, Node: b.node,
		Configurations: configurations, Replicas: state.replicas,
		Lots: &controlkeys.LotDependencies{Executors: availableExecutors, Client: newExecutorClient(), Retention: retention}})
	manager.Handle(b.internalMux)
	comparenodes.Handle(b.internalMux, comparenodes.Sources{View: b.node.View, Configuration: configurations.Current, Keys: manager.Beliefs})
	evacuationview.Handle(b.internalMux, b.node.View, nil)
	b.tree.Add("known-peers", b.savePeers(state.store, knownPeers))
	b.tree.Add("replicas", func(ctx context.Context) error {
		state.replicas.Mailbox().Run(ctx, b.clock, mailbox.Owner{Every: time.Minute})
		return nil
	})
	b.tree.Add("garbage-collector", func(ctx context.Context) error { return gcpacing.Run(ctx, b.clock) })
	b.tree.Add("plan", configurations.Run)
	b.tree.Add("keys", manager.Run)
	return b.run(func() { manager.Leave(b.settings.GracePeriod() / leaveGraceDivisor) })
}
