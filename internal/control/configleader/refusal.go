package configleader

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"gannetline/internal/cluster/peerapi/wire"
)

// retryAfterS is the number of seconds that an operator should wait before the next try.
const retryAfterS = 1

// ErrNoConfiguration is the error of a call that reads the configuration before the first one was committed.
const ErrNoConfiguration = errors.ConstError("there is no configuration yet")

// InvalidError is the error of a configuration that can't be decoded or breaks a rule. Err names the field.
type InvalidError struct{ Err error }

// Error returns the text of Err.
func (e *InvalidError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *InvalidError) Unwrap() error { return e.Err }

// VersionConflictError is the error of a change whose base is not the version in force. Current is the version in force.
type VersionConflictError struct{ Current int64 }

// Error returns a text with the version in force.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("the current version is %d", e.Current)
}

// VersionNotAboveError is the error of a configuration whose version is not above the version in force. Current is the version in force.
type VersionNotAboveError struct{ Current int64 }

// Error returns a text with the field and the version in force.
func (e *VersionNotAboveError) Error() string {
	return fmt.Sprintf("field config-version is not above the current one, %d", e.Current)
}

// ForgottenVersionError is the error of a change to a version that may have been confirmed so long ago that its record was dropped.
type ForgottenVersionError struct{ Version int64 }

// Error returns a text with the version.
func (e *ForgottenVersionError) Error() string {
	return fmt.Sprintf("version %d may have been taken too long ago to tell", e.Version)
}

// newRefusedAnswer returns the answer to an operator for an error of this package.
func newRefusedAnswer(err error) wire.ClientAnswer {
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

// needsLease reports whether a refusal is only valid while no other process leads the key. An invalid body stays invalid whoever leads, and
// so does a version that is not above one that was in force.
func needsLease(err error) bool {
	return !errors.As(err, new(*InvalidError)) && !errors.As(err, new(*VersionNotAboveError))
}
