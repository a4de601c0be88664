package controlmodel

import (
	"bytes"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/replication"
	"gannetline/internal/platform/logging"
	"gannetline/internal/simulation/modelcheck"
)

// The names of the configuration leader's pairs. confirmedPrefix is the prefix of the records of confirmed changes.
const (
	recordConfiguration = "fact"
	confirmedPrefix     = "confirmed/"
)

// configurationService is the service of the model "control": the configuration, and the operators who change and read it.
type configurationService struct{ cluster *simCluster }

func (s *configurationService) key() string { return configleader.Key }

func (s *configurationService) engineOptions() []replication.Option { return nil }

func (s *configurationService) newMachine(n *simNode) serviceMachine {
	leader := configleader.New(logging.Silent(), func(committed *wire.Configuration) { s.cluster.recordInForce(digestOf(committed.Body)) },
		configleader.WithEvacuations(s.cluster.recordPublished))
	return &configurationMachine{leader, n}
}

func (s *configurationService) playStep(step modelcheck.Step) { s.cluster.playOperatorStep(step) }

func (s *configurationService) makeFinalCalls() time.Duration {
	s.cluster.operators.makeFinalReads(s.cluster)
	return operatorTimeout + time.Second
}

func (s *configurationService) checkHistory() { s.cluster.checkHistory() }

// configurationMachine is the configuration leader of a machine. When it opens, it has the oracles check the pairs.
type configurationMachine struct {
	*configleader.Leader
	node *simNode
}

// Open checks the pairs and opens the configuration under a new leadership.
func (m *configurationMachine) Open(leadership keyLeadership, pairs []wire.Op) error {
	n := m.node
	n.cluster.checkOpened(n, pairs)
	if n.cluster.isBulk {
		leadership = &bulkLeadership{keyLeadership: leadership, cluster: n.cluster, state: bulkOf(pairs)}
	}
	return m.Leader.Open(leadership, pairs)
}

// Tick does nothing, since the configuration has no timeouts.
func (m *configurationMachine) Tick() {}

func (m *configurationMachine) execute(call *wire.ClientCall, answer func(wire.ClientAnswer)) {
	switch call.Verb {
	case verbReplace:
		m.Replace(call, answer)
	case wire.VerbEvacuate:
		m.Evacuate(call, answer)
	case wire.VerbEndEvacuation:
		m.EndEvacuation(call, answer)
	default:
		m.Retrieve(answer)
	}
}

// announceLeader tells all machines within 200 ms of a new leader, as the membership does. Machines that are down or cut off from the
// leader at that time miss it.
func (sim *simCluster) announceLeader(leader *simNode, epoch uint64) {
	for _, other := range sim.nodes {
		sim.after(time.Duration(sim.random.IntN(200))*time.Millisecond, func() {
			if other.isUp && sim.isOpen(leader, other) && epoch > other.hint.epoch {
				other.hint = leaderHint{epoch, leader, sim.now}
			}
		})
	}
}

// receiveGossip updates the machine's hint to the newest leader that any reachable machine has known for at least gossipDelay.
func (n *simNode) receiveGossip() {
	for _, other := range n.cluster.nodes {
		if other.isUp && !other.isFrozen && other.hint.epoch > n.hint.epoch && n.cluster.now-other.hint.at >= gossipDelay &&
			n.cluster.isOpen(n, other) && n.cluster.isOpen(other, n) {
			n.hint = leaderHint{other.hint.epoch, other.hint.node, n.cluster.now}
		}
	}
}

// leader returns the first machine that holds a lease and whose process is neither down nor frozen, or nil.
func (sim *simCluster) leader() *simNode {
	for _, node := range sim.nodes {
		if node.isUp && !node.isFrozen && node.leadership != nil && node.leadership.HasLease() {
			return node
		}
	}
	return nil
}

// configurationOf returns the configuration among the pairs of its key, or nil if there is none that can be decoded.
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

// confirmedOf returns the records of confirmed changes among the pairs of the key.
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

// lastPositionOf returns the last log position of the key that is synced on a disk.
func lastPositionOf(d *disk) wire.LogPosition { return d.model.Heads[d.cluster.service.key()].Last }
