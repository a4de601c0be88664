package scheduler

import (
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
)

// The first two bytes of a record's name are its kind.
const (
	prefixJob        = "j/"
	prefixState      = "s/"
	prefixOccurrence = "k/"
	prefixTask       = "t/"
	prefixOrder      = "o/"
	prefixExecutor   = "e/"
	prefixRenounced  = "m/"
	prefixTransfer   = "v/"
	prefixRollout    = "w/"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all records.go

// jobRecord is a job as it was accepted.
type jobRecord struct {
	Route      string              `json:"entry"`
	Terms      wire.RouteTerms     `json:"terms"`
	AcceptedMs int64               `json:"accepted"`
	Spec       easyjson.RawMessage `json:"spec"`
	// Tenant is the name of the tenant that owns the job. It is empty for a job without a tenant.
	Tenant string `json:"tenant,omitempty"`
	// IsSurplus marks a job that was submitted above its tenant's rate.
	IsSurplus bool `json:"surplus,omitempty"`
	// Version is the configuration version by which a gate or another pool has sent the job to this pool, 0 if that is unknown. Transfers
	// counts the transfers from pool to pool that the job has had.
	Version   int64 `json:"version,omitempty"`
	Transfers int   `json:"transfers,omitempty"`
}

// stateRecord is the stored state of a job that has ended.
type stateRecord struct {
	Route   string `json:"entry"`
	State   string `json:"state"`
	Reason  string `json:"why,omitempty"`
	EndedMs int64  `json:"ended"`
	Tenant  string `json:"tenant,omitempty"`
	// MovedTo is the service whose pool has the job now. It is set only in the state moved.
	MovedTo string `json:"moved,omitempty"`
	// Transfers is that of the job's jobRecord.
	Transfers int `json:"transfers,omitempty"`
}

// runRecord is a run of a task, within the task's record.
type runRecord struct {
	Number   int64  `json:"n"`
	Executor string `json:"l"`
	State    string `json:"s"`
}

// taskRecord is the progress of a task and its runs.
type taskRecord struct {
	Done       bool        `json:"d,omitempty"`
	Failed     int         `json:"f,omitempty"`
	LastRun    int64       `json:"r,omitempty"`
	Checkpoint string      `json:"c,omitempty"`
	Runs       []runRecord `json:"x,omitempty"`
	// FailedRun is the number of the last run of a gang that was counted in Failed. Only the record of the gang's first task has it.
	FailedRun int64 `json:"g,omitempty"`
}

// orderRecord is an order that has not been answered; its name holds the task, the run and the kind.
type orderRecord struct {
	Executor string `json:"l"`
}

// executorRecord holds the machine of an executor that was sent runs.
type executorRecord struct {
	Proxy string `json:"p"`
}

// renouncedRecord holds when the pool promised to refuse submissions under an ID.
type renouncedRecord struct {
	AtMs int64 `json:"at"`
	// Version is the newest configuration version of the gates that asked for the promise. It is 0 if none of them sent a version.
	Version int64 `json:"v,omitempty"`
}

// transferRecord marks a job in transfer to the pool of another service. No run of the job starts here any more.
type transferRecord struct {
	To string `json:"to"`
	// Version is the configuration version that moves the job, 0 for the return of a job after a rollback.
	Version int64 `json:"version,omitempty"`
}

// rolloutRecord holds the results of jobs and runs that the pool has counted for a rollout.
type rolloutRecord struct {
	Counts wire.RolloutCounts `json:"c"`
}

// timeRecord marks an occurrence of a job as complete.
type timeRecord struct {
	Done bool `json:"d"`
}
