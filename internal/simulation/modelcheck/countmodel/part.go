package countmodel

import (
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/modelcheck/simkey"
)

// modelPart is a part of the count: its key and its present leader.
type modelPart struct {
	cluster *simCluster
	number  int
	key     *simkey.Key
	version int
	// part is nil while nobody leads.
	part *tenantcount.Part
	// lastCallAt is when each asker called last, and newest its highest number of a call.
	lastCallAt map[string]time.Duration
	newest     map[string]uint64
}

func newModelPart(cluster *simCluster, number int) *modelPart {
	return &modelPart{cluster: cluster, number: number, key: simkey.New(cluster.queue, cluster.coverage), lastCallAt: map[string]time.Duration{}, newest: map[string]uint64{}}
}

func (p *modelPart) open() {
	pairs := p.key.Pairs("")
	if p.cluster.fault == faultGrantsForgotten {
		pairs = nil
	}
	part, err := tenantcount.NewPart(pairs, p.cluster.queue.Now())
	if err != nil {
		p.cluster.violate("RECORD", "%v", err)
		return
	}
	p.part = part
}

// kill ends the leadership; another leader follows after a while.
func (p *modelPart) kill() {
	if p.part == nil {
		return
	}
	p.part = nil
	p.key.EndEpoch()
	p.cluster.queue.After(p.cluster.between(100, 1500), p.open)
}

func (p *modelPart) limits(tenant string) (placement.Resources, bool) {
	return p.cluster.limitOf(p.version, tenant), true
}

// take decides on a call and answers once that is committed.
func (p *modelPart) take(call *wire.GrantCall, answer func(wire.GrantAnswer)) {
	if p.part == nil {
		return
	}
	p.freeUnresponsive()
	received := *call
	if p.cluster.fault == faultLateCall && call.Number < p.newest[call.Asker] {
		received.Number = p.newest[call.Asker] + 1
	}
	p.newest[call.Asker], p.lastCallAt[call.Asker] = max(p.newest[call.Asker], received.Number), p.cluster.queue.Now()
	given, ops, err := p.part.HandleCall(&received, p.limits, p.cluster.queue.Now())
	if errors.Is(err, tenantcount.ErrStale) {
		p.cluster.coverage["call_stale"]++
		return
	}
	given.Version, given.Number = int64(p.version), call.Number
	p.cluster.note("part %d answers %s call %d: %+v", p.number, call.Asker, call.Number, given.Tenants)
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

// freeAfter is how long an asker may be silent until the injected fault frees its grants.
const freeAfter = 1500 * time.Millisecond

// freeUnresponsive is the injected fault that frees what silent askers hold.
func (p *modelPart) freeUnresponsive() {
	if p.cluster.fault != faultTimeoutFrees {
		return
	}
	for asker, at := range p.lastCallAt {
		if p.cluster.queue.Now()-at < freeAfter {
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
