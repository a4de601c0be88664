// Package headers names the headers of HTTP that clients, executors and operators share with this system.
package headers

// Headers of a client's request. RequestID is given back with the answer, and passed on to executors.
const (
	// RequestID identifies a request: the same ID is the same request.
	RequestID = "X-Request-Id"
	// TimeRemaining is how many milliseconds the sender still waits.
	TimeRemaining = "X-Time-Remaining"
	// Authorization bears the client's key.
	Authorization = "Authorization"
	// PromptPrefix names the parts of a prompt, as ID:TOKENS separated by commas.
	PromptPrefix = "X-Prompt-Prefix"
	// WaitTime is how many milliseconds a reader of a lot lets the answer wait for something new.
	WaitTime = "X-Wait-Time"
)

// Headers of a call to an executor.
const (
	// ExpectedExecutor names the executor that is meant; any other refuses the call with 421.
	ExpectedExecutor = "X-Expected-Executor"
	// Tenant names the tenant that a request is counted for.
	Tenant = "X-Tenant"
	// LastEventID is the number of the last event that the sender has; the answer goes on behind it.
	LastEventID = "Last-Event-Id"
	// Priority orders requests at an executor, lower numbers first.
	Priority = "Priority"
)

// Headers of an executor's answer.
const (
	// NotExecuted marks an answer to a request that was not begun and never will be.
	NotExecuted = "X-Not-Executed"
	// ExecutorLoad tells how many requests the executor has.
	ExecutorLoad = "X-Executor-Load"
)

// BaseVersion is the version of the configuration that an operator's change builds on.
const BaseVersion = "X-Base-Version"
