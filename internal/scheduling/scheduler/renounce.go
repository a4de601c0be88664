package scheduler

import (
	"net/http"
	"slices"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// renounced holds the renounced job IDs: those under which the pool has promised to refuse submissions. Before a gate submits a job to one
// service, it asks the pools of all other services that the queue's jobs may have gone to for this promise, since a submission may still
// be in flight there. Promises are kept as long as ended jobs; by then no submission is in flight any more.
//
// A promise binds submissions from gates with the same or an older configuration version than that of the gate that asked for it. A gate
// with a newer configuration has asked all other pools itself, so none of them has the job, and none will accept it from a gate with an
// older configuration. So when a queue returns to the service of a pool, the pool accepts the queue's jobs again.
type renounced struct {
	// versions maps each renounced ID to the newest configuration version of the gates that asked.
	versions map[string]int64
	// order is sorted by the time of the promise.
	order []renouncedID
}

type renouncedID struct {
	id   string
	atMs int64
}

func newRenounced() renounced { return renounced{versions: map[string]int64{}} }

// add stores a promise. It returns false if the ID was already renounced for this version or a newer one.
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

// forbids reports whether a promise forbids a submission by a gate with this configuration version.
func (r *renounced) forbids(id string, version int64) bool {
	known, isKnown := r.versions[id]
	return isKnown && version <= known
}

// releaseRenounced deletes the promise for an ID when the pool accepts a job under it after all.
func (p *Pool) releaseRenounced(id string) {
	if _, isKnown := p.renounced.versions[id]; !isKnown {
		return
	}
	delete(p.renounced.versions, id)
	p.renounced.order = slices.DeleteFunc(p.renounced.order, func(renounced renouncedID) bool { return renounced.id == id })
	p.dropRecord(prefixRenounced + id)
}

// Renounce answers with the state of a job if the pool has it. Otherwise the pool promises to refuse the job, and answers 410 once the
// promise is committed.
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

// loadRenounced reads the record of a promise. A promise whose record is unreadable counts as made now, so that it is kept for the full
// retention period.
func (p *Pool) loadRenounced(id string, value []byte) error {
	var record renouncedRecord
	err := easyjson.Unmarshal(value, &record)
	if err != nil {
		record.AtMs = p.clock.WallMs()
	}
	p.renounced.add(id, record.Version, record.AtMs)
	return err
}

// forgetRenounced deletes promises older than the retention period of ended jobs.
func (p *Pool) forgetRenounced(nowMs int64) {
	r := &p.renounced
	for len(r.order) > 0 && nowMs-r.order[0].atMs > p.timing.KeepEnded.Milliseconds() {
		delete(r.versions, r.order[0].id)
		p.dropRecord(prefixRenounced + r.order[0].id)
		r.order = r.order[1:]
	}
}
