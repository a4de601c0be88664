package wire

import (
	"github.com/juju/errors"
	"github.com/mailru/easyjson"
)

//go:generate go run github.com/mailru/easyjson/easyjson -all client.go

// Verb is what a client or an operator wants.
type Verb string

// The verbs: those of clients go to the key of a pool, those of operators to the key of the configuration, and those of pools to the key
// of a count part.
const (
	// VerbSubmit submits a job under an ID that the client has chosen.
	VerbSubmit Verb = "hand-in"
	// VerbRenounce asks a pool never to take a job under an ID, so that another pool may.
	VerbRenounce Verb = "renounce"
	// VerbTransfer gives a pool a job that another one had accepted; the body is a TransferCall.
	VerbTransfer Verb = "transfer"
	// VerbRollouts asks a pool for its RolloutReport, and the leader of the configuration for how its rollouts stand.
	VerbRollouts Verb = "rollouts"
	// VerbState asks for the state of a job.
	VerbState Verb = "state"
	// VerbCancel cancels a job.
	VerbCancel Verb = "cancel"
	// VerbCount asks how many jobs of a route are waiting.
	VerbCount Verb = "count"
	// VerbGrant asks a part of the tenants' count for allowances.
	VerbGrant Verb = "grant"
	// VerbTenants asks a pool, or a part of the count, for what it knows of its tenants.
	VerbTenants Verb = "tenants"
	// VerbReplace replaces the configuration.
	VerbReplace Verb = "replace"
	// VerbRetrieve asks for the configuration.
	VerbRetrieve Verb = "retrieve"
	// VerbEvacuate orders the zone that ID names to be emptied, VerbEndEvacuation takes that back, VerbEvacuations asks for all such zones.
	VerbEvacuate      Verb = "evacuate"
	VerbEndEvacuation Verb = "evacuation-end"
	VerbEvacuations   Verb = "evacuations"
	// VerbSubmitLot hands in a lot of requests, under an ID that the client has chosen.
	VerbSubmitLot Verb = "lot"
	// VerbLotResults asks for the results of a lot from the position Base on; the answer may wait for RemainingMs until there is one.
	VerbLotResults Verb = "lot-results"
	// VerbLotItem asks for the body of the item of a lot that Item names; the answer's body is the JSON text of its bytes in base64.
	VerbLotItem Verb = "lot-item"
	// VerbEndLot ends a lot.
	VerbEndLot Verb = "lot-end"
	// VerbVersion asks for the number of the configuration alone.
	VerbVersion Verb = "version"
	// VerbAcquire, VerbRenew and VerbRelease are about the lock that ID names; the body is a LockCall.
	VerbAcquire Verb = "lock-acquire"
	VerbRenew   Verb = "lock-renew"
	VerbRelease Verb = "lock-release"
	// VerbTakeNumber takes the next number under the name ID.
	VerbTakeNumber Verb = "number"
	// VerbPut puts a value into the cell that ID names; the body is a PutCall. VerbGet reads the cell.
	VerbPut Verb = "cell-put"
	VerbGet Verb = "cell-get"
	// VerbWatch asks for the puts above the revision Base in the group of cells that ID names; the answer may wait for RemainingMs
	// until there is one.
	VerbWatch Verb = "watch"
	// VerbCoordination asks a part with locks, numbers and cells for its CoordinationReport.
	VerbCoordination Verb = "coordination"
)

// LotsKeyPrefix begins the names of the keys that hold lots; LotsKey is that of the first part, which holds all lots so far.
const (
	LotsKeyPrefix = "lots/"
	LotsKey       = LotsKeyPrefix + "0"
)

// PoolPrefix begins the keys of pools; the rest is the service.
const PoolPrefix = "pool/"

// PoolKey is the key of the pool of a service.
func PoolKey(service string) string { return PoolPrefix + service }

// ClientCall is a command of a client or operator on the way to the leader of a key.
type ClientCall struct {
	Key         string              `json:"key"`
	Verb        Verb                `json:"verb"`
	Route       string              `json:"entry,omitempty"`
	ID          string              `json:"id,omitempty"`
	Base        int64               `json:"base,omitempty"`
	Terms       *RouteTerms         `json:"terms,omitempty"`
	Body        easyjson.RawMessage `json:"body,omitempty"`
	RemainingMs int64               `json:"left,omitempty"`
	// Tenant is the name of the tenant whose key the client bears; empty where it needs none.
	Tenant string `json:"tenant,omitempty"`
	// Item is the ID of an item of a lot.
	Item string `json:"item,omitempty"`
	// Version is that of the configuration by which a gate chose the pool; older gates leave it out.
	Version int64 `json:"version,omitempty"`
}

// RouteTerms are what a job's route says of it: its priority, how many attempts a task has, and the target for its
// latency, as a multiple of its longest chain of work plus TargetMs.
type RouteTerms struct {
	Priority    int     `json:"p,omitempty"`
	MaxAttempts int     `json:"a,omitempty"`
	Stretch     float64 `json:"s,omitempty"`
	TargetMs    int64   `json:"t,omitempty"`
}

// ClientAnswer with NotLeader set names the leader to ask, as far as it is known. The command was not taken, unless
// OutcomeUnknown is set too: then its change was proposed, and a later leader may keep it or not. Status is that of HTTP.
type ClientAnswer struct {
	NotLeader      bool                `json:"elsewhere,omitempty"`
	OutcomeUnknown bool                `json:"unclear,omitempty"`
	Leader         string              `json:"owner,omitempty"`
	Status         int                 `json:"status,omitempty"`
	RetryAfterS    int                 `json:"retry,omitempty"`
	Reason         string              `json:"why,omitempty"`
	Body           easyjson.RawMessage `json:"body,omitempty"`
	// MovedTo is the service whose pool a job was transferred to, with a Status that says that it isn't here.
	MovedTo string `json:"moved,omitempty"`
	// WallMs is the time of day that the voters agree on, with the configuration in force, in milliseconds since 1970.
	WallMs int64 `json:"wall,omitempty"`
	// Current is the version in force with a refused configuration.
	Current int64 `json:"current,omitempty"`
}

// ErrNoStatus refuses an answer that says nothing.
const ErrNoStatus = errors.ConstError("an answer without a status")

// Check refuses an answer that says nothing, with ErrNoStatus.
func (a *ClientAnswer) Check() error {
	if !a.NotLeader && a.Status < 100 {
		return errors.Annotatef(ErrNoStatus, "status %d", a.Status)
	}
	return nil
}
