package scheduler

import (
	"net/http"
	"slices"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// renounced are the IDs that the pool has promised not to take a job under, in the order of the promises. Before a queue's jobs go to one
// service, all others that they may have gone to are asked for the promise, as a submission may still be on its way there. Promises are
// kept as long as ended jobs, by when no submission is under way any more.
//
// A promise holds for all submissions of gates that know no newer configuration than the one who asked for it. One that knows a newer
// configuration has itself asked all other pools, so that none of them has the job or will take it by an older configuration: a queue that
// comes back takes its jobs again.
type renounced struct {
	// versions are the newest versions of the configuration for which an ID was renounced.
	versions map[string]int64
	order    []renouncedID
}

type renouncedID struct {
	id   string
	atMs int64
}

func newRenounced() renounced { return renounced{versions: map[string]int64{}} }

// add keeps a promise; it is false if it was kept already.
func (r *renounced) add(id string, version, atMs int64) bool {
	known, isKnown := r.versions[id]
	if isKnown && known >= version {
		return false
	}
	r.versions[id] = version
	if !isKnown {
		r.order = append(r.order, renouncedID{id, atMs})
	}
	return true
}

// binds tells whether a promise forbids a submission by a gate that knows a version of the configuration.
func (r *renounced) binds(id string, version int64) bool {
	known, isKnown := r.versions[id]
	return isKnown && version <= known
}

// release forgets the promise about a job that the pool takes after all.
func (p *Pool) releaseRenounced(id string) {
	if _, isKnown := p.renounced.versions[id]; !isKnown {
		return
	}
	delete(p.renounced.versions, id)
	p.renounced.order = slices.DeleteFunc(p.renounced.order, func(renounced renouncedID) bool { return renounced.id == id })
	p.dropRecord(prefixRenounced + id)
}

// Renounce answers with the state of a job if the pool has it, and otherwise with 410 once it is committed that the pool
// will not take it any more.
func (p *Pool) Renounce(call *wire.ClientCall, answer answerClient) {
	if p.jobs[call.ID] != nil {
		p.State(call, answer)
		return
	}
	if p.renounced.add(call.ID, call.Version, p.leadership.WallMs()) {
		p.putRecord(prefixRenounced+call.ID, renouncedRecord{AtMs: p.leadership.WallMs(), Version: call.Version})
	}
	p.afterCommit(func(err error) {
		if err != nil {
			answer(notLeaderAnswer())
			return
		}
		answer(wire.ClientAnswer{Status: http.StatusGone, Reason: "there is no such job, and won't be"})
	})
}

// loadRenounced reads the record of a renounced job. If it can't be read, the time of reading stands for the time it
// was renounced, so that the record is kept for the full retention period.
func (p *Pool) loadRenounced(id string, value []byte) error {
	var record renouncedRecord
	err := easyjson.Unmarshal(value, &record)
	if err != nil {
		record.AtMs = p.clock.WallMs()
	}
	p.renounced.add(id, record.Version, record.AtMs)
	return err
}

func (p *Pool) forgetRenounced(nowMs int64) {
	r := &p.renounced
	for len(r.order) > 0 && nowMs-r.order[0].atMs > p.timing.KeepEnded.Milliseconds() {
		delete(r.versions, r.order[0].id)
		p.dropRecord(prefixRenounced + r.order[0].id)
		r.order = r.order[1:]
	}
}
