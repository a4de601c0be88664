package scheduler

import (
	"net/http"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// renounced are the IDs that the pool has promised never to take a job under, in the order of the promises. A queue that
// moved to another service asks its former pool for the promise before it takes a job, as a submission may still be on its
// way to the former one. Promises are kept as long as ended jobs, by when no submission is under way any more.
type renounced struct {
	ids   map[string]bool
	order []renouncedID
}

type renouncedID struct {
	id   string
	atMs int64
}

func newRenounced() renounced { return renounced{ids: map[string]bool{}} }

func (r *renounced) add(id string, atMs int64) {
	if !r.ids[id] {
		r.ids[id] = true
		r.order = append(r.order, renouncedID{id, atMs})
	}
}

// Renounce answers with the state of a job if the pool has it, and otherwise with 410 once it is committed that the pool
// will not take it any more.
func (p *Pool) Renounce(call *wire.ClientCall, answer answerClient) {
	if p.jobs[call.ID] != nil {
		p.State(call, answer)
		return
	}
	if !p.renounced.ids[call.ID] {
		p.renounced.add(call.ID, p.leadership.WallMs())
		p.putRecord(prefixRenounced+call.ID, renouncedRecord{AtMs: p.leadership.WallMs()})
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
	p.renounced.add(id, record.AtMs)
	return err
}

func (p *Pool) forgetRenounced(nowMs int64) {
	r := &p.renounced
	for len(r.order) > 0 && nowMs-r.order[0].atMs > p.timing.KeepEnded.Milliseconds() {
		delete(r.ids, r.order[0].id)
		p.dropRecord(prefixRenounced + r.order[0].id)
		r.order = r.order[1:]
	}
}
