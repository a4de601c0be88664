package countmodel

import "gannetline/internal/simulation/modelcheck"

// The names of the injected faults.
const (
	faultLateCall           = "late-call-counts"
	faultLateAnswer         = "late-answer-counts"
	faultTimeoutFrees       = "silence-frees-grant"
	faultGrantsForgotten    = "leader-without-grants"
	faultStartUnsettled     = "start-before-returns"
	faultAnswerBeforeCommit = "answer-before-commit"
	faultRaiseBeforeCommit  = "raise-before-commit"
	faultLowerNotCommitted  = "lower-not-committed"
	faultNoTurns            = "limit-divided-without-sizes"
	faultTurnKept           = "turn-kept"
	faultDemandAssumed      = "grant-taken-for-demand"
)

var injectedFaults = []modelcheck.InjectedFault{
	{Name: faultLateCall, About: "a part decides on a call that comes after a later one of the same pool, so that a batch counts twice"},
	{Name: faultLateAnswer, About: "a pool takes the answer to an earlier call for that to its last one"},
	{Name: faultTimeoutFrees, About: "a part frees the grant of a pool that is silent for a while"},
	{Name: faultGrantsForgotten, About: "a new leader of a part begins without the grants of the one before"},
	{Name: faultStartUnsettled, About: "a pool starts runs under a lowered limit before the others have given back what they hold"},
	{Name: faultAnswerBeforeCommit, About: "a part answers before its change is committed"},
	{Name: faultRaiseBeforeCommit, About: "a pool uses a raised account before that is committed"},
	{Name: faultLowerNotCommitted, About: "a pool says that it holds less without committing that"},
	{Name: faultNoTurns, About: "a limit is divided by what pools want, whatever the size of their waiting tasks"},
	{Name: faultTurnKept, About: "a pool doesn't say that it has used its turn"},
	{Name: faultDemandAssumed, About: "a new leader of a part takes the grant of a pool for its demand, and doesn't ask for that"},
}
