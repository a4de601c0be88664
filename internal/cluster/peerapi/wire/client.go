package wire

import (
	"github.com/juju/errors"
	"github.com/mailru/easyjson"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all client.go

// Verb is the operation of a ClientCall.
type Verb string

// The verbs. Those of clients go to the key of a pool, those of operators to the key of the configuration, and those of pools to the key of
// a partition of the tenant count.
const (
	// VerbSubmit submits a job under an ID that the client has chosen.
	VerbSubmit Verb = "hand-in"
	// VerbRenounce asks a pool to promise never to accept a job under an ID, so that another pool may accept it.
	VerbRenounce Verb = "renounce"
	// VerbTransfer transfers a job to a pool from another one that had accepted it. The body is a TransferCall.
	VerbTransfer Verb = "transfer"
	// VerbTransferAgain is VerbTransfer for a job that was transferred before. Leaders of earlier versions of this program don't know it: they
	// would take the return of a job that they have transferred for a repetition.
	VerbTransferAgain Verb = "transfer-again"
	// VerbRollouts asks a pool for its RolloutReport, and the leader of the configuration for its RolloutsStatus.
	VerbRollouts Verb = "rollouts"
	// VerbState asks for the state of a job.
	VerbState Verb = "state"
	// VerbCancel cancels a job.
	VerbCancel Verb = "cancel"
	// VerbCount asks how many jobs of a route have not started.
	VerbCount Verb = "count"
	// VerbGrant asks a partition of the tenant count for allowances. The body is a GrantCall.
	VerbGrant Verb = "grant"
	// VerbTenants asks a pool or a partition of the tenant count for its TenantCountReport.
	VerbTenants Verb = "tenants"
	// VerbReplace replaces the configuration. Base is the version that has to be in force, 0 before the first, and the body is the new text.
	VerbReplace Verb = "replace"
	// VerbRetrieve asks for the configuration.
	VerbRetrieve Verb = "retrieve"
	// VerbEvacuate orders the evacuation of the zone that ID names, VerbEndEvacuation ends it, and VerbEvacuations asks for all evacuations.
	VerbEvacuate      Verb = "evacuate"
	VerbEndEvacuation Verb = "evacuation-end"
	VerbEvacuations   Verb = "evacuations"
	// VerbSubmitLot submits a lot, a batch of requests, under an ID that the client has chosen.
	VerbSubmitLot Verb = "lot"
	// VerbLotResults asks for the results of a lot from the position Base on. The leader may wait up to RemainingMs for the first one.
	VerbLotResults Verb = "lot-results"
	// VerbLotItem asks for the body of the item of a lot that Item names. The body of the answer is a JSON string with its bytes in base64.
	VerbLotItem Verb = "lot-item"
	// VerbEndLot ends a lot.
	VerbEndLot Verb = "lot-end"
	// VerbVersion asks for the version number of the configuration only.
	VerbVersion Verb = "version"
	// VerbAcquire, VerbRenew and VerbRelease apply to the lock that ID names. The body is a LockCall.
	VerbAcquire Verb = "lock-acquire"
	VerbRenew   Verb = "lock-renew"
	VerbRelease Verb = "lock-release"
	// VerbTakeNumber takes the next number of the sequence that ID names.
	VerbTakeNumber Verb = "number"
	// VerbPut writes the cell that ID names; the body is a PutCall. VerbGet reads the cell.
	VerbPut Verb = "cell-put"
	VerbGet Verb = "cell-get"
	// VerbWatch asks for the puts above the revision Base in the group of cells that ID names. With Base 0 it asks only for the current
	// revision, unless the group has no puts yet. The leader may wait up to RemainingMs for the first put.
	VerbWatch Verb = "watch"
	// VerbCoordination asks a partition of locks, numbers and cells for its CoordinationReport.
	VerbCoordination Verb = "coordination"
)

// LotsKeyPrefix is the prefix of the keys that hold lots. LotsKey is the first of them, and so far the only one in use.
const (
	LotsKeyPrefix = "lots/"
	LotsKey       = LotsKeyPrefix + "0"
)

// PoolPrefix is the prefix of the keys of pools. The rest of such a key is the name of the service.
const PoolPrefix = "pool/"

// PoolKey returns the key of the pool of a service.
func PoolKey(service string) string { return PoolPrefix + service }

// ClientCall is a command of a client, an operator or a pool to the leader of a key. The meaning of ID, Base, Body and RemainingMs depends on
// the verb; see the verbs.
type ClientCall struct {
	Key         string              `json:"key"`
	Verb        Verb                `json:"verb"`
	Route       string              `json:"entry,omitempty"`
	ID          string              `json:"id,omitempty"`
	Base        int64               `json:"base,omitempty"`
	Terms       *RouteTerms         `json:"terms,omitempty"`
	Body        easyjson.RawMessage `json:"body,omitempty"`
	RemainingMs int64               `json:"left,omitempty"`
	// Tenant is the name of the tenant whose API key the client has sent. It is empty if none is required.
	Tenant string `json:"tenant,omitempty"`
	// Item is the ID of an item of a lot.
	Item string `json:"item,omitempty"`
	// Version is the version of the configuration by which a gate chose the pool. Gates of earlier versions omit it.
	Version int64 `json:"version,omitempty"`
	// FormerRoutes are the former names of Route, under which the pool may hold jobs of the same queue.
	FormerRoutes []string `json:"former-entries,omitempty"`
}

// RouteTerms are the settings of a job's route: the priority, the number of failures after which a task is not attempted again, and the
// target latency, which is Stretch times the longest chain of work plus TargetMs.
type RouteTerms struct {
	Priority    int     `json:"p,omitempty"`
	MaxAttempts int     `json:"a,omitempty"`
	Stretch     float64 `json:"s,omitempty"`
	TargetMs    int64   `json:"t,omitempty"`
}

// ClientAnswer is the answer to a ClientCall; Status is an HTTP status. If NotLeader is set, Leader names the leader to ask if it is known,
// and the command was not executed, unless OutcomeUnknown is set too. In that case its change was proposed, and the next leader may or may
// not commit it.
type ClientAnswer struct {
	NotLeader      bool                `json:"elsewhere,omitempty"`
	OutcomeUnknown bool                `json:"unclear,omitempty"`
	Leader         string              `json:"owner,omitempty"`
	Status         int                 `json:"status,omitempty"`
	RetryAfterS    int                 `json:"retry,omitempty"`
	Reason         string              `json:"why,omitempty"`
	Body           easyjson.RawMessage `json:"body,omitempty"`
	// MovedTo is the service whose pool a job was transferred to. The Status then says that this pool does not have the job.
	MovedTo string `json:"moved,omitempty"`
	// WallMs is the median of the clocks of the leader and its followers, in milliseconds since 1970. It accompanies the configuration in
	// force.
	WallMs int64 `json:"wall,omitempty"`
	// Current is the version in force. It is set if a configuration is refused because its base is another version.
	Current int64 `json:"current,omitempty"`
}

// ErrNoStatus rejects an answer that has neither a status nor NotLeader.
const ErrNoStatus = errors.ConstError("an answer without a status")

// Check returns ErrNoStatus if the answer has neither a status nor NotLeader.
func (a *ClientAnswer) Check() error {
	if !a.NotLeader && a.Status < 100 {
		return errors.Annotatef(ErrNoStatus, "status %d", a.Status)
	}
	return nil
}
