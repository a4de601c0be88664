package storage

import "gannetline/internal/cluster/peerapi"

// ReplicaState is what a replica knows of a key besides its pairs.
type ReplicaState struct {
	Promised uint64              `json:"promised"`
	Last     peerapi.LogPosition `json:"last"`
	Set      peerapi.VoterSet    `json:"set"`
}
