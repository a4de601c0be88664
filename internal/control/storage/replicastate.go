package storage

import "gannetline/internal/cluster/peerapi/wire"

//go:generate go run github.com/mailru/easyjson/easyjson -all replicastate.go

// ReplicaState is the state of a replica apart from its pairs. It is stored as JSON.
type ReplicaState struct {
	// Promised is the highest epoch that the replica has promised to a leader or candidate.
	Promised uint64 `json:"promised"`
	// Last is the log position of the last change that the replica holds.
	Last wire.LogPosition `json:"last"`
	// Voters is the newest voter set in the replica's log. It is empty for a replica that has only made promises.
	Voters wire.VoterSet `json:"set"`
}
