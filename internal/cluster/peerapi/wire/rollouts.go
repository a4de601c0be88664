package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all rollouts.go

// TransferCall is the body of a VerbTransfer: a job that another pool had accepted and will never start anything of again.
type TransferCall struct {
	// From is the key of that pool.
	From string `json:"from"`
	// AcceptedMs is when the job was accepted there, in milliseconds since 1970.
	AcceptedMs int64 `json:"accepted"`
	// IsSurplus marks a job beyond those that its tenant may expect to be done.
	IsSurplus bool `json:"surplus,omitempty"`
	// CompletedOccurrences are the times of a repeated job that are over.
	CompletedOccurrences []int `json:"over,omitempty"`
	// Tasks are those that are done, or have used up attempts.
	Tasks []TransferredTask `json:"tasks,omitempty"`
	// Body is the job as its client submitted it.
	Body easyjson.RawMessage `json:"body"`
}

// TransferredTask is what has become of one task of a job.
type TransferredTask struct {
	Occurrence int  `json:"k,omitempty"`
	Step       int  `json:"s,omitempty"`
	Index      int  `json:"i,omitempty"`
	Failed     int  `json:"f,omitempty"`
	IsDone     bool `json:"d,omitempty"`
}

// RolloutReport is what a pool has counted for the rollouts of the configuration that it serves a version of.
type RolloutReport struct {
	Key      string          `json:"key"`
	Rollouts []RolloutCounts `json:"rollouts,omitempty"`
	// Executors is how many there are that take work; Capacity and Allocated are in thousandths of a core, of all of them.
	Executors int   `json:"executors,omitempty"`
	Capacity  int64 `json:"capacity,omitempty"`
	Allocated int64 `json:"allocated,omitempty"`
}

// RolloutCounts is what one version has done since a rollout began.
type RolloutCounts struct {
	Rollout string `json:"rollout"`
	BegunMs int64  `json:"begun"`
	// Jobs counts all jobs that ended, Large those among the largest tenth of them.
	Jobs  JobCounts `json:"jobs"`
	Large JobCounts `json:"large"`
	// Zones counts the runs that ended, by the zone of the executor.
	Zones []ZoneRuns `json:"zones,omitempty"`
	// RunTimes is a histogram of how long runs took, in thousandths of their estimates; Works one of the sizes of jobs, in core
	// milliseconds.
	RunTimes []Bucket `json:"run-times,omitempty"`
	Works    []Bucket `json:"works,omitempty"`
	// Open is how many jobs are under way, Overdue how many of them have missed their target already.
	Open    int64 `json:"open,omitempty"`
	Overdue int64 `json:"overdue,omitempty"`
}

// JobCounts counts jobs by their end. Cancelled ones count nowhere. Late are those that ended beyond their target, without those that
// lost an executor; Failed are not among them.
type JobCounts struct {
	Completed int64 `json:"completed,omitempty"`
	Failed    int64 `json:"failed,omitempty"`
	Late      int64 `json:"late,omitempty"`
}

// ZoneRuns counts the runs in one zone that ended by themselves.
type ZoneRuns struct {
	Zone   string `json:"zone"`
	Done   int64  `json:"done,omitempty"`
	Failed int64  `json:"failed,omitempty"`
}

// Bucket is one bar of a histogram: so many values of about this size.
type Bucket struct {
	Value int64 `json:"v"`
	Count int64 `json:"n"`
}

// RolloutsStatus is how the rollouts of the configuration stand, as its leader sees them.
type RolloutsStatus struct {
	// Version is that of the configuration that they were read from.
	Version  int64           `json:"config-version"`
	Rollouts []RolloutStatus `json:"rollouts"`
}

// RolloutStatus is how one rollout stands.
type RolloutStatus struct {
	Name   string  `json:"name"`
	Route  string  `json:"route"`
	From   string  `json:"from-service"`
	To     string  `json:"to-service"`
	State  string  `json:"state"`
	Step   int     `json:"step"`
	Steps  int     `json:"steps"`
	Share  float64 `json:"share"`
	Reason string  `json:"reason,omitempty"`
	// Action is what the last look came to, and why; empty for one that is over.
	Action    string           `json:"action,omitempty"`
	ActionWhy string           `json:"action-reason,omitempty"`
	Old       VersionStatus    `json:"old"`
	New       VersionStatus    `json:"new"`
	Verdicts  []RolloutVerdict `json:"verdicts,omitempty"`
}

// VersionStatus is what one of the versions has done since the rollout began.
type VersionStatus struct {
	Jobs      JobCounts `json:"jobs"`
	Open      int64     `json:"open,omitempty"`
	Overdue   int64     `json:"overdue,omitempty"`
	Executors int       `json:"executors"`
	// Capacity and Allocated are in thousandths of a core.
	Capacity  int64 `json:"capacity,omitempty"`
	Allocated int64 `json:"allocated,omitempty"`
}

// RolloutVerdict is the figures of one aspect of the new version: Bad of Total outcomes, against the bound; evidence at or above the level
// turns the version back.
type RolloutVerdict struct {
	Kind     string  `json:"kind"`
	Stratum  string  `json:"of"`
	Total    int64   `json:"total"`
	Bad      int64   `json:"bad"`
	Bound    float64 `json:"bound"`
	Baseline float64 `json:"old-version"`
	Evidence float64 `json:"evidence"`
	Level    float64 `json:"level"`
}
