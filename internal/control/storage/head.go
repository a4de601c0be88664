package storage

import "gannetline/internal/cluster/peerapi/wire"

// ReplicaState is what a replica knows of a key besides its pairs.
type ReplicaState struct {
	Promised uint64           `json:"promised"`
	Last     wire.LogPosition `json:"last"`
	Set      wire.VoterSet    `json:"set"`
}
