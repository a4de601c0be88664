package configcache

import "github.com/juju/errors"

// Why an answer of a peer brought no version. Each comes annotated with what was wrong.
const (
	// ErrPeerBusy is the answer of a peer that serves as many others as it may.
	ErrPeerBusy = errors.ConstError("the peer answers too many others")
	// ErrBaseMismatch refuses a change that does not build on the version in force.
	ErrBaseMismatch = errors.ConstError("the change has another base")
	// ErrBadDelta refuses a change whose result is not what its digest promises.
	ErrBadDelta = errors.ConstError("the change doesn't fit its base")
	// ErrBadImage refuses an image that is not what its name and version promise.
	ErrBadImage = errors.ConstError("the image is damaged")
	// ErrBadChunk refuses a chunk that is not the next one of an image.
	ErrBadChunk = errors.ConstError("the chunk doesn't fit the image")
)
