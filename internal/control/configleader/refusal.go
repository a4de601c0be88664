package configleader

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

// retryAfterS is how many seconds an operator should wait before asking again.
const retryAfterS = 1

// ErrNoConfiguration is given to an operator who asks before the first configuration was committed.
const ErrNoConfiguration = errors.ConstError("there is no configuration yet")

// InvalidError refuses a configuration that can't be read or breaks a rule; the text names the field.
type InvalidError struct{ Err error }

// Error names the field.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap gives the error of the check.
func (e *InvalidError) Unwrap() error { return e.Err }

// VersionConflictError refuses a change that builds on another version than the one in force.
type VersionConflictError struct{ Current int64 }

// Error names the version in force.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("the current version is %d", e.Current)
}

// VersionNotAboveError refuses a configuration whose version is not above the one in force.
type VersionNotAboveError struct{ Current int64 }

// Error names the field and the version in force.
func (e *VersionNotAboveError) Error() string {
	return fmt.Sprintf("field config-version is not above the current one, %d", e.Current)
}

// ForgottenVersionError refuses a version that may have been confirmed so long ago that its record was dropped.
type ForgottenVersionError struct{ Version int64 }

// Error names the version.
func (e *ForgottenVersionError) Error() string {
	return fmt.Sprintf("version %d may have been taken too long ago to tell", e.Version)
}

// refusalOf is the answer to an operator for an error of this package.
func refusalOf(err error) wire.ClientAnswer {
	answer := wire.ClientAnswer{Status: http.StatusInternalServerError, Reason: err.Error()}
	var conflict *VersionConflictError
	switch {
	case errors.As(err, new(*InvalidError)), errors.As(err, new(*VersionNotAboveError)):
		answer.Status = http.StatusBadRequest
	case errors.As(err, new(*ForgottenVersionError)), errors.Is(err, ErrNoConfiguration):
		answer.Status, answer.RetryAfterS = http.StatusServiceUnavailable, retryAfterS
	case errors.As(err, &conflict):
		answer.Status, answer.Current = http.StatusPreconditionFailed, conflict.Current
	}
	return answer
}

// needsLease tells whether a refusal is only true as long as no other process leads the key. What is wrong with the body, or
// is not above a version that was once in force, stays so whoever leads.
func needsLease(err error) bool {
	return !errors.As(err, new(*InvalidError)) && !errors.As(err, new(*VersionNotAboveError))
}
