package configcache

import "github.com/juju/errors"

// Reasons why a peer's answer brought no version. All but ErrPeerBusy are annotated with the details.
const (
	// ErrPeerBusy is the answer of a peer with maxConcurrentAnswers answers in progress.
	ErrPeerBusy = errors.ConstError("the peer already answers as many calls as it may")
	// ErrBaseMismatch rejects a delta whose base is not the version in force.
	ErrBaseMismatch = errors.ConstError("the configuration change has another base")
	// ErrBadDelta rejects a delta that refers beyond its base, or whose result doesn't have the delta's digest.
	ErrBadDelta = errors.ConstError("the configuration change doesn't fit its base")
	// ErrBadImage rejects an image whose content doesn't match its name or version.
	ErrBadImage = errors.ConstError("the configuration image is damaged")
	// ErrBadChunk rejects a chunk that is not the next one of an image.
	ErrBadChunk = errors.ConstError("the chunk doesn't fit the configuration image")
)
