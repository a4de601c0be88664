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

// leaveGraceDivisor divides the grace period: a process that shuts down waits for at most a third of it until its voters are replaced.
const leaveGraceDivisor = 3

// Steward runs a steward, which replicates control keys and schedules the pools that it leads, until SIGTERM or SIGINT.
func Steward(path string, options ...Option) error {
	b, err := newBase(path, "steward", options...)
	if err != nil {
		return err
	}
	controlListener, err := b.listen("control-plane", b.settings.Listen.Control)
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
	b.join(state.member(b.settings.Listen.Control), membership.OnConfigurationAhead(configurations.FetchFrom), membership.WithKnownPeers(knownPeers))
	rules, err := queuerules.Compile(b.settings.QueueRules)
	if err != nil {
		return errors.Annotate(err, "field queue-rules")
	}
	poolOptions := []scheduler.Option{scheduler.WithRules(rules)}
	if b.settings.RecordDay && state.folder != "" {
		writer := recording.NewWriter(filepath.Join(state.folder, "day.jsonl"), b.settings.NodeName, b.settings.RecordDescriptors)
		b.tree.Add("recording", writer.Run)
		poolOptions = append(poolOptions, scheduler.WithRecorder(writer))
	}
	leaderClient := leaderclient.New(b.caller, b.clock, b.node.View)
	manager := controlkeys.New(controlkeys.Config{Clock: b.clock, Log: b.log, Store: state.store, IsDiskTemporary: state.isTemporary,
		MachineLosses: b.settings.FaultTolerance.MachineLosses, Name: b.settings.NodeName, Caller: b.caller, Node: b.node, Configurations: configurations,
		Timing: scheduler.TimingFrom(b.settings), Replicas: state.replicas, PoolOptions: poolOptions, LeaderClient: leaderClient,
		Coordination: coordinationTimes(b.settings)})
	manager.Handle(b.internalMux)
	comparenodes.Handle(b.internalMux, comparenodes.Sources{View: b.node.View, Configuration: configurations.Current, Keys: manager.Beliefs})
	evacuationview.Handle(b.internalMux, b.node.View, manager.ZoneLoads)
	b.serveExecutors()
	controlMux := http.NewServeMux()
	controlMux.Handle("/v1/configuration/", controlapi.NewConfigurationHandler(leaderClient))
	stallDetector := stallwatch.New(b.clock)
	b.tree.Add("stalls", stallDetector.Run)
	controlMux.Handle(controlapi.PrefixEvacuation, controlapi.NewEvacuationHandler(leaderClient, b.settings.HasZone, stallDetector.MayHaveWaited))
	controlMux.Handle(controlapi.PathRollouts, controlapi.NewRolloutsHandler(leaderClient))
	controlMux.Handle(controlapi.PrefixRetire, controlapi.NewRetireHandler(b.caller, b.node.View, b.settings.FaultTolerance.MachineLosses))
	if b.settings.ServesCoordination() {
		coordinationapi.NewHandler(b.shutdownRequested, manager.AskLeader, b.clock, b.log).Register(controlMux)
	} else {
		coordinationapi.RegisterOff(controlMux)
	}
	controlMux.Handle(peerapi.Prefix, b.internalMux)
	if state.store != nil {
		b.tree.Add("known-peers", b.savePeers(state.store, knownPeers))
		savedVersion := b.restoreConfiguration(state.store, configurations)
		b.tree.Add("saved-configuration", b.saveConfiguration(state.store, configurations, savedVersion))
		b.tree.Add("replicas", func(ctx context.Context) error {
			state.replicas.Mailbox().Run(ctx, b.clock, mailbox.Owner{Every: time.Minute})
			return nil
		})
	}
	b.tree.Add("garbage-collector", func(ctx context.Context) error { return gcpacing.Run(ctx, b.clock) })
	b.tree.Add("plan", configurations.Run)
	b.tree.Add("keys", manager.Run)
	b.tree.Add("rollouts", manager.RunRollouts)
	b.tree.Add("control-calls", b.newServerPart(controlListener, controlMux, operatorShutdownTimes))
	if b.settings.InitialStart && state.store != nil && state.store.IsNew() {
		b.tree.Add("first-voters", func(ctx context.Context) error { manager.BootstrapFromSeeds(ctx, b.settings.Seeds); return nil })
	}
	return b.run(func() { manager.Leave(b.settings.GracePeriod() / leaveGraceDivisor) })
}

// coordinationTimes returns the time bounds of locks, numbers and cells, or nil if the active contracts don't include coordination.
func coordinationTimes(nodeSettings *settings.Settings) *controlkeys.CoordinationTimes {
	if !nodeSettings.ServesCoordination() {
		return nil
	}
	return &controlkeys.CoordinationTimes{History: nodeSettings.History(), Release: nodeSettings.Release()}
}
