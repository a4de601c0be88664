package roles

import (
	"context"
	"net/http"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/configcache"
	"gannetline/internal/cluster/evacuationview"
	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/control/controlapi"
	"gannetline/internal/control/controlkeys"
	"gannetline/internal/control/coordinationapi"
	"gannetline/internal/platform/gcpacing"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/platform/settings"
	"gannetline/internal/platform/stallwatch"
	"gannetline/internal/scheduling/recording"
	"gannetline/internal/scheduling/scheduler"
)

// leaveShareOfGrace is how much of the grace period a steward may take until its voters are replaced.
const leaveShareOfGrace = 3

// Steward keeps control keys and schedules the pools it leads, until SIGTERM.
func Steward(path string, options ...Option) error {
	b, err := newBase(path, "steward", options...)
	if err != nil {
		return err
	}
	control, err := b.listen("control-plane", b.settings.Listen.Control)
	if err != nil {
		return err
	}
	kept, err := openStorage(b)
	if err != nil {
		return err
	}
	defer kept.close()
	configurations := configcache.New(b.caller, b.clock, b.log, func(snapshot *configcache.Snapshot) { b.node.HoldsConfiguration(snapshot.Committed.Version) })
	configurations.Handle(b.inner)
	knownPeers := kept.peers(b.log)
	b.join(kept.member(b.settings.Listen.Control), membership.OnConfigurationAhead(configurations.FetchFrom), membership.WithKnownPeers(knownPeers))
	rules, err := queuerules.Compile(b.settings.QueueRules)
	if err != nil {
		return errors.Annotate(err, "field queue-rules")
	}
	pool := []scheduler.Option{scheduler.WithRules(rules)}
	if b.settings.RecordDay && kept.folder != "" {
		writer := recording.NewWriter(filepath.Join(kept.folder, "day.jsonl"), b.settings.NodeName, b.settings.RecordDescriptors)
		b.tree.Add("recording", writer.Run)
		pool = append(pool, scheduler.WithRecorder(writer))
	}
	asker := leaderclient.New(b.caller, b.clock, b.node.View)
	manager := controlkeys.New(controlkeys.Config{Clock: b.clock, Log: b.log, Store: kept.store, IsDiskTemporary: kept.isTemporary,
		MachineLosses: b.settings.FaultTolerance.MachineLosses, Name: b.settings.NodeName, Caller: b.caller, Node: b.node, Configurations: configurations,
		Timing: scheduler.TimingFrom(b.settings), Replicas: kept.replicas, PoolOptions: pool, LeaderClient: asker,
		Coordination: coordinationTimes(b.settings)})
	manager.Handle(b.inner)
	comparenodes.Handle(b.inner, comparenodes.Sources{View: b.node.View, Configuration: configurations.Current, Keys: manager.Beliefs})
	evacuationview.Handle(b.inner, b.node.View, manager.ZoneLoads)
	b.serveExecutors()
	outer := http.NewServeMux()
	outer.Handle("/v1/configuration/", controlapi.Handler(asker))
	stalls := stallwatch.New(b.clock)
	b.tree.Add("stalls", stalls.Run)
	outer.Handle(controlapi.PrefixEvacuation, controlapi.NewEvacuation(asker, b.settings.HasZone, stalls.MayHaveWaited))
	outer.Handle(controlapi.PathRollouts, controlapi.NewRollouts(asker))
	outer.Handle(controlapi.PrefixRetire, controlapi.NewRetire(b.caller, b.node.View, b.settings.FaultTolerance.MachineLosses))
	if b.settings.ServesCoordination() {
		coordinationapi.NewHandler(b.asked, manager.AskLeader, b.clock, b.log).Register(outer)
	} else {
		coordinationapi.RegisterOff(outer)
	}
	outer.Handle(peerapi.Prefix, b.inner)
	if kept.store != nil {
		b.tree.Add("known-peers", b.savePeers(kept.store, knownPeers))
		savedVersion := b.restoreConfiguration(kept.store, configurations)
		b.tree.Add("saved-configuration", b.saveConfiguration(kept.store, configurations, savedVersion))
		b.tree.Add("replicas", func(ctx context.Context) error {
			kept.replicas.Mailbox().Run(ctx, b.clock, mailbox.Owner{Every: time.Minute})
			return nil
		})
	}
	b.tree.Add("garbage-collector", func(ctx context.Context) error { return gcpacing.Run(ctx, b.clock) })
	b.tree.Add("plan", configurations.Run)
	b.tree.Add("keys", manager.Run)
	b.tree.Add("rollouts", manager.RunRollouts)
	b.tree.Add("control-calls", b.serving(control, outer, operatorLeave))
	if b.settings.InitialStart && kept.store != nil && kept.store.IsNew() {
		b.tree.Add("first-voters", func(ctx context.Context) error { manager.BootstrapFromSeeds(ctx, b.settings.Seeds); return nil })
	}
	return b.run(func() { manager.Leave(b.settings.GracePeriod() / leaveShareOfGrace) })
}

// coordinationTimes are the bounds of locks, numbers and cells, or nil where stewards keep none.
func coordinationTimes(nodeSettings *settings.Settings) *controlkeys.CoordinationTimes {
	if !nodeSettings.ServesCoordination() {
		return nil
	}
	return &controlkeys.CoordinationTimes{History: nodeSettings.History(), Release: nodeSettings.Release()}
}
