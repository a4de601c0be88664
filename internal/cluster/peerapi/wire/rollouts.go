package wire

import "github.com/mailru/easyjson"

//go:generate go run github.com/mailru/easyjson/easyjson -all rollouts.go

// TransferCall is the body of a VerbTransfer or VerbTransferAgain call. It holds a job that another pool had accepted, and of which that pool
// starts no more tasks.
type TransferCall struct {
	// From is the key of the other pool.
	From string `json:"from"`
	// Number counts the transfers of the job from pool to pool, this one included. It is 0 in calls of earlier versions of this program.
	Number int `json:"number,omitempty"`
	// AcceptedMs is when the job was accepted there, in milliseconds since 1970.
	AcceptedMs int64 `json:"accepted"`
	// IsSurplus marks a job that was submitted above its tenant's rate (see TenantUsage).
	IsSurplus bool `json:"surplus,omitempty"`
	// CompletedOccurrences lists the completed repetitions of a repeated job.
	CompletedOccurrences []int `json:"over,omitempty"`
	// Tasks lists the tasks that have had runs.
	Tasks []TransferredTask `json:"tasks,omitempty"`
	// Body is the job as submitted by its client.
	Body easyjson.RawMessage `json:"body"`
}

// TransferredTask is the progress of one task of a transferred job. Failed counts its failed attempts, and LastRun is the number of its
// last run.
type TransferredTask struct {
	Occurrence int   `json:"k,omitempty"`
	Step       int   `json:"s,omitempty"`
	Index      int   `json:"i,omitempty"`
	Failed     int   `json:"f,omitempty"`
	IsDone     bool  `json:"d,omitempty"`
	LastRun    int64 `json:"r,omitempty"`
}

// RolloutReport holds the counts of a pool for each rollout that it serves a version of.
type RolloutReport struct {
	Key      string          `json:"key"`
	Rollouts []RolloutCounts `json:"rollouts,omitempty"`
	// Executors is the number of executors that accept work, and Capacity is their total capacity. Allocated is the capacity in use at all
	// executors, also at those that accept no work any more. Both are in thousandths of a core.
	Executors int   `json:"executors,omitempty"`
	Capacity  int64 `json:"capacity,omitempty"`
	Allocated int64 `json:"allocated,omitempty"`
}

// RolloutCounts holds the outcomes of the jobs of one version since the start of a rollout.
type RolloutCounts struct {
	Rollout string `json:"rollout"`
	BegunMs int64  `json:"begun"`
	// Jobs counts all ended jobs, Large only those that were among the largest tenth when they ended.
	Jobs  JobCounts `json:"jobs"`
	Large JobCounts `json:"large"`
	// Zones counts the ended runs by the zone of the executor.
	Zones []ZoneRuns `json:"zones,omitempty"`
	// RunTimes is a histogram of the durations of runs in thousandths of their estimates. Works is a histogram of the sizes of jobs in core
	// milliseconds.
	RunTimes []Bucket `json:"run-times,omitempty"`
	Works    []Bucket `json:"works,omitempty"`
	// Open is the number of unfinished jobs, without those with a long-running step. Overdue is the number of those that have already missed
	// their target without having lost a run. Each repetition of a repeated job counts as one.
	Open    int64 `json:"open,omitempty"`
	Overdue int64 `json:"overdue,omitempty"`
}

// JobCounts counts ended jobs by outcome. Cancelled jobs are not counted, and each completed repetition of a repeated job counts as one.
// Late counts the jobs that ended after their target, except failed ones and those that lost a run, for example because its executor died.
type JobCounts struct {
	Completed int64 `json:"completed,omitempty"`
	Failed    int64 `json:"failed,omitempty"`
	Late      int64 `json:"late,omitempty"`
}

// ZoneRuns counts the runs in one zone that ended by themselves, without being stopped.
type ZoneRuns struct {
	Zone   string `json:"zone"`
	Done   int64  `json:"done,omitempty"`
	Failed int64  `json:"failed,omitempty"`
}

// Bucket is a bucket of a histogram: Count values of about Value.
type Bucket struct {
	Value int64 `json:"v"`
	Count int64 `json:"n"`
}

// RolloutsStatus is the status of all rollouts at the leader of the configuration.
type RolloutsStatus struct {
	// Version is the version of the configuration that defines them.
	Version  int64           `json:"config-version"`
	Rollouts []RolloutStatus `json:"rollouts"`
}

// RolloutStatus is the status of one rollout. Step is the index of the current step, and Steps the number of steps.
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
	// Action is the result of the last evaluation, and ActionWhy its reason. Action is empty if the rollout has ended.
	Action    string           `json:"action,omitempty"`
	ActionWhy string           `json:"action-reason,omitempty"`
	Old       VersionStatus    `json:"old"`
	New       VersionStatus    `json:"new"`
	Verdicts  []RolloutVerdict `json:"verdicts,omitempty"`
}

// VersionStatus holds the outcomes of one of the two versions since the start of the rollout.
type VersionStatus struct {
	Jobs      JobCounts `json:"jobs"`
	Open      int64     `json:"open,omitempty"`
	Overdue   int64     `json:"overdue,omitempty"`
	Executors int       `json:"executors"`
	// Capacity and Allocated are in thousandths of a core.
	Capacity  int64 `json:"capacity,omitempty"`
	Allocated int64 `json:"allocated,omitempty"`
}

// RolloutVerdict holds the figures of one check of the new version: Bad of Total outcomes are compared with Bound, the share that may be bad.
// Stratum names the part of the outcomes that is checked, and Baseline is the share of the old version. If Evidence is at or above Level, the
// new version is rolled back.
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
