package rolloutmodel

import (
	"math"
	"slices"
	"strings"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/modelcheck"
)

// The injected faults.
const (
	faultPromiseForgotten      = "promise-forgotten"
	faultTransferForgotten     = "transfer-forgotten"
	faultTransferAnsweredEarly = "transfer-answered-early"
	faultPromiseOfNoVersion    = "promise-of-no-version"
	faultShareIgnored          = "share-not-heeded"
	faultTurnedBackIgnored     = "turned-back-not-heeded"
	faultOperatorOverwritten   = "operator-overwritten"
	faultRenounceSkipped       = "renounce-skipped"
)

var injectedFaults = []modelcheck.InjectedFault{
	{Name: faultPromiseForgotten, About: "A pool promises not to take a job without keeping the promise on disk."},
	{Name: faultTransferForgotten, About: "A pool sends a job to another one without keeping on disk that it starts nothing of it any more."},
	{Name: faultTransferAnsweredEarly, About: "A pool says that it has taken a transferred job before that is committed."},
	{Name: faultPromiseOfNoVersion, About: "A pool takes a job that it has promised not to take, whatever configuration the gate knows."},
	{Name: faultShareIgnored, About: "A gate gives all jobs to the new version once a rollout has begun."},
	{Name: faultTurnedBackIgnored, About: "Pools do not return the jobs of a version that was turned back."},
	{Name: faultOperatorOverwritten, About: "The controller makes its changes on whatever configuration is in force."},
	{Name: faultRenounceSkipped, About: "A gate gives a job to a pool without asking the others to renounce it."},
}

// withoutForgotten leaves out the records that an injected fault keeps from the disk.
func (c *simCluster) withoutForgotten(ops []wire.Op) []wire.Op {
	prefix := map[string]string{faultPromiseForgotten: "m/", faultTransferForgotten: "v/"}[c.fault]
	if prefix == "" {
		return ops
	}
	return slices.DeleteFunc(slices.Clone(ops), func(op wire.Op) bool { return strings.HasPrefix(op.Name, prefix) })
}

// disturb changes a call on its way into a pool.
func (c *simCluster) disturb(_ *modelPool, call *wire.ClientCall) {
	if c.fault == faultPromiseOfNoVersion && call.Verb == wire.VerbSubmit {
		call.Version = math.MaxInt64
	}
}

// disturbDecision changes what a gate decides.
func (c *simCluster) disturbDecision(gate *modelGate, call *wire.ClientCall) {
	if rollout := gate.snapshot.Matcher.Rollout(queueName); c.fault == faultShareIgnored && rollout != nil && rollout.Share() > 0 {
		call.Key = wire.PoolKey(rollout.To)
	}
}

// onTop makes a change of the controller one of the configuration in force, whatever it was decided on.
func (m *modelControl) onTop(body []byte) (base int64, changed []byte) {
	current, _ := m.current()
	_, err := configuration.Read(body)
	if current == nil || err != nil {
		return 0, body
	}
	changed, err = configuration.Amend(body).Body()
	if err != nil {
		return 0, body
	}
	return current.Version, changed
}
