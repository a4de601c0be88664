package controlmodel

import (
	"bytes"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/replication"
)

// The names of the configuration leader's pairs.
const (
	recordConfiguration = "fact"
	confirmedPrefix     = "confirmed/"
)

// stateMachine is the configuration leader of a machine, with the oracles looking on.
type stateMachine struct{ node *simNode }

// Open takes the configuration over under a new leadership.
func (m *stateMachine) Open(leadership *replication.Leadership, pairs []wire.Op) error {
	n := m.node
	n.leadership = leadership
	n.cluster.open++
	n.cluster.cover("leader opened")
	n.cluster.tell("%s leads epoch %d", n.name, leadership.Epoch())
	n.cluster.announce(n, leadership.Epoch())
	n.cluster.checkOpened(n, pairs)
	var wrapped configleader.Leadership = leadership
	if n.cluster.isBulk {
		wrapped = &bulkLeadership{Leadership: wrapped, cluster: n.cluster, state: bulkOf(pairs)}
	}
	return n.config.Open(n.cluster.fault.wrapLeadership(n, wrapped), pairs)
}

// Close gives the configuration up.
func (m *stateMachine) Close() {
	m.node.closed()
	m.node.config.Close()
}

func (n *simNode) closed() {
	if n.leadership != nil {
		n.leadership = nil
		n.cluster.open--
	}
}

// announce lets the others hear of a leader, as their membership does.
func (w *simCluster) announce(leader *simNode, epoch uint64) {
	for _, other := range w.nodes {
		w.after(time.Duration(w.draw.IntN(200))*time.Millisecond, func() {
			if other.isUp && w.isOpen(leader, other) && epoch > other.hint.epoch {
				other.hint = leaderHint{epoch, leader, w.now}
			}
		})
	}
}

// hearsay brings a machine the newest leader that any machine it reaches has known for a while.
func (n *simNode) hearsay() {
	for _, other := range n.cluster.nodes {
		if other.isUp && !other.isFrozen && other.hint.epoch > n.hint.epoch && n.cluster.now-other.hint.at >= gossipDelay &&
			n.cluster.isOpen(n, other) && n.cluster.isOpen(other, n) {
			n.hint = leaderHint{other.hint.epoch, other.hint.node, n.cluster.now}
		}
	}
}

// leader is the machine that holds a lease, if there is one.
func (w *simCluster) leader() *simNode {
	for _, node := range w.nodes {
		if node.isUp && !node.isFrozen && node.leadership != nil && node.leadership.HasLease() {
			return node
		}
	}
	return nil
}

// obey serves a call of the operator's path, as the ring of control keys does.
func (n *simNode) obey(ask *wire.ClientCall, answer func(wire.ClientAnswer)) {
	response := func(value wire.ClientAnswer) {
		if change := n.cluster.fault.answer; change != nil {
			value = change(n, ask, value)
		}
		if value.NotLeader && n.hint.node != nil && n.hint.node != n {
			value.Leader = n.hint.node.name
		}
		answer(value)
	}
	switch {
	case !n.config.IsOpen():
		response(wire.ClientAnswer{NotLeader: true})
	case ask.Verb == verbReplace:
		n.config.Replace(ask, response)
	default:
		n.config.Retrieve(response)
	}
}

// configurationOf reads the configuration from the pairs of its key; it is nil where there is none.
func configurationOf(pairs []wire.Op) *wire.Configuration {
	for _, pair := range pairs {
		if pair.Name == recordConfiguration {
			committed := &wire.Configuration{}
			if err := easyjson.Unmarshal(bytes.Clone(pair.Value), committed); err == nil {
				return committed
			}
		}
	}
	return nil
}

// confirmedOf are the changes that a key's pairs name as confirmed.
func confirmedOf(pairs []wire.Op) []wire.ConfirmedVersion {
	var all []wire.ConfirmedVersion
	for _, pair := range pairs {
		var record wire.ConfirmedVersion
		if strings.HasPrefix(pair.Name, confirmedPrefix) && easyjson.Unmarshal(pair.Value, &record) == nil {
			all = append(all, record)
		}
	}
	return all
}

// headOf is what a disk holds of the key.
func headOf(d *disk) wire.LogPosition { return d.model.Heads[configleader.Key].Last }
