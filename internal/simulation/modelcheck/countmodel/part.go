package countmodel

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// modelPart is a partition of the count: its key and its current leader.
type modelPart struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	// version is the newest version of the configuration that the partition has received.
	version int
	// part is nil while there is no leader.
	part *tenantcount.Part
	// lastCallAt is the time of each asker's last call, and highestCall its highest call number. Only injected faults use them.
	lastCallAt  map[string]time.Duration
	highestCall map[string]uint64
}

func newModelPart(cluster *simCluster, number int) *modelPart {
	return &modelPart{cluster: cluster, number: number, key: simkey.New(cluster.queue, cluster.coverage), lastCallAt: map[string]time.Duration{}, highestCall: map[string]uint64{}}
}

// open creates a leader from the committed records.
func (p *modelPart) open() {
	pairs := p.key.Pairs("")
	if p.cluster.fault == faultGrantsForgotten {
		pairs = nil
	}
	part, err := tenantcount.NewPart(pairs, p.cluster.queue.Now())
	if err != nil {
		p.cluster.reportViolation("RECORD", "%v", err)
		return
	}
	p.part = part
}

// endLeadership kills the leader. The next one opens after 100 to 1500 ms.
func (p *modelPart) endLeadership() {
	if p.part == nil {
		return
	}
	p.part = nil
	p.key.EndEpoch()
	p.cluster.queue.After(p.cluster.drawDuration(100, 1500), p.open)
}

func (p *modelPart) limits(tenant string) (placement.Resources, bool) {
	return p.cluster.limitOf(p.version, tenant), true
}

// handleCall decides on a call and answers once the decision is committed. A stale call, or one that comes while there is no leader, gets
// no answer.
func (p *modelPart) handleCall(call *wire.GrantCall, answer func(wire.GrantAnswer)) {
	if p.part == nil {
		return
	}
	p.freeGrantsOfSilentAskers()
	received := *call
	if p.cluster.fault == faultLateCall && call.Number < p.highestCall[call.Asker] {
		received.Number = p.highestCall[call.Asker] + 1
	}
	p.highestCall[call.Asker], p.lastCallAt[call.Asker] = max(p.highestCall[call.Asker], received.Number), p.cluster.queue.Now()
	given, ops, err := p.part.HandleCall(&received, p.limits, p.cluster.queue.Now())
	if errors.Is(err, tenantcount.ErrStale) {
		p.cluster.coverage["call_stale"]++
		return
	}
	if p.cluster.fault == faultDemandAssumed && len(call.Tenants) == 0 {
		given.Tenants = slices.DeleteFunc(given.Tenants, func(grant wire.TenantGrant) bool { return grant.Target.CPU >= grant.Granted.CPU })
	}
	given.Version, given.Number = int64(p.version), call.Number
	for _, grant := range given.Tenants {
		if grant.Turn != 0 {
			p.cluster.coverage["turn"]++
		}
	}
	p.cluster.tracef("part %d answers %s call %d: %+v", p.number, call.Asker, call.Number, given.Tenants)
	if len(ops) == 0 || p.cluster.fault == faultAnswerBeforeCommit {
		if len(ops) > 0 {
			p.key.Propose(ops, func(error) {})
		}
		answer(given)
		return
	}
	p.cluster.coverage["grant_changed"]++
	p.key.Propose(ops, func(error) { answer(given) })
}

// freeGrantsAfter is how long an asker may be silent before the injected fault frees its grants.
const freeGrantsAfter = 1500 * time.Millisecond

// freeGrantsOfSilentAskers implements the injected fault faultTimeoutFrees, which frees the grants of silent askers.
func (p *modelPart) freeGrantsOfSilentAskers() {
	if p.cluster.fault != faultTimeoutFrees {
		return
	}
	for asker, at := range p.lastCallAt {
		if p.cluster.queue.Now()-at < freeGrantsAfter {
			continue
		}
		for name := range p.key.Records {
			if len(name) > len(asker) && name[len(name)-len(asker):] == asker {
				delete(p.key.Records, name)
			}
		}
		delete(p.lastCallAt, asker)
		p.open()
	}
}
