package scheduler

import (
	"time"

	"github.com/mailru/easyjson"
)

// replacedAfter is how long a known executor must be silent before it is removed because another executor has replaced it on its machine.
// It is longer than an exchange may be in flight, so that a late report of the old executor can't remove the new one.
const replacedAfter = 2500 * time.Millisecond

// recordIdleTime is how long the record of an executor without runs is kept, so that the record isn't written at every start of a run.
const recordIdleTime = 30 * time.Second

// recordExecutor stores the machine of an executor that has runs, so that a later leader can recognize its replacement on that machine.
func (p *Pool) recordExecutor(executor *executorState) {
	if !executor.isRecorded {
		executor.isRecorded = true
		p.putRecord(prefixExecutor+executor.id, executorRecord{Proxy: executor.proxy})
	}
}

// loadExecutor loads the record of an executor, and drops it if the executor has no runs.
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

// forgetExecutor removes an executor from all tables and drops its record.
func (p *Pool) forgetExecutor(executor *executorState) {
	p.removeExecutor(executor)
	if p.newestOnMachine[executor.proxy] == executor {
		delete(p.newestOnMachine, executor.proxy)
	}
	if executor.isRecorded {
		p.dropRecord(prefixExecutor + executor.id)
	}
}

// isReplaced reports whether another executor on the same machine has confirmed this epoch's fence while this one was silent. A machine
// runs one executor at a time.
func (p *Pool) isReplaced(executor *executorState, now time.Duration) bool {
	newest := p.newestOnMachine[executor.proxy]
	if executor.proxy == "" || newest == nil || newest == executor {
		return false
	}
	return !executor.isKnown || newest.contactAt > executor.contactAt && now-executor.contactAt > replacedAfter
}

// dropIdleRecord drops the record of an executor that has had no runs for longer than recordIdleTime.
func (p *Pool) dropIdleRecord(executor *executorState, now time.Duration) {
	if executor.isRecorded && len(executor.runs) == 0 && now-executor.idleSince > recordIdleTime {
		executor.isRecorded = false
		p.dropRecord(prefixExecutor + executor.id)
	}
}
