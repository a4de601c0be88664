package scheduler

import (
	"time"

	"github.com/mailru/easyjson"
)

// outlivedAfter is how long a known life must have been silent before its successor ends it: longer than an exchange
// may be on its way, so that word which comes late takes no younger life for the older one.
const outlivedAfter = 2500 * time.Millisecond

// idleFor is how long the record of an executor without runs is kept, so that it is not written at every start.
const idleFor = 30 * time.Second

// recordExecutor keeps the machine of a life that has runs, so that a later owner knows its successor there.
func (p *Pool) recordExecutor(home *life) {
	if !home.isRecorded {
		home.isRecorded = true
		p.put("e/"+home.id, executorRecord{Proxy: home.proxy})
	}
}

func (p *Pool) loadExecutor(id string, value []byte) error {
	home := p.lives[id]
	if home == nil {
		p.drop("e/" + id)
		return nil
	}
	var record executorRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	home.proxy, home.isRecorded = record.Proxy, true
	return nil
}

func (p *Pool) forgetLife(home *life) {
	p.dropLife(home)
	if p.newest[home.proxy] == home {
		delete(p.newest, home.proxy)
	}
	if home.isRecorded {
		p.drop("e/" + home.id)
	}
}

// isOutlived tells whether another life has answered under this epoch's fence from the same machine, which holds one
// executor at a time, while this one has not been heard.
func (p *Pool) isOutlived(home *life, now time.Duration) bool {
	next := p.newest[home.proxy]
	if home.proxy == "" || next == nil || next == home {
		return false
	}
	return !home.isKnown || next.contactAt > home.contactAt && now-home.contactAt > outlivedAfter
}

// tidyLife drops the record of an executor that has run nothing for long.
func (p *Pool) tidyLife(home *life, now time.Duration) {
	if home.isRecorded && len(home.runs) == 0 && now-home.idleAt > idleFor {
		home.isRecorded = false
		p.drop("e/" + home.id)
	}
}
