package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// Beliefs returns the states of all jobs and executors as this leader knows them. Operators compare them between nodes.
func (p *Pool) Beliefs() ([]wire.JobBelief, []wire.ExecutorBelief) {
	var jobs []wire.JobBelief
	var executors []wire.ExecutorBelief
	for id, job := range p.jobs {
		jobs = append(jobs, wire.JobBelief{Key: p.key, ID: id, State: string(job.shownState())})
	}
	for id, executor := range p.executors {
		executors = append(executors, wire.ExecutorBelief{Key: p.key, Executor: id, State: executor.shownState(), Running: len(executor.runs)})
	}
	return jobs, executors
}

// ZoneLoads returns the number of executors and runs in each zone, sorted by zone name.
func (p *Pool) ZoneLoads() []wire.ZoneLoad {
	loads := map[string]*wire.ZoneLoad{}
	for _, executor := range p.executors {
		load := loads[executor.domain]
		if load == nil {
			load = &wire.ZoneLoad{Key: p.key, Zone: executor.domain}
			loads[executor.domain] = load
		}
		load.Executors++
		load.Runs += len(executor.runs)
	}
	sorted := make([]wire.ZoneLoad, 0, len(loads))
	for _, zone := range slices.Sorted(maps.Keys(loads)) {
		sorted = append(sorted, *loads[zone])
	}
	return sorted
}

// JobsOn returns the sorted IDs of the jobs that have runs on the executors of a machine, as this leader knows them.
func (p *Pool) JobsOn(machine string) []string {
	jobIDs := map[string]bool{}
	for _, executor := range p.executors {
		if executor.proxy == machine {
			for _, run := range executor.runs {
				jobIDs[run.task.job().id] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(jobIDs))
}

// JobsOf reads the states of the jobs from the records of a replica of the pool. A job without a final state is open.
func JobsOf(key string, pairs []wire.Op) []wire.JobBelief {
	states := map[string]string{}
	for _, pair := range pairs {
		kind, id, _ := strings.Cut(pair.Name, "/")
		var record stateRecord
		switch {
		case kind == "j" && states[id] == "":
			states[id] = "open"
		case kind == "s" && easyjson.Unmarshal(pair.Value, &record) == nil:
			states[id] = record.State
		}
	}
	var jobs []wire.JobBelief
	for _, id := range slices.Sorted(maps.Keys(states)) {
		jobs = append(jobs, wire.JobBelief{Key: key, ID: id, State: states[id]})
	}
	return jobs
}
