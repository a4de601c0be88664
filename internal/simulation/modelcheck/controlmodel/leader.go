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
	factName        = "fact"
	confirmedPrefix = "confirmed/"
)

// stateMachine is the configuration leader of a machine, with the oracles looking on.
type stateMachine struct{ node *node }

// Open takes the configuration over under a new leadership.
func (m *stateMachine) Open(tenure *replication.Leadership, pairs []wire.Op) error {
	n := m.node
	n.tenure = tenure
	n.world.open++
	n.world.cover("leader opened")
	n.world.tell("%s leads epoch %d", n.name, tenure.Epoch())
	n.world.announce(n, tenure.Epoch())
	n.world.checkOpened(n, pairs)
	var held configleader.Leadership = tenure
	if n.world.isBulk {
		held = &bulkTenure{Leadership: tenure, world: n.world, held: bulkOf(pairs)}
	}
	return n.config.Open(n.world.plant.wrapTenure(n, held), pairs)
}

// Close gives the configuration up.
func (m *stateMachine) Close() {
	m.node.closed()
	m.node.config.Close()
}

func (n *node) closed() {
	if n.tenure != nil {
		n.tenure = nil
		n.world.open--
	}
}

// announce lets the others hear of a leader, as their membership does.
func (w *world) announce(leader *node, epoch uint64) {
	for _, other := range w.nodes {
		w.after(time.Duration(w.draw.IntN(200))*time.Millisecond, func() {
			if other.isUp && w.isOpen(leader, other) && epoch > other.heard.epoch {
				other.heard = leaderHint{epoch, leader, w.now}
			}
		})
	}
}

// hearsay brings a machine the newest leader that any machine it reaches has known for a while.
func (n *node) hearsay() {
	for _, other := range n.world.nodes {
		if other.isUp && !other.isFrozen && other.heard.epoch > n.heard.epoch && n.world.now-other.heard.at >= gossipDelay &&
			n.world.isOpen(n, other) && n.world.isOpen(other, n) {
			n.heard = leaderHint{other.heard.epoch, other.heard.node, n.world.now}
		}
	}
}

// leader is the machine that holds a lease, if there is one.
func (w *world) leader() *node {
	for _, one := range w.nodes {
		if one.isUp && !one.isFrozen && one.tenure != nil && one.tenure.HasLease() {
			return one
		}
	}
	return nil
}

// obey serves a call of the operator's path, as the ring of control keys does.
func (n *node) obey(ask *wire.ClientCall, answer func(wire.ClientAnswer)) {
	told := func(value wire.ClientAnswer) {
		if change := n.world.plant.answer; change != nil {
			value = change(n, ask, value)
		}
		if value.NotLeader && n.heard.node != nil && n.heard.node != n {
			value.Leader = n.heard.node.name
		}
		answer(value)
	}
	switch {
	case !n.config.IsOpen():
		told(wire.ClientAnswer{NotLeader: true})
	case ask.Verb == verbReplace:
		n.config.Replace(ask, told)
	default:
		n.config.Retrieve(told)
	}
}

func factOf(pairs []wire.Op) *wire.Configuration {
	for _, pair := range pairs {
		if pair.Name == factName {
			fact := &wire.Configuration{}
			if err := easyjson.Unmarshal(bytes.Clone(pair.Value), fact); err == nil {
				return fact
			}
		}
	}
	return nil
}

// confirmedOf are the changes that a key's pairs name as confirmed.
func confirmedOf(pairs []wire.Op) []wire.ConfirmedVersion {
	var all []wire.ConfirmedVersion
	for _, pair := range pairs {
		var one wire.ConfirmedVersion
		if strings.HasPrefix(pair.Name, confirmedPrefix) && easyjson.Unmarshal(pair.Value, &one) == nil {
			all = append(all, one)
		}
	}
	return all
}

// headOf is what a disk holds of the key.
func headOf(d *disk) wire.LogPosition { return d.shelf.Heads[configleader.Key].Last }
