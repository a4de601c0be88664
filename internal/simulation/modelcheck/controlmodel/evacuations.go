package controlmodel

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/leaderclient"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/controlapi"
	"gannetline/internal/platform/response"
	"gannetline/internal/simulation/modelcheck"
)

const (
	evacuationStream = 47
	// meanEvacuationPauseMs is the mean time between two calls, each of which starts or ends the evacuation of one of zoneCount zones.
	meanEvacuationPauseMs = 900
	zoneCount             = 2
	// evacuationAttempts is how often a call is made at most until it succeeds.
	evacuationAttempts = 4
	// evacuationsPerTen of ten schedules have evacuations.
	evacuationsPerTen = 3
	// recordEvacuations is the name of the configuration leader's record of evacuations.
	recordEvacuations = "evacuations"
)

// evacuationHistory is what the oracles have recorded of evacuations.
type evacuationHistory struct {
	// byNumber is the published list of evacuations under each number, as JSON.
	byNumber map[int64]string
	// published is the highest number that a leader has published. acknowledged is the value that published had when a call was last
	// acknowledged.
	published, acknowledged int64
}

// addEvacuations draws, for some schedules, calls that start and end evacuations of zones. It has a random stream of its own, so that it
// does not change what else a seed draws.
func (d *drawing) addEvacuations(seed uint64) {
	random := rand.New(rand.NewPCG(seed, evacuationStream))
	if random.IntN(10) >= evacuationsPerTen {
		return
	}
	for at := 1000 + random.IntN(meanEvacuationPauseMs); at < d.endMs; at += 1 + random.IntN(2*meanEvacuationPauseMs) {
		d.add(modelcheck.Step{AtMs: at, Kind: stepEvacuate, Node: random.IntN(d.nodes), Peer: random.IntN(zoneCount), Value: random.IntN(2)})
	}
}

// sendEvacuation starts the evacuation of the zone Peer, or ends it if Value is 0. The call is retried through other machines until it
// succeeds or the attempts are used up.
func (sim *simCluster) sendEvacuation(step modelcheck.Step, via, attempts int) {
	call := &wire.ClientCall{Key: configleader.Key, Verb: wire.VerbEndEvacuation, ID: fmt.Sprintf("zone-%d", step.Peer)}
	if step.Value > 0 {
		call.Verb = wire.VerbEvacuate
	}
	reply := func(outcome leaderclient.Outcome) response.Reply { return controlapi.EvacuationReply(call, outcome) }
	sim.callThrough(via, request{call: call, reply: reply}, func(answer *response.Reply) {
		switch {
		case answer != nil && answer.Status == http.StatusOK:
			sim.countCoverage("evacuation acknowledged")
			sim.oracleState.evacuations.acknowledged = max(sim.oracleState.evacuations.acknowledged, sim.oracleState.evacuations.published)
			sim.fireTriggers()
		case attempts > 1:
			sim.after(100*time.Millisecond, func() { sim.sendEvacuation(step, via+1, attempts-1) })
		}
	})
}

// recordPublished is an oracle: all lists that leaders publish under the same number are equal.
func (sim *simCluster) recordPublished(list *wire.Evacuations) {
	text, err := easyjson.Marshal(list)
	if err != nil {
		panic(err)
	}
	known := &sim.oracleState.evacuations
	if other, exists := known.byNumber[list.Number]; exists && other != string(text) {
		sim.reportViolation("one list under a number", "evacuations %d are %s and %s", list.Number, other, text)
	}
	known.byNumber[list.Number] = string(text)
	known.published = max(known.published, list.Number)
}

// checkEvacuations is an oracle: the evacuations of a new leader can be decoded, and if it has a lease they are not older than the last
// acknowledged ones.
func (sim *simCluster) checkEvacuations(n *simNode, pairs []wire.Op) {
	committed := &wire.Evacuations{}
	if index := slices.IndexFunc(pairs, func(pair wire.Op) bool { return pair.Name == recordEvacuations }); index >= 0 {
		if err := easyjson.Unmarshal(slices.Clone(pairs[index].Value), committed); err != nil {
			sim.reportViolation("acknowledged is kept", "%s can't read the evacuations: %v", n.name, err)
		}
	}
	if n.leadership.HasLease() && committed.Number < sim.oracleState.evacuations.acknowledged {
		sim.reportViolation("acknowledged is kept", "%s leads epoch %d with evacuations %d, %d were acknowledged", n.name, n.leadership.Epoch(), committed.Number,
			sim.oracleState.evacuations.acknowledged)
	}
}
