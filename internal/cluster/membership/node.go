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
	// maxDatagramBytes is in bytes.
	maxDatagramBytes = 16 << 10
	// joinPause lies between two checks of the view; it is short while no steward is seen.
	joinPause          = time.Second
	joinPauseIsolated  = 200 * time.Millisecond
	membersCallTimeout = 800 * time.Millisecond
	// seedRounds is after how many pauses a process compares lists with its seeds, even if it sees a steward.
	seedRounds = 15
)

// ErrNoFreePort tells that other processes use all ports of the range.
const ErrNoFreePort = errors.ConstError("no port is free")

// Node runs a table on the machine's internal ports.
type Node struct {
	table   *Table
	mailbox *mailbox.Mailbox
	view    atomic.Pointer[View]
	packets net.PacketConn
	calls   net.Listener
	caller  *peerapi.Caller
	clock   clock.Clock
	log     logging.Logger
	seeds   atomic.Pointer[[]string]
	// knownPeers are control addresses from an earlier run.
	knownPeers           []string
	onConfigurationAhead func(peer Member, version int64)
}

// Option changes how a node is made.
type Option func(*Node)

// OnConfigurationAhead names the function that gets a peer that holds a version of the configuration.
func OnConfigurationAhead(handle func(peer Member, version int64)) Option {
	return func(n *Node) { n.onConfigurationAhead = handle }
}

// WithKnownPeers names control addresses from an earlier run, to be asked while no steward is seen.
func WithKnownPeers(addresses []string) Option {
	return func(n *Node) { n.knownPeers = addresses }
}

// BindInternal takes the first free port of the range, for TCP and UDP alike; the error is ErrNoFreePort.
func BindInternal(ip string, first, last int) (net.Listener, net.PacketConn, error) {
	for port := first; port <= last; port++ {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		calls, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		if err != nil {
			calls.Close()
			continue
		}
		return calls, packets, nil
	}
	return nil, nil, errors.Annotatef(ErrNoFreePort, "ports %d to %d on %s", first, last, ip)
}

// NewNode makes the membership of this process on the sockets that BindInternal gave. It sends nothing before Run.
func NewNode(self Member, calls net.Listener, packets net.PacketConn, seeds []string, caller *peerapi.Caller,
	clock clock.Clock, log logging.Logger, options ...Option) *Node {
	node := &Node{mailbox: mailbox.New(mailboxSize), packets: packets, calls: calls, caller: caller, clock: clock, log: log,
		onConfigurationAhead: func(Member, int64) {}}
	node.seeds.Store(&seeds)
	for _, option := range options {
		option(node)
	}
	self.Address = calls.Addr().String()
	self.Incarnation = uint64(clock.WallMs())
	node.table = NewTable(self, clock, DefaultTiming, self.Incarnation, Events{
		Send:               node.send,
		Publish:            func(view *View) { node.view.Store(view) },
		ConfigurationAhead: func(peer Member, version int64) { node.onConfigurationAhead(peer, version) },
		ListsDiffer:        func(peer Member) { go node.exchange(peer.Address) },
	})
	node.table.PublishIfChanged()
	return node
}

// SetSeeds takes the addresses of a changed settings file.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// View is the newest view of the members, which is never changed; it may be read from any goroutine.
func (n *Node) View() *View { return n.view.Load() }

// send writes a datagram. A lost one is not an error here: what it said is repeated by the protocol.
func (n *Node) send(address string, datagram wire.Datagram) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return
	}
	if text, err := easyjson.Marshal(datagram); err == nil {
		datagramsSent.With(datagram.Kind).Inc()
		datagramBytesSent.With(datagram.Kind).Add(len(text))
		n.packets.WriteTo(text, net.UDPAddrFromAddrPort(to))
	}
}

// UntilLeaderMoved gives a context that is cancelled once a key has another leader than the view says.
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

// Run probes, joins and listens until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	go n.listen()
	go n.join(ctx)
	n.mailbox.Run(ctx, n.clock, mailbox.Owner{Every: n.table.timing.Period / 2, Tick: n.table.Tick})
	n.packets.Close()
	return nil
}

// listen hands each datagram to the table, and drops those that come faster than it takes them.
func (n *Node) listen() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := n.packets.ReadFrom(buffer)
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

// join compares lists with seeds while no steward is seen, and now and then afterwards.
func (n *Node) join(ctx context.Context) {
	for round := 0; ; round++ {
		view := n.View()
		isLeaf := isLeaf(view.Self)
		isSeedTurn := !isLeaf && round%seedRounds == seedRounds-1
		if !view.SeesSteward() || isLeaf && view.IsIsolated || isSeedTurn {
			for _, address := range n.contacts(view) {
				n.exchange(address)
			}
		}
		wait := joinPause
		if !n.View().SeesSteward() {
			wait = joinPauseIsolated
		}
		select {
		case <-ctx.Done():
			return
		case <-n.clock.After(wait):
		}
	}
}

// contacts are the seeds, and peers of an earlier run as long as no steward is seen: seeds can all be down or cut off.
func (n *Node) contacts(view *View) []string {
	contacts := slices.Clone(*n.seeds.Load())
	if view.SeesSteward() {
		return contacts
	}
	for _, address := range n.knownPeers {
		if !slices.Contains(contacts, address) {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// exchange compares lists with a peer by buckets, and gives it in a second call what it lacked.
func (n *Node) exchange(address string) {
	if address == n.View().Self.Control {
		return
	}
	call, err := mailbox.Ask(context.Background(), n.mailbox, func(answer func(wire.MembersCall)) { answer(n.table.SumsCall()) })
	if err != nil {
		return
	}
	answer, err := n.callMembers(address, &call)
	if err != nil {
		return
	}
	given, err := mailbox.Ask(context.Background(), n.mailbox, func(answerWith func(*wire.MembersCall)) {
		answerWith(n.table.HandleAnswer(Member{Address: address}, answer))
	})
	if err == nil && given != nil {
		n.callMembers(address, given)
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

// Handle lets peers compare their lists with this one.
func (n *Node) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedureMembers, func(ctx context.Context, call *wire.MembersCall) (*wire.MembersAnswer, error) {
		answer, err := mailbox.Ask(ctx, n.mailbox, func(answer func(wire.MembersAnswer)) { answer(n.table.AnswerCall(call)) })
		return &answer, err
	})
}

// AnnounceLeader passes on the leader of a key.
func (n *Node) AnnounceLeader(leader wire.KeyLeader) {
	n.mailbox.Post(func() {
		if n.table.MergeLeader(leader) {
			n.table.Broadcast()
		}
	})
}

// AnnounceConfiguration announces that this process holds a version of the configuration.
func (n *Node) AnnounceConfiguration(version int64) {
	n.mailbox.Post(func() { n.table.AnnounceConfiguration(version) })
}

// AnnounceEvacuations announces a committed list of evacuations.
func (n *Node) AnnounceEvacuations(evacuations *wire.Evacuations) {
	n.mailbox.Post(func() { n.table.AnnounceEvacuations(evacuations) })
}
