package membership

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
)

const (
	mailboxSize = 256
	// maxDatagramBytes is the size of the receive buffer. Longer datagrams are cut off, and dropped as unreadable.
	maxDatagramBytes = 16 << 10
	// joinPause is the pause between two rounds of join. joinPauseWithoutSteward is the shorter one while the view has no live steward.
	joinPause               = time.Second
	joinPauseWithoutSteward = 200 * time.Millisecond
	membersCallTimeout      = 800 * time.Millisecond
	// roundsPerSeedComparison is the number of rounds of join after which a process compares its list with those of its seeds even if its
	// view has a live steward.
	roundsPerSeedComparison = 15
)

// ErrNoFreePort is the cause of the error of BindInternal if no port of the range could be opened for both TCP and UDP.
const ErrNoFreePort = errors.ConstError("no port is free")

// Node runs a Table on a TCP and a UDP socket of the same port, and publishes its view.
type Node struct {
	table      *Table
	mailbox    *mailbox.Mailbox
	view       atomic.Pointer[View]
	packetConn net.PacketConn
	listener   net.Listener
	caller     *peerapi.Caller
	clock      clock.Clock
	log        logging.Logger
	seeds      atomic.Pointer[[]string]
	// knownPeers are control addresses that an earlier run of this process saved. They are used while the view has no live steward.
	knownPeers           []string
	onConfigurationAhead func(peer Member, version int64)
}

// Option configures a Node.
type Option func(*Node)

// OnConfigurationAhead sets the function that is called for each message of a peer that holds a newer configuration than this process.
func OnConfigurationAhead(handle func(peer Member, version int64)) Option {
	return func(n *Node) { n.onConfigurationAhead = handle }
}

// WithKnownPeers sets control addresses that an earlier run of this process saved. The node contacts them while its view has no live steward.
func WithKnownPeers(addresses []string) Option {
	return func(n *Node) { n.knownPeers = addresses }
}

// BindInternal opens a TCP and a UDP socket on the first port of the range that is free for both. The range includes the last port. If no
// port is free, the cause of the error is ErrNoFreePort.
func BindInternal(ip string, first, last int) (net.Listener, net.PacketConn, error) {
	for port := first; port <= last; port++ {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packetConn, err := net.ListenPacket("udp4", address)
		if err != nil {
			listener.Close()
			continue
		}
		return listener, packetConn, nil
	}
	return nil, nil, errors.Annotatef(ErrNoFreePort, "ports %d to %d on %s", first, last, ip)
}

// NewNode creates the membership of this process on the sockets of BindInternal. It sends nothing before Run.
func NewNode(self Member, listener net.Listener, packetConn net.PacketConn, seeds []string, caller *peerapi.Caller,
	clock clock.Clock, log logging.Logger, options ...Option) *Node {
	node := &Node{mailbox: mailbox.New(mailboxSize), packetConn: packetConn, listener: listener, caller: caller, clock: clock, log: log,
		onConfigurationAhead: func(Member, int64) {}}
	node.seeds.Store(&seeds)
	for _, option := range options {
		option(node)
	}
	self.Address = listener.Addr().String()
	self.Incarnation = uint64(clock.WallMs())
	node.table = NewTable(self, clock, DefaultTiming, self.Incarnation, Events{
		Send:               node.send,
		Publish:            func(view *View) { node.view.Store(view) },
		ConfigurationAhead: func(peer Member, version int64) { node.onConfigurationAhead(peer, version) },
		ListsDiffer:        func(peer Member) { go node.compareLists(peer.Address) },
	})
	node.table.PublishIfChanged()
	return node
}

// SetSeeds replaces the seed addresses after the settings file has changed.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// View returns the newest view of the members. A published view is immutable, and any goroutine may call View.
func (n *Node) View() *View { return n.view.Load() }

// send writes a datagram. It ignores errors, because the protocol tolerates the loss of any datagram.
func (n *Node) send(address string, datagram wire.Datagram) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	if text, err := easyjson.Marshal(datagram); err == nil {
		datagramsSent.With(datagram.Kind).Inc()
		datagramBytesSent.With(datagram.Kind).Add(len(text))
		n.packetConn.WriteTo(text, net.UDPAddrFromAddrPort(to))
	}
}

// UntilLeaderMoved returns a context that is cancelled as soon as any key has another leader than in the view. The caller has to call the
// returned function to release its resources.
func UntilLeaderMoved(ctx context.Context, view *View) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-view.LeaderMoved:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Run runs the failure detector, joins the cluster and receives datagrams until ctx is done. It closes the UDP socket at the end.
func (n *Node) Run(ctx context.Context) error {
	go n.listen()
	go n.join(ctx)
	n.mailbox.Run(ctx, n.clock, mailbox.Owner{Every: n.table.timing.Period / 2, Tick: n.table.Tick})
	n.packetConn.Close()
	return nil
}

// listen passes each datagram to the table until the socket is closed. It drops datagrams while the mailbox of the table is full.
func (n *Node) listen() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := n.packetConn.ReadFrom(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var datagram wire.Datagram
		if err := easyjson.Unmarshal(buffer[:count], &datagram); err != nil || datagram.From.Name == "" {
			datagramsDropped.With("unreadable").Inc()
			n.log.V(1).Info("unreadable datagram dropped", "bytes", count)
			continue
		}
		datagramsReceived.With(datagram.Kind).Inc()
		datagramBytesReceived.With(datagram.Kind).Add(count)
		if !n.mailbox.TryPost(func() { n.table.HandleDatagram(datagram) }) {
			datagramsDropped.With("busy").Inc()
		}
	}
}

// join compares lists with the peers at joinAddresses while the view has no live steward. A local proxy also does so while it is isolated,
// and every other process once in roundsPerSeedComparison rounds.
func (n *Node) join(ctx context.Context) {
	for round := 0; ; round++ {
		view := n.View()
		isLeaf := isLeaf(view.Self)
		isSeedRound := !isLeaf && round%roundsPerSeedComparison == roundsPerSeedComparison-1
		if !view.SeesSteward() || isLeaf && view.IsIsolated || isSeedRound {
			for _, address := range n.joinAddresses(view) {
				n.compareLists(address)
			}
		}
		wait := joinPause
		if !n.View().SeesSteward() {
			wait = joinPauseWithoutSteward
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(wait):
		}
	}
}

// joinAddresses returns the seeds. While the view has no live steward, the peers of an earlier run are included, because all seeds may
// be down or unreachable.
func (n *Node) joinAddresses(view *View) []string {
	addresses := slices.Clone(*n.seeds.Load())
	if view.SeesSteward() {
		return addresses
	}
	for _, address := range n.knownPeers {
		if !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// compareLists compares the member lists of this process and a peer by the sums of their buckets, and sends the peer in a second call the
// records that the peer lacks. It does nothing for the control address of this process.
func (n *Node) compareLists(address string) {
	if address == n.View().Self.Control {
		return
	}
	call, err := mailbox.Ask(context.Background(), n.mailbox, func(answer func(wire.MembersCall)) { answer(n.table.NewComparisonCall()) })
	if err != nil {
		return
	}
	answer, err := n.callMembers(address, &call)
	if err != nil {
		return
	}
	followUp, err := mailbox.Ask(context.Background(), n.mailbox, func(answerWith func(*wire.MembersCall)) {
		answerWith(n.table.HandleAnswer(Member{Address: address}, answer))
	})
	if err == nil && followUp != nil {
		n.callMembers(address, followUp)
	}
}

func (n *Node) callMembers(address string, call *wire.MembersCall) (*wire.MembersAnswer, error) {
	answer, err := peerapi.Call[wire.MembersCall, wire.MembersAnswer](
		context.Background(), n.caller, address, peerapi.ProcedureMembers, membersCallTimeout, call)
	if err != nil {
		n.log.V(1).Info("member lists not compared", "peer", address, "reason", err.Error())
	}
	return answer, err
}

// Handle registers the procedure by which peers compare their member lists with that of this process.
func (n *Node) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedureMembers, func(ctx context.Context, call *wire.MembersCall) (*wire.MembersAnswer, error) {
		answer, err := mailbox.Ask(ctx, n.mailbox, func(answer func(wire.MembersAnswer)) { answer(n.table.AnswerCall(call)) })
		return &answer, err
	})
}

// AnnounceLeader records the leader of a key, and announces it to other processes if it is new.
func (n *Node) AnnounceLeader(leader wire.KeyLeader) {
	n.mailbox.Post(func() {
		if n.table.MergeLeader(leader) {
			n.table.Broadcast()
		}
	})
}

// AnnounceConfiguration announces to other processes that this process holds a version of the configuration.
func (n *Node) AnnounceConfiguration(version int64) {
	n.mailbox.Post(func() { n.table.AnnounceConfiguration(version) })
}

// AnnounceEvacuations announces a committed list of evacuations to other processes.
func (n *Node) AnnounceEvacuations(evacuations *wire.Evacuations) {
	n.mailbox.Post(func() { n.table.AnnounceEvacuations(evacuations) })
}
