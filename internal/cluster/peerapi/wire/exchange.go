package wire

//go:generate go run github.com/mailru/easyjson/easyjson -all exchange.go

// Capacity is an amount of resources: CPU in thousandths of a core, memory in MB, and GPUs.
type Capacity struct {
	CPU    int64 `json:"cpu-units"`
	Memory int64 `json:"memory-req-mb"`
	GPU    int64 `json:"gpu-count"`
}

// IsDefined lets a capacity of nothing be left out of a message.
func (c Capacity) IsDefined() bool { return c != Capacity{} }

// RunReport is one run as an executor lists it; a run is Stuck when it makes no progress.
type RunReport struct {
	Task       string `json:"t"`
	Run        int64  `json:"r"`
	Checkpoint string `json:"c,omitempty"`
	Percent    int    `json:"p,omitempty"`
	Stuck      bool   `json:"x,omitempty"`
}

// RunOutcome is how a run ended, as its executor says. Of others than these the scheduler only knows that the run is over.
type RunOutcome string

// The outcomes that the scheduler acts on.
const (
	// OutcomeDone completes the task.
	OutcomeDone RunOutcome = "done"
	// OutcomeFailed counts as an attempt.
	OutcomeFailed RunOutcome = "failed"
)

// OrderKind is what is to be done with a run.
type OrderKind string

// The kinds of orders.
const (
	OrderLaunch OrderKind = "launch"
	OrderStop   OrderKind = "stop"
)

// OrderResult is what came of an order.
type OrderResult string

// The results of orders.
const (
	// ResultOK: the order was carried out.
	ResultOK OrderResult = "ok"
	// ResultNotRun: the order was certainly not carried out, and the executor is not to blame.
	ResultNotRun OrderResult = "not-run"
	// ResultNoCapacity: the executor has no capacity for the run.
	ResultNoCapacity OrderResult = "room"
	// ResultUnhealthy: the order was certainly not carried out, as the executor refuses or is not there.
	ResultUnhealthy OrderResult = "sick"
	// ResultUncertain: a start may yet be carried out.
	ResultUncertain OrderResult = "unsure"
	// ResultTimeout: nothing was answered; the order is sent again.
	ResultTimeout OrderResult = "timeout"
)

// EndReport is the end of a run; an executor numbers its ends in their order.
type EndReport struct {
	Number     int64      `json:"n"`
	Task       string     `json:"t"`
	Run        int64      `json:"r"`
	Outcome    RunOutcome `json:"h"`
	Checkpoint string     `json:"c,omitempty"`
}

// OrderAnswer is what came of an order, AgeMs before it is reported.
type OrderAnswer struct {
	Task   string      `json:"t"`
	Run    int64       `json:"r"`
	Kind   OrderKind   `json:"k"`
	Result OrderResult `json:"a"`
	AgeMs  int64       `json:"g,omitempty"`
}

// ExchangeCall is what a local-proxy reports to the leader of its executor's pool. With a Session, the facts (Proxy to
// Gone) and Changed are what changed after Base, up to Number; Base 0 is a full report. A session that begins later
// has a higher number. Without a Session, each report is full.
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

// Order is one thing that a local-proxy should have its executor do with a run.
type Order struct {
	Kind       OrderKind `json:"k"`
	Task       string    `json:"t"`
	Run        int64     `json:"r"`
	Descriptor string    `json:"s,omitempty"`
	Checkpoint string    `json:"c,omitempty"`
}

// ExchangeAnswer names the Number that the leader holds. NeedsFullState asks for a full report, as nothing of the call was
// taken, in a session above the one that is named. WantedList asks for a list of runs of at least that number.
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
