// Package headers holds the names of the HTTP headers that gannetline exchanges with clients, executors and operators.
package headers

// Headers of a client's request. RequestID is copied to the response and to calls to executors.
const (
	// RequestID identifies a request. A repeated ID is a retry of the same request.
	RequestID = "X-Request-Id"
	// TimeRemaining is the time for which the sender still waits, in milliseconds.
	TimeRemaining = "X-Time-Remaining"
	// Authorization contains the client's key as a bearer token.
	Authorization = "Authorization"
	// PromptPrefix lists the parts of a prompt as ID:TOKENS, separated by commas.
	PromptPrefix = "X-Prompt-Prefix"
	// WaitTime is the time, in milliseconds, for which the response to a read of a lot may be delayed until there is something new.
	WaitTime = "X-Wait-Time"
)

// Headers of a call to an executor.
const (
	// ExpectedExecutor is the ID of the executor that the call is meant for. Any other executor refuses it with 421.
	ExpectedExecutor = "X-Expected-Executor"
	// Tenant is the tenant to which a request is charged.
	Tenant = "X-Tenant"
	// LastEventID is the number of the last event that the sender has received. The response continues after it.
	LastEventID = "Last-Event-Id"
	// Priority orders the requests at an executor, lower numbers first.
	Priority = "Priority"
)

// Headers of an executor's answer.
const (
	// NotExecuted marks the response to a request that was not executed and never will be.
	NotExecuted = "X-Not-Executed"
	// ExecutorLoad is the load of the executor: its running requests, waiting requests and slots, separated by commas.
	ExecutorLoad = "X-Executor-Load"
)

// BaseVersion is the configuration version on which an operator's change is based.
const BaseVersion = "X-Base-Version"
