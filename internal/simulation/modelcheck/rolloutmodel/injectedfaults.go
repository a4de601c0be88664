package rolloutmodel

import (
	"math"
	"slices"
	"strings"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/simulation/modelcheck"
)

// Names of the injected faults.
const (
	faultPromiseForgotten      = "promise-forgotten"
	faultTransferForgotten     = "transfer-forgotten"
	faultTransferAnsweredEarly = "transfer-answered-early"
	faultPromiseOfNoVersion    = "promise-of-no-version"
	faultShareIgnored          = "share-not-heeded"
	faultRollbackIgnored       = "turned-back-not-heeded"
	faultOperatorOverwritten   = "operator-overwritten"
	faultRenounceSkipped       = "renounce-skipped"
	faultRemovedQueueForgotten = "removed-queue-forgotten"
	faultMovesIgnored          = "moves-not-heeded"
)

var injectedFaults = []modelcheck.InjectedFault{
	{Name: faultPromiseForgotten, About: "A pool promises not to take a job without keeping the promise on disk."},
	{Name: faultTransferForgotten, About: "A pool transfers a job to another one without keeping on disk that it starts no more runs of it."},
	{Name: faultTransferAnsweredEarly, About: "A pool acknowledges a transferred job before that is committed."},
	{Name: faultPromiseOfNoVersion, About: "A pool accepts a job that it has promised not to take, whichever configuration the gate has."},
	{Name: faultShareIgnored, About: "A gate submits all jobs to the new version once a rollout has begun."},
	{Name: faultRollbackIgnored, About: "Pools do not return the jobs of a version that was rolled back."},
	{Name: faultOperatorOverwritten, About: "The controller changes the configuration in force, whichever one its decision was based on."},
	{Name: faultRenounceSkipped, About: "A gate submits a job to a pool without having the others renounce it."},
	{Name: faultRemovedQueueForgotten, About: "A queue that was removed and comes back has no former services."},
	{Name: faultMovesIgnored, About: "Pools keep the jobs of queues that lead to another service."},
}

// changeCommit returns the operations of a pool's commit without those that an injected fault keeps from the disk.
func (c *simCluster) changeCommit(ops []wire.Op) []wire.Op {
	prefix := map[string]string{faultPromiseForgotten: "m/", faultTransferForgotten: "v/"}[c.fault]
	if prefix == "" {
		return ops
	}
	return slices.DeleteFunc(slices.Clone(ops), func(op wire.Op) bool { return strings.HasPrefix(op.Name, prefix) })
}

// changeCall applies an injected fault to a call that has arrived at a pool.
func (c *simCluster) changeCall(_ *modelPool, call *wire.ClientCall) {
	if c.fault == faultPromiseOfNoVersion && call.Verb == wire.VerbSubmit {
		call.Version = math.MaxInt64
	}
}

// changeDecision applies an injected fault to the decision of a gate.
func (c *simCluster) changeDecision(gate *modelGate, call *wire.ClientCall) {
	if rollout := rolloutOf(gate.snapshot.Matcher.Configuration()); c.fault == faultShareIgnored && rollout != nil && rollout.Share() > 0 {
		call.Key = wire.PoolKey(rollout.To)
	}
}

// rebase turns a change of the controller into a change of the configuration in force, whichever configuration the controller has
// read. It returns the version of the configuration in force and the changed body, or 0 and the same body if that fails.
func (m *modelControl) rebase(body []byte) (base int64, changed []byte) {
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
