// Package jobs holds jobs: their steps, tasks, runs and what became of them.
package jobs

//go:generate go run github.com/mailru/easyjson/easyjson -all spec.go

// Step is a group of equal tasks of a job. CPU is in units of a thousandth of a core; DependsOn holds the numbers of
// steps that must end first; Apart bounds how many of its tasks one executor may run, 0 being no bound.
type Step struct {
	Tasks         int    `json:"task-count"`
	CPU           int64  `json:"cpu-units,omitempty"`
	Memory        int64  `json:"memory-req-mb,omitempty"`
	GPU           int64  `json:"gpu-count,omitempty"`
	EstimatedMs   int64  `json:"estimated-ms,omitempty"`
	DependsOn     []int  `json:"depends-on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang-scheduled,omitempty"`
	SameRack      bool   `json:"same-rack,omitempty"`
	Labels        Labels `json:"required-labels,omitempty"`
	Affinity      Labels `json:"affinity-labels,omitempty"`
	AntiAffinity  int    `json:"anti-affinity,omitempty"`
	Redundant     bool   `json:"redundant,omitempty"`
	LongRunning   bool   `json:"long-running,omitempty"`
}

// Spec is a job as a client hands it in. FirstRunMs is a time of day in milliseconds since 1970, PeriodMs the time
// between two runs of a repeated job.
type Spec struct {
	Descriptor  string `json:"task-descriptor"`
	Steps       []Step `json:"step-list"`
	FirstRunMs  int64  `json:"first-run-ms,omitempty"`
	PeriodMs    int64  `json:"period-ms,omitempty"`
	RepeatCount int    `json:"repeat-count,omitempty"`
}
