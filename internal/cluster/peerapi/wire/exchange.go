package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all exchange.go

// Capacity is an amount of resources: CPU in thousandths of a core, memory in MB, and a number of GPUs.
type Capacity struct {
	CPU    int64 `json:"cpu-units"`
	Memory int64 `json:"memory-req-mb"`
	GPU    int64 `json:"gpu-count"`
}

// IsDefined reports whether any amount is not 0. The generated code omits a capacity from a message if it is not defined.
func (c Capacity) IsDefined() bool { return c != Capacity{} }

// RunReport is a run in the list of an executor. Stuck is set if it makes no progress.
type RunReport struct {
	Task       string `json:"t"`
	Run        int64  `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Stuck      bool   `json:"x,omitempty"`
}

// RunOutcome is the outcome of a run as its executor reports it. Any value other than those below only means that the run has ended.
type RunOutcome string

// The outcomes that the scheduler acts on.
const (
	// OutcomeDone completes the task.
	OutcomeDone RunOutcome = "done"
	// OutcomeFailed counts as an attempt.
	OutcomeFailed RunOutcome = "failed"
)

// OrderKind is the action that an order requests for a run.
type OrderKind string

// The kinds of orders.
const (
	OrderLaunch OrderKind = "launch"
	OrderStop   OrderKind = "stop"
)

// OrderResult is the result of an order.
type OrderResult string

// The results of orders.
const (
	// ResultOK means that the order was carried out.
	ResultOK OrderResult = "ok"
	// ResultNotRun means that the order was certainly not carried out, for a reason other than a fault of the executor.
	ResultNotRun OrderResult = "not-run"
	// ResultNoCapacity means that the executor has no capacity for the run.
	ResultNoCapacity OrderResult = "room"
	// ResultUnhealthy means that the order was certainly not carried out, because the executor refuses it, can't be reached or is
	// unresponsive.
	ResultUnhealthy OrderResult = "sick"
	// ResultUncertain means that the run may still be launched.
	ResultUncertain OrderResult = "unsure"
	// ResultTimeout means that the executor did not answer. The order is sent again.
	ResultTimeout OrderResult = "timeout"
)

// EndReport reports the end of a run. An executor numbers the ends of its runs in their order.
type EndReport struct {
	Number     int64      `json:"n"`
	Task       string     `json:"t"`
	Run        int64      `json:"r"`
	Outcome    RunOutcome `json:"h"`
	Checkpoint string     `json:"c,omitempty"`
}

// OrderAnswer reports the result of an order. AgeMs is the age of the result when it is sent.
type OrderAnswer struct {
	Task   string      `json:"t"`
	Run    int64       `json:"r"`
	Kind   OrderKind   `json:"k"`
	Result OrderResult `json:"a"`
	AgeMs  int64       `json:"g,omitempty"`
}

// ExchangeCall is the report of a local proxy to the leader of its executor's pool, and asks for orders. Executor is the ID of the current
// incarnation of the executor.
//
// The facts are Proxy, Domain, Labels, Capacity, Draining and Gone, which lists earlier incarnations that have ended. With a Session, the
// facts are sent only if one of them has changed after the number Base, and Changed holds the runs that have changed after it; Base 0 is a
// full report. Number is the number of the last change. A later session has a higher number. Without a Session, each report is full.
//
// Fence is the highest epoch that the executor has accepted, and HoldAgeMs the time since it last answered a hold, or an hour if it answered
// none or is unresponsive. If ListNumber is set, Running is the complete list of runs that the leader asked for under that number.
//
// DepartureMs is the time until the executor may shut down at the earliest, 0 if unknown. WaitMs is the time for which the leader may delay
// its answer until there are orders.
type ExchangeCall struct {
	Key         string        `json:"key"`
	Executor    string        `json:"life"`
	Session     uint64        `json:"session,omitempty"`
	Number      uint64        `json:"number,omitempty"`
	Base        uint64        `json:"base,omitempty"`
	Proxy       string        `json:"proxy,omitempty"`
	Domain      string        `json:"domain,omitempty"`
	Labels      []string      `json:"labels,omitempty"`
	Capacity    Capacity      `json:"room,omitempty"`
	Draining    bool          `json:"draining,omitempty"`
	DepartureMs int64         `json:"departs,omitempty"`
	Gone        []string      `json:"gone,omitempty"`
	Fence       uint64        `json:"fence,omitempty"`
	HoldAgeMs   int64         `json:"holdage"`
	ListNumber  uint64        `json:"look,omitempty"`
	Running     []RunReport   `json:"running,omitempty"`
	Changed     []RunReport   `json:"changed,omitempty"`
	Ends        []EndReport   `json:"ends,omitempty"`
	Answers     []OrderAnswer `json:"answers,omitempty"`
	WaitMs      int64         `json:"wait,omitempty"`
}

// Order asks a local proxy to have its executor launch or stop a run.
type Order struct {
	Kind       OrderKind `json:"k"`
	Task       string    `json:"t"`
	Run        int64     `json:"r"`
	Descriptor string    `json:"s,omitempty"`
	Checkpoint string    `json:"c,omitempty"`
}

// ExchangeAnswer acknowledges a report and carries orders. HeldNumber is the number of the last change that the leader has. NeedsFullState is
// set if the content of the call was ignored: the proxy has to send a full report. If the proxy's session is below Session, it also has to
// start a new session above that. Fence is the epoch of the leader, GrantMs the length of the lease that it grants, and LastSeen the number of
// the last EndReport whose effects are committed. WantedList asks for a list of runs of at least that number.
type ExchangeAnswer struct {
	NotLeader      bool    `json:"elsewhere,omitempty"`
	Leader         string  `json:"owner,omitempty"`
	Fence          uint64  `json:"fence,omitempty"`
	HeldNumber     uint64  `json:"held,omitempty"`
	NeedsFullState bool    `json:"again,omitempty"`
	Session        uint64  `json:"session,omitempty"`
	GrantMs        int64   `json:"grant,omitempty"`
	LastSeen       int64   `json:"seen,omitempty"`
	WantedList     uint64  `json:"look,omitempty"`
	Orders         []Order `json:"orders,omitempty"`
}
