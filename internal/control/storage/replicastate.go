package storage

import "gannetline/internal/cluster/peerapi/wire"

//go:generate go run github.com/mailru/easyjson/easyjson -all replicastate.go

// ReplicaState is what a replica knows of a key besides its pairs. It is stored as JSON.
type ReplicaState struct {
	// Promised is the highest epoch that the replica has promised to a leader or candidate.
	Promised uint64 `json:"promised"`
	// Last is the position of the last change that it holds.
	Last wire.LogPosition `json:"last"`
	// Voters is the voter set of the last change that brought one; it is empty for a replica that was only asked for a promise.
	Voters wire.VoterSet `json:"set"`
}
