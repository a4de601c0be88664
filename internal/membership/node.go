package membership

import (
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/logging"
	"gannetline/internal/mailbox"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/span"
)

// Node runs a table on the machine's internal ports.
type Node struct {
	table   *Table
	box     *mailbox.Mailbox
	view    atomic.Pointer[View]
	packets net.PacketConn
	calls   net.Listener
	caller  *peerapi.Caller
	clock   pulse.Pulse
	log     logging.Logger
	seeds   atomic.Pointer[[]string]
	known   []string
	onPlan  func(peer Member, version int64)
}

// Option changes how a node is made.
type Option func(*Node)

// OnPlanAhead names the function to be told of a peer that holds a version of the configuration.
func OnPlanAhead(heed func(peer Member, version int64)) Option {
	return func(n *Node) { n.onPlan = heed }
}

// WithKnownPeers names control addresses from an earlier run, to be asked while no steward is seen.
func WithKnownPeers(addresses []string) Option {
	return func(n *Node) { n.known = addresses }
}

// BindInternal takes the first free port of the range, for TCP and UDP alike.
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
	return nil, nil, errors.Errorf("no free port from %d to %d on %s", first, last, ip)
}

// NewNode makes the membership of this process on the sockets that BindInternal gave. It sends nothing before Run.
func NewNode(self Member, calls net.Listener, packets net.PacketConn, seeds []string, caller *peerapi.Caller,
	clock pulse.Pulse, log logging.Logger, options ...Option) *Node {
	node := &Node{box: mailbox.New(256), packets: packets, calls: calls, caller: caller, clock: clock, log: log,
		onPlan: func(Member, int64) {}}
	node.seeds.Store(&seeds)
	for _, option := range options {
		option(node)
	}
	self.Address = calls.Addr().String()
	self.Incarnation = uint64(clock.WallMs())
	node.table = NewTable(self, clock, DefaultTiming, self.Incarnation, Events{
		Send:      node.send,
		Show:      func(view *View) { node.view.Store(view) },
		PlanAhead: func(peer Member, version int64) { node.onPlan(peer, version) },
		Differ:    func(peer Member) { go node.exchange(peer.Address) },
	})
	node.table.Settle()
	return node
}

// SetSeeds takes the addresses of a changed settings file.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// View is the newest view of the members, which is never changed; it may be read from any goroutine.
func (n *Node) View() *View { return n.view.Load() }

func (n *Node) send(address string, datagram peerapi.Datagram) {
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

// UntilMoved gives a span that ends early if a key is heard to have another owner than the view says.
func UntilMoved(life span.Span, view *View) (span.Span, func()) {
	life, cancel := span.Cancellable(life)
	go func() {
		select {
		case <-view.Moved:
			cancel()
		case <-life.Done():
		}
	}()
	return life, cancel
}

// Run probes, joins and listens until the span ends.
func (n *Node) Run(life span.Span) error {
	go n.listen()
	go n.join(life)
	n.box.Run(life, n.clock, mailbox.Owner{Every: n.table.timing.Period / 2, Tick: n.table.Tick})
	n.packets.Close()
	return nil
}

func (n *Node) listen() {
	room := make([]byte, 16<<10)
	for {
		count, _, err := n.packets.ReadFrom(room)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var datagram peerapi.Datagram
		if err := easyjson.Unmarshal(room[:count], &datagram); err != nil || datagram.From.Name == "" {
			datagramsDropped.With("unreadable").Inc()
			n.log.V(1).Info("a datagram that can't be read was dropped", "bytes", count)
			continue
		}
		datagramsReceived.With(datagram.Kind).Inc()
		datagramBytesReceived.With(datagram.Kind).Add(count)
		if !n.box.TryPost(func() { n.table.Hear(datagram) }) {
			datagramsDropped.With("busy").Inc()
		}
	}
}

func (n *Node) join(life span.Span) {
	for round := 0; ; round++ {
		view := n.View()
		isLeaf := isLeaf(view.Self)
		if !view.SeesSteward() || isLeaf && view.IsLonely || !isLeaf && round%15 == 14 {
			for _, address := range n.contacts(view) {
				n.exchange(address)
			}
		}
		wait := time.Second
		if !n.View().SeesSteward() {
			wait = 200 * time.Millisecond
		}
		select {
		case <-life.Done():
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
	for _, address := range n.known {
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
	call, err := mailbox.Ask(n.box, span.Root(), func(answer func(peerapi.MembersCall)) { answer(n.table.Ask()) })
	if err != nil {
		return
	}
	answer, err := n.callMembers(address, &call)
	if err != nil {
		return
	}
	given, err := mailbox.Ask(n.box, span.Root(), func(tell func(*peerapi.MembersCall)) {
		tell(n.table.Take(Member{Address: address}, answer))
	})
	if err == nil && given != nil {
		n.callMembers(address, given)
	}
}

func (n *Node) callMembers(address string, call *peerapi.MembersCall) (*peerapi.MembersAnswer, error) {
	answer, err := peerapi.Call[peerapi.MembersCall, peerapi.MembersAnswer](
		n.caller, span.Root(), address, peerapi.ProcedureMembers, 800*time.Millisecond, call)
	if err != nil {
		n.log.V(1).Info("members could not be compared", "peer", address, "why", err.Error())
	}
	return answer, err
}

// Handle lets peers compare their lists with this one.
func (n *Node) Handle(mux *http.ServeMux) {
	peerapi.Serve(mux, peerapi.ProcedureMembers, func(life span.Span, call *peerapi.MembersCall) (*peerapi.MembersAnswer, error) {
		answer, err := mailbox.Ask(n.box, life, func(answer func(peerapi.MembersAnswer)) { answer(n.table.Answer(call)) })
		return &answer, err
	})
}

// Announce passes on word of a key's owner; HoldsPlan that of a plan.
func (n *Node) Announce(fact peerapi.LeaderFact) {
	n.box.Post(func() {
		if n.table.MergeOwner(fact) {
			n.table.Spread()
		}
	})
}

// HoldsPlan spreads the word that this process holds a version of the configuration.
func (n *Node) HoldsPlan(version int64) { n.box.Post(func() { n.table.HoldsPlan(version) }) }
