// Package jobs defines the specification of a job, its validation, and the names of its tasks.
package jobs

//go:generate go run github.com/mailru/easyjson/easyjson -all spec.go

// Step is a group of identical tasks of a job. CPU is in thousandths of a core and Memory in MB, per task. EstimatedMs is the estimated run
// time of a task. DependsOn holds the numbers of the steps that must end first. Gang means that all tasks are started together, SameRack that
// a gang prefers a single rack. Labels are required of an executor; Affinity holds the labels of executors near the data. AntiAffinity is
// how many of the step's tasks one executor may run at once; 0 is no limit. Redundant allows speculative runs. LongRunning means that the
// tasks must be running at all times.
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

// Spec is a job as a client submits it. RepeatCount is the number of occurrences of a repeated job, or 0. FirstRunMs is the time of day of
// the first occurrence in milliseconds since 1970, and PeriodMs the time between two occurrences in milliseconds.
type Spec struct {
	Descriptor  string `json:"task-descriptor"`
	Steps       []Step `json:"step-list"`
	FirstRunMs  int64  `json:"first-run-ms,omitempty"`
	PeriodMs    int64  `json:"period-ms,omitempty"`
	RepeatCount int    `json:"repeat-count,omitempty"`
}
