// Package roles puts the parts of each role together.
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
	peerTimeout           = 2 * time.Second
	settingsCheckInterval = 5 * time.Second
)

// base is what every role has: settings, log, clock, peers and a tree of parts.
type base struct {
	path     string
	settings *settings.Settings
	clock    clock.Clock
	log      logging.Logger
	caller   *peerapi.Caller
	calls    net.Listener
	packets  net.PacketConn
	inner    *http.ServeMux
	tree     *supervise.Tree
	node     *membership.Node
	meter    *transportmetrics.Meter
	hangups  chan os.Signal
	// asked ends once the process is told to end, forget stops listening for that; both are there from the start of the process, since a
	// signal that nobody listens for would end it at once.
	asked  context.Context
	forget context.CancelFunc
}

// Option adds to a role what only a measured process has.
type Option func(*base)

// WithMeter counts what the role sends and receives.
func WithMeter(meter *transportmetrics.Meter) Option { return func(b *base) { b.meter = meter } }

// newBase loads the settings, checks that they suit the role, and assembles what all roles have.
func newBase(path, role string, options ...Option) (*base, error) {
	hangups := noticeHangups()
	asked, forget := supervise.UntilSignal()
	nodeSettings, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	if err := nodeSettings.Require(role); err != nil {
		return nil, err
	}
	tameMemory(nodeSettings)
	b, err := assemble(nodeSettings, logging.New(os.Stderr, nodeSettings.LogLevel).WithValues("role", role), options...)
	if err != nil {
		return nil, err
	}
	b.path, b.hangups, b.asked, b.forget = path, hangups, asked, forget
	for _, bound := range nodeSettings.Bounds.Unknown {
		b.log.Info("unknown protocol bound ignored", "bound", bound)
	}
	b.tree.Add("settings", b.watchSettings)
	return b, nil
}

// assemble binds the internal ports and makes the client for peers.
func assemble(nodeSettings *settings.Settings, log logging.Logger, options ...Option) (*base, error) {
	clock := clock.System()
	b := &base{settings: nodeSettings, clock: clock, log: log, inner: http.NewServeMux(), tree: supervise.New(clock, log)}
	for _, option := range options {
		option(b)
	}
	calls, packets, err := membership.BindInternal(nodeSettings.IPAddress, nodeSettings.InternalPorts[0], nodeSettings.InternalPorts[1])
	if err != nil {
		return nil, errors.Annotate(err, "field internal-port-range")
	}
	b.calls, b.packets = b.meter.Listener(calls), b.meter.Packets(packets)
	b.caller = peerapi.NewCaller(b.meter.Client(peerapi.Client(peerTimeout, 4)))
	return b, nil
}

func tameMemory(nodeSettings *settings.Settings) {
	debug.SetGCPercent(gcpacing.QuietPercent)
	debug.SetMemoryLimit(nodeSettings.Limits.MemoryMB << 20 * 6 / 10)
}

// join adds the parts that make the process a member of the cluster: membership, calls of peers, metrics.
func (b *base) join(self wire.Member, options ...membership.Option) {
	self.Name, self.Domain = b.settings.NodeName, b.settings.Domain
	b.node = membership.NewNode(self, b.calls, b.packets, b.settings.Seeds, b.caller, b.clock, b.log, options...)
	b.node.Handle(b.inner)
	metrics.Handle(b.inner)
	b.tree.Add("peers", b.node.Run)
	b.tree.Add("peer-calls", b.serving(b.calls, b.inner, internalLeave))
	if every := b.settings.MetricsLog(); every > 0 {
		b.tree.Add("metrics", metrics.Logging(b.log, b.clock, every))
	}
}

// The servers of calls between processes, executors and operators leave once the role has handed over what it keeps.
var (
	internalLeave = httpserver.ShutdownTimes{Close: 300 * time.Millisecond}
	executorLeave = httpserver.ShutdownTimes{CallsEnd: 100 * time.Millisecond, Close: 400 * time.Millisecond}
	operatorLeave = httpserver.ShutdownTimes{Quiet: 100 * time.Millisecond, CallsEnd: 950 * time.Millisecond, Close: 1300 * time.Millisecond}
)

// serving gives a part that answers calls until its context is done, and then leaves in order.
func (b *base) serving(listener net.Listener, handler http.Handler, times httpserver.ShutdownTimes) supervise.Part {
	server := httpserver.New(listener, b.meter.Handler(handler), b.clock, b.log)
	return func(ctx context.Context) error {
		ended := make(chan error, 1)
		go func() { ended <- server.Serve() }()
		select {
		case err := <-ended:
			return err
		case <-ctx.Done():
			server.Shutdown(times)
			return nil
		}
	}
}

func (b *base) listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Annotatef(err, "field listen-addresses.%s", field)
	}
	return b.meter.Listener(listener), nil
}

// noticeHangups takes SIGHUP from the start of a process to its end: by default the signal would end it.
func noticeHangups() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// watchSettings takes a changed file, and keeps the old settings if the new ones are bad.
func (b *base) watchSettings(ctx context.Context) error {
	last := modified(b.path)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.hangups:
		case <-b.clock.After(settingsCheckInterval):
			if modified(b.path) == last {
				continue
			}
		}
		last = modified(b.path)
		fresh, err := settings.Load(b.path)
		if err != nil {
			b.log.Error(err, "settings refused, the old ones stay")
			continue
		}
		b.node.SetSeeds(fresh.Seeds)
		b.log.Info("settings reloaded")
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// run keeps the parts going until SIGTERM, then calls leave, and ends the parts once that is done. Further signals of
// the kind change nothing.
func (b *base) run(leave func()) error {
	defer b.forget()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	over := make(chan error, 1)
	go func() { over <- b.tree.Run(ctx) }()
	select {
	case err := <-over:
		return err
	case <-b.asked.Done():
		b.log.Info("shutting down")
		if b.settings.MetricsLog() > 0 {
			metrics.Log(b.log)
		}
		leave()
		end()
		return <-over
	}
}
