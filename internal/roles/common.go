// Package roles assembles and runs the process of each role: gate, steward, storage and local proxy.
package roles

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/membership"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/gcpacing"
	"gannetline/internal/platform/httpserver"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/metrics"
	"gannetline/internal/platform/settings"
	"gannetline/internal/platform/supervise"
	"gannetline/internal/platform/transportmetrics"
)

const (
	// peerTimeout is the time after which a connection to a peer, or from a local proxy to its executor, fails if the other side leaves
	// sent data unacknowledged. It also limits the time for establishing such a connection.
	peerTimeout = 2 * time.Second
	// settingsCheckInterval is the time between two checks for a changed settings file.
	settingsCheckInterval = 5 * time.Second
)

// base holds what all roles have in common: settings, log, clock, peers and the tree of supervised parts.
type base struct {
	settingsPath string
	settings     *settings.Settings
	clock        clock.Clock
	log          logging.Logger
	caller       *peerapi.Caller
	peerListener net.Listener
	datagrams    net.PacketConn
	internalMux  *http.ServeMux
	tree         *supervise.Tree
	node         *membership.Node
	meter        *transportmetrics.Meter
	hangups      chan os.Signal
	// shutdownRequested is done once the process receives SIGTERM or SIGINT. stopSignals ends the handling of both signals. The handling
	// begins at the start of the process, since an unhandled signal would kill it at once.
	shutdownRequested context.Context
	stopSignals       context.CancelFunc
}

// Option changes how a role is assembled. Only processes whose traffic is measured need one.
type Option func(*base)

// WithMeter counts the traffic that the role sends and receives.
func WithMeter(meter *transportmetrics.Meter) Option { return func(b *base) { b.meter = meter } }

// newBase starts to handle signals, loads the settings, checks that they suit the role, and assembles the parts that all roles have.
func newBase(path, role string, options ...Option) (*base, error) {
	hangups := subscribeHangups()
	shutdownRequested, stopSignals := supervise.UntilSignal()
	nodeSettings, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if err := nodeSettings.Require(role); err != nil {
		return nil, err
	}
	limitMemory(nodeSettings)
	b, err := assemble(nodeSettings, logging.New(os.Stderr, nodeSettings.LogLevel).WithValues("role", role), options...)
	if err != nil {
		return nil, err
	}
	b.settingsPath, b.hangups, b.shutdownRequested, b.stopSignals = path, hangups, shutdownRequested, stopSignals
	for _, bound := range nodeSettings.Bounds.Unknown {
		b.log.Info("unknown protocol bound ignored", "bound", bound)
	}
	b.tree.Add("settings", b.watchSettings)
	return b, nil
}

// assemble binds the internal ports and creates the client for calls to peers. It starts nothing.
func assemble(nodeSettings *settings.Settings, log logging.Logger, options ...Option) (*base, error) {
	systemClock := clock.System()
	b := &base{settings: nodeSettings, clock: systemClock, log: log, internalMux: http.NewServeMux(), tree: supervise.New(systemClock, log)}
	for _, option := range options {
		option(b)
	}
	peerListener, datagrams, err := membership.BindInternal(nodeSettings.IPAddress, nodeSettings.InternalPorts[0], nodeSettings.InternalPorts[1])
	if err != nil {
		return nil, errors.Annotate(err, "field internal-port-range")
	}
	b.peerListener, b.datagrams = b.meter.Listener(peerListener), b.meter.Packets(datagrams)
	b.caller = peerapi.NewCaller(b.meter.Client(peerapi.Client(peerTimeout, 4)))
	return b, nil
}

// limitMemory sets the heap growth between collections to that of a quiet process, and the soft memory limit to 60 % of limits.memory-mb.
func limitMemory(nodeSettings *settings.Settings) {
	debug.SetGCPercent(gcpacing.QuietPercent)
	debug.SetMemoryLimit(nodeSettings.Limits.MemoryMB << 20 * 6 / 10)
}

// join adds the parts that make the process a member of the cluster: membership, the server for calls of peers, and metrics.
func (b *base) join(self wire.Member, options ...membership.Option) {
	self.Name, self.Domain = b.settings.NodeName, b.settings.Domain
	b.node = membership.NewNode(self, b.peerListener, b.datagrams, b.settings.Seeds, b.caller, b.clock, b.log, options...)
	b.node.Handle(b.internalMux)
	metrics.Handle(b.internalMux)
	b.tree.Add("peers", b.node.Run)
	b.tree.Add("peer-calls", b.newServerPart(b.peerListener, b.internalMux, internalShutdownTimes))
	if interval := b.settings.MetricsLog(); interval > 0 {
		b.tree.Add("metrics", metrics.Logging(b.log, b.clock, interval))
	}
}

// Shutdown times of the servers for peers, executors and operators. They begin once the role has handed over its work.
var (
	internalShutdownTimes = httpserver.ShutdownTimes{Close: 300 * time.Millisecond}
	executorShutdownTimes = httpserver.ShutdownTimes{CallsEnd: 100 * time.Millisecond, Close: 400 * time.Millisecond}
	operatorShutdownTimes = httpserver.ShutdownTimes{Quiet: 100 * time.Millisecond, CallsEnd: 950 * time.Millisecond, Close: 1300 * time.Millisecond}
)

// newServerPart returns a part that serves calls until its context is done, and then shuts the server down gracefully.
func (b *base) newServerPart(listener net.Listener, handler http.Handler, times httpserver.ShutdownTimes) supervise.Part {
	server := httpserver.New(listener, b.meter.Handler(handler), b.clock, b.log)
	return func(ctx context.Context) error {
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		select {
		case err := <-served:
			return err
		case <-ctx.Done():
			server.Shutdown(times)
			return nil
		}
	}
}

// listen opens a port of listen-addresses; field is its name in the settings.
func (b *base) listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "field listen-addresses.%s", field)
	}
	return b.meter.Listener(listener), nil
}

// subscribeHangups returns a channel that receives SIGHUP. It is called at the start of the process and the subscription is never cancelled,
// since by default the signal would kill the process.
func subscribeHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings reloads the settings file on SIGHUP and when its modification time changes. Only changed seeds take effect without a restart.
// If the new settings are invalid, the old ones stay in force.
func (b *base) watchSettings(ctx context.Context) error {
	lastModified := modificationTime(b.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.hangups:
		case <-b.clock.After(settingsCheckInterval):
			if modificationTime(b.settingsPath) == lastModified {
				continue
			}
		}
		lastModified = modificationTime(b.settingsPath)
		reloaded, err := settings.Load(b.settingsPath)
		if err != nil {
			b.log.Error(err, "invalid settings, the old ones stay in force")
			continue
		}
		b.node.SetSeeds(reloaded.Seeds)
		b.log.Info("settings reloaded")
	}
}

// modificationTime returns the modification time of a file, or the zero time if its status can't be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// run runs the parts until SIGTERM or SIGINT, then calls handOver, and stops the parts once that has returned. Further signals of these
// kinds have no effect. If the parts end before a signal, run returns their error and doesn't call handOver.
func (b *base) run(handOver func()) error {
	defer b.stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	treeEnded := make(chan error, 1)
	go func() { treeEnded <- b.tree.Run(ctx) }()
	select {
	case err := <-treeEnded:
		return err
	case <-b.shutdownRequested.Done():
		b.log.Info("shutting down")
		if b.settings.MetricsLog() > 0 {
			metrics.Log(b.log)
		}
		handOver()
		cancel()
		return <-treeEnded
	}
}
