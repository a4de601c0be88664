package scheduler

import (
	"time"

	"github.com/mailru/easyjson"
)

// replacedAfter is how long a known executor must have been silent before its replacement ends it: longer than an exchange
// may be on its way, so that a late report takes no newer executor for the older one.
const replacedAfter = 2500 * time.Millisecond

// recordIdleTime is how long the record of an executor without runs is kept, so that it is not written at every start.
const recordIdleTime = 30 * time.Second

// recordExecutor keeps the machine of an executor that has runs, so that a later leader knows its replacement there.
func (p *Pool) recordExecutor(executor *executorState) {
	if !executor.isRecorded {
		executor.isRecorded = true
		p.putRecord(prefixExecutor+executor.id, executorRecord{Proxy: executor.proxy})
	}
}

// loadExecutor reads the record of an executor; that of an executor without runs is dropped.
func (p *Pool) loadExecutor(id string, value []byte) error {
	executor := p.executors[id]
	if executor == nil {
		p.dropRecord(prefixExecutor + id)
		return nil
	}
	var record executorRecord
	if err := easyjson.Unmarshal(value, &record); err != nil {
		return err
	}
	executor.proxy, executor.isRecorded = record.Proxy, true
	return nil
}

// forgetExecutor removes an executor from all tables, and its record.
func (p *Pool) forgetExecutor(executor *executorState) {
	p.removeExecutor(executor)
	if p.newestOnMachine[executor.proxy] == executor {
		delete(p.newestOnMachine, executor.proxy)
	}
	if executor.isRecorded {
		p.dropRecord(prefixExecutor + executor.id)
	}
}

// isReplaced tells whether another executor has answered under this epoch's fence from the same machine, which holds one
// executor at a time, while this one was silent.
func (p *Pool) isReplaced(executor *executorState, now time.Duration) bool {
	next := p.newestOnMachine[executor.proxy]
	if executor.proxy == "" || next == nil || next == executor {
		return false
	}
	return !executor.isKnown || next.contactAt > executor.contactAt && now-executor.contactAt > replacedAfter
}

// tidyRecord drops the record of an executor that has run nothing for long.
func (p *Pool) tidyRecord(executor *executorState, now time.Duration) {
	if executor.isRecorded && len(executor.runs) == 0 && now-executor.idleSince > recordIdleTime {
		executor.isRecorded = false
		p.dropRecord(prefixExecutor + executor.id)
	}
}
